package capped

import (
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
)

// Limiter limits the log lines of each kind to a number per second, counted in fixed windows of one second.
type Limiter struct {
	clock          clock.Clock
	linesPerSecond int
	mu             sync.Mutex
	secondStart    time.Time
	used           map[string]int
	omitted        map[string]int
}

// NewLimiter returns a limiter that allows so many lines of each kind per second.
func NewLimiter(c clock.Clock, linesPerSecond int) *Limiter {
	return &Limiter{clock: c, linesPerSecond: linesPerSecond, used: map[string]int{}, omitted: map[string]int{}}
}

// Allow reports whether a line of the kind may be logged now and, if so, how many lines of the kind were suppressed
// since the last one.
func (b *Limiter) Allow(kind string) (omitted int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if now.Sub(b.secondStart) >= time.Second {
		b.secondStart = now
		clear(b.used)
	}
	if b.used[kind] >= b.linesPerSecond {
		b.omitted[kind]++
		return 0, false
	}
	b.used[kind]++
	omitted = b.omitted[kind]
	b.omitted[kind] = 0
	return omitted, true
}
