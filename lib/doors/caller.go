package doors

import (
	"bytes"
	"context"
	"sync/atomic"

	"tamarackrudder.org/lib/budget"
)

// Phase is what a connection waits for.
type Phase uint64

// The phases of a connection. In all but Served the process waits for its caller.
const (
	Waiting Phase = iota // no byte of a request has arrived
	Head
	Body
	Served
	Answer
	phases
)

// The state of a caller holds its phase in the low bits, a flag that it has to give way, and a count of the changes.
const (
	phaseBits  = 1<<3 - 1
	endingBit  = 1 << 3
	changeUnit = 1 << 4
)

const (
	// A head takes its bytes three times, while it is checked, as read and as fields, and an entry in a table for each line.
	bytesPerHeadByte = 3
	bytesPerLine     = 160
)

// Caller is one connection of a caller. A nil Caller is one without an account, whose methods do nothing.
type Caller struct {
	table *Table
	end   func(Phase)
	state atomic.Uint64
	moved atomic.Int64 // bytes read and written since the beginning
	began atomic.Int64 // what moved was when the phase began
	size  atomic.Int64 // bytes of the body or answer of this phase, as far as known
	head  atomic.Int64 // bytes that the head takes
	left  atomic.Bool
	// answer is what the answer has taken, nil while there is none.
	answer atomic.Pointer[budget.Hold]
	view   view // under the table's lock
}

type contextKey struct{}

// NewContext returns a context that carries a caller.
func NewContext(ctx context.Context, c *Caller) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// Of returns the caller that a context carries, nil if there is none.
func Of(ctx context.Context) *Caller {
	c, _ := ctx.Value(contextKey{}).(*Caller)
	return c
}

func phaseOf(state uint64) Phase { return Phase(state & phaseBits) }

// HasToEnd reports whether the caller has to give way, so that nothing more is done for it.
func (c *Caller) HasToEnd() bool { return c != nil && c.state.Load()&endingBit != 0 }

// Enter records that the connection is in another phase, with so many bytes to come or to be written if that is known. It
// reports false, and changes nothing, if the caller has to give way.
func (c *Caller) Enter(p Phase, size int64) bool {
	if c == nil {
		return true
	}
	for {
		old := c.state.Load()
		if old&endingBit != 0 {
			return false
		}
		if c.state.CompareAndSwap(old, old&^phaseBits+changeUnit|uint64(p)) {
			break
		}
	}
	c.size.Store(size)
	c.began.Store(c.moved.Load())
	if p == Waiting {
		c.giveBack()
	}
	return true
}

// Received records bytes that were read. It reports false if the caller has to give way and must not be served.
func (c *Caller) Received(b []byte) bool {
	c.moved.Add(int64(len(b)))
	state := c.state.Load()
	if phaseOf(state) == Waiting && !c.Enter(Head, 0) {
		return false
	}
	if phaseOf(state) <= Head {
		c.table.addHead(c, int64(bytesPerHeadByte*len(b)+bytesPerLine*bytes.Count(b, []byte{'\n'})))
		return !c.HasToEnd()
	}
	return true
}

// Sending records that an answer is written if the request has been served or refused.
func (c *Caller) Sending() {
	if phaseOf(c.state.Load()) == Served {
		c.Enter(Answer, 0)
	}
}

// Sent records bytes that were written.
func (c *Caller) Sent(n int) { c.moved.Add(int64(n)) }

// HoldAnswer records that an answer of so many bytes is written from now on. It reports false if there is no room for it, or
// the caller has to give way.
func (c *Caller) HoldAnswer(size int64) bool {
	if c == nil {
		return true
	}
	hold := c.table.answers.Hold()
	if hold.Take(size) != nil {
		c.table.endSlow(Answer)
		if hold.Take(size) != nil {
			c.table.refused(closedAnswers)
			return false
		}
	}
	c.answer.Store(hold)
	if !c.Enter(Answer, size) || c.left.Load() {
		c.giveBack()
		return false
	}
	return true
}

// Leave records that the connection is closed.
func (c *Caller) Leave() {
	if !c.left.Swap(true) {
		c.table.remove(c)
	}
}

// giveBack returns what the caller's request and its answer have taken.
func (c *Caller) giveBack() {
	c.table.heads.Add(-c.head.Swap(0))
	if hold := c.answer.Swap(nil); hold != nil {
		hold.Release()
	}
}
