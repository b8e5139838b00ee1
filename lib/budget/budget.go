package budget

import (
	"errors"
	"sync"
	"sync/atomic"
)

// ShortBytes is the length in bytes up to which a body counts as short.
const ShortBytes = 64 << 10

// ErrExhausted means that a body needs more bytes than are left for it.
var ErrExhausted = errors.New("the bodies in memory take all bytes of their budget")

// Budget is a number of bytes that bodies share.
type Budget struct {
	size     int64
	reserved int64
	left     atomic.Int64
	refused  atomic.Int64
}

// New returns a budget of size bytes, of which long bodies leave the given number to short ones.
func New(size, reserved int64) *Budget {
	b := &Budget{size: size, reserved: reserved}
	b.left.Store(size)
	return b
}

// Largest returns the length in bytes of the largest body that fits while there is no other.
func (b *Budget) Largest() int64 { return max(b.size-b.reserved, min(b.size, ShortBytes)) }

// Size returns the number of bytes that bodies share.
func (b *Budget) Size() int64 { return b.size }

// Taken returns the number of bytes that are taken.
func (b *Budget) Taken() int64 { return b.size - b.left.Load() }

// Refused returns how often bytes were asked for that were not left.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// Hold returns what one body takes from the budget, nothing yet.
func (b *Budget) Hold() *Hold { return &Hold{budget: b, users: 1} }

// take takes n bytes if at least spare bytes are left after that.
func (b *Budget) take(n, spare int64) bool {
	if b.left.Add(-n) >= spare {
		return true
	}
	b.left.Add(n)
	b.refused.Add(1)
	return false
}

// Hold is what one body has taken from a budget. It is shared by all that need the body, and is given back with the last.
type Hold struct {
	budget *Budget
	mu     sync.Mutex
	bytes  int64
	users  int
}

// room returns how much longer the body can become while there is no other.
func (h *Hold) room() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.budget.Largest() - h.bytes
}

// Take takes n more bytes for the body. It fails with ErrExhausted, and takes none, if too few are left.
func (h *Hold) Take(n int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	spare := int64(0)
	if h.bytes+n > ShortBytes {
		spare = h.budget.reserved
	}
	if !h.budget.take(n, spare) {
		return ErrExhausted
	}
	h.bytes += n
	return nil
}

// Retain keeps the bytes until release is called as well, even if they exceed the budget because they were given back before.
func (h *Hold) Retain() (release func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.users == 0 {
		h.budget.left.Add(-h.bytes)
	}
	h.users++
	return h.Release
}

// Release ends the use of the body by one that needed it; the last one gives its bytes back.
func (h *Hold) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.users--
	if h.users == 0 {
		h.budget.left.Add(h.bytes)
	}
}
