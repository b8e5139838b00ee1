package conns

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxHeldBytes bounds what the bodies that a pool is reading hold together, in bytes.
	maxHeldBytes = 32 << 20
	// freeBytes is the length up to which a body does not count, in bytes, so that long ones leave room for short ones.
	freeBytes = 64 << 10
)

var errHeldLimit = errors.New("the answers being read hold too many bytes")

// budget is a number of bytes that are left to concurrent readers.
type budget struct {
	left atomic.Int64
}

func newBudget(size int64) *budget {
	b := &budget{}
	b.left.Store(size)
	return b
}

// take takes n bytes and reports whether so many were left.
func (b *budget) take(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

func (b *budget) giveBack(n int64) { b.left.Add(n) }

// chargedReader takes the bytes that it reads beyond free from a budget, and fails with errHeldLimit when none are left.
type chargedReader struct {
	r      io.Reader
	budget *budget
	free   int64
	taken  int64
}

func (c *chargedReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	charge := max(0, int64(n)-c.free)
	c.free -= int64(n) - charge
	if !c.budget.take(charge) {
		return n, errHeldLimit
	}
	c.taken += charge
	return n, err
}

// giveBack gives back all that was taken.
func (c *chargedReader) giveBack() {
	c.budget.giveBack(c.taken)
	c.taken = 0
}
