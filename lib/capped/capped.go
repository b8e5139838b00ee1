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
func (l *Limiter) Allow(kind string) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if now.Sub(l.secondStart) >= time.Second {
		l.secondStart = now
		clear(l.used)
	}
	if l.used[kind] >= l.linesPerSecond {
		l.omitted[kind]++
		return 0, false
	}
	l.used[kind]++
	omitted = l.omitted[kind]
	l.omitted[kind] = 0
	return omitted, true
}
