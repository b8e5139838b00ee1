package clock

import (
	"context"
	"sync"
	"time"
)

const (
	stallCheckInterval = 200 * time.Millisecond
	// minStall is the shortest time without a check that counts as a stall of the process.
	minStall = 500 * time.Millisecond
)

// Stalls notices when the process does not run for a while, for instance because it or its host is suspended.
type Stalls struct {
	clock     Clock
	mu        sync.Mutex
	checkedAt time.Time
	began     time.Time
	ended     time.Time
}

// NewStalls returns a Stalls that checks for stalls until the context ends.
func NewStalls(ctx context.Context, c Clock) *Stalls {
	s := &Stalls{clock: c, checkedAt: wallTime(c)}
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-c.After(stallCheckInterval):
				s.check()
			}
		}
	}()
	return s
}

// wallTime returns the time without its monotonic reading, which may stand still while the host is suspended.
func wallTime(c Clock) time.Time { return c.Now().Round(0) }

func (s *Stalls) check() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := wallTime(s.clock)
	if now.Sub(s.checkedAt) >= minStall {
		s.began, s.ended = s.checkedAt, now
	}
	s.checkedAt = now
	return now
}

// Delay returns how long ago an event may have happened that the process notices now: the time since the beginning of a
// stall that has just ended, else zero.
func (s *Stalls) Delay() time.Duration {
	now := s.check()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended.IsZero() || now.Sub(s.ended) >= stallCheckInterval {
		return 0
	}
	return now.Sub(s.began)
}
