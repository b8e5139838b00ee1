package conns

import (
	"io"

	"tamarackrudder.org/lib/budget"
)

const (
	// maxAnswerBytes bounds what the bodies of answers that a pool is reading take together, in bytes.
	maxAnswerBytes = 48 << 20
	// shortAnswerBytes is the part of them that long bodies leave to short ones.
	shortAnswerBytes = 16 << 20
)

// chargedReader takes the bytes that it reads from a budget, and fails with budget.ErrExhausted when none are left.
type chargedReader struct {
	r    io.Reader
	hold *budget.Hold
}

func (c chargedReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	if exhausted := c.hold.Take(int64(n)); exhausted != nil {
		return n, exhausted
	}
	return n, err
}
