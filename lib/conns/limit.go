package conns

import (
	"errors"
	"io"
	"math"
)

var errReadLimit = errors.New("read limit exceeded")

// limitedReader reads from a connection and fails with errReadLimit at the limit. Unlike an io.LimitedReader, it does
// not report the end of the stream there, which would complete a body without a length.
type limitedReader struct {
	r    io.Reader
	left int64
}

// limit bounds the bytes that are read from now on.
func (l *limitedReader) limit(n int64) { l.left = n }

// unlimit lifts the limit.
func (l *limitedReader) unlimit() { l.left = math.MaxInt64 }

func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errReadLimit
	}
	if int64(len(b)) > l.left {
		b = b[:l.left]
	}
	n, err := l.r.Read(b)
	l.left -= int64(n)
	return n, err
}
