package clock

import (
	"sync"
	"time"
)

// Clock reads the time and starts timers.
type Clock interface {
	// Now returns the current time, with a monotonic reading where there is one.
	Now() time.Time
	// After returns a channel that receives once the duration has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the clock of the host.
type System struct{}

// Now returns the host's time.
func (System) Now() time.Time { return time.Now() }

// After returns a channel that receives once the host's timer has run for the duration.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Manual is a clock for tests that moves only by Advance.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	timers []timer
}

type timer struct {
	at    time.Time
	fired chan time.Time
}

// NewManual returns a clock that is set to the given time.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time to which the clock is set.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that receives once Advance has moved the clock by the duration, at once if it is not positive.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	fired := make(chan time.Time, 1)
	if d <= 0 {
		fired <- m.now
		return fired
	}
	m.timers = append(m.timers, timer{at: m.now.Add(d), fired: fired})
	return fired
}

// Advance moves the clock and fires the timers that are due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	waiting := m.timers[:0]
	for _, a := range m.timers {
		if a.at.After(m.now) {
			waiting = append(waiting, a)
			continue
		}
		a.fired <- m.now
	}
	m.timers = waiting
}
