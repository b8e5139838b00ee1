package capped

import (
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
)

// Budget lets through so many lines a second of each kind.
type Budget struct {
	clock  clock.Clock
	lines  int
	mu     sync.Mutex
	opened time.Time
	used   map[string]int
	left   map[string]int
}

// NewBudget returns a budget of so many lines a second for each kind.
func NewBudget(c clock.Clock, lines int) *Budget {
	return &Budget{clock: c, lines: lines, used: map[string]int{}, left: map[string]int{}}
}

// Take reports whether a line of a kind may be logged, and how many of the kind were left out since the last one.
func (b *Budget) Take(kind string) (omitted int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if now.Sub(b.opened) >= time.Second {
		b.opened = now
		clear(b.used)
	}
	if b.used[kind] >= b.lines {
		b.left[kind]++
		return 0, false
	}
	b.used[kind]++
	omitted = b.left[kind]
	b.left[kind] = 0
	return omitted, true
}
