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

// Stalls notices when the process does not run for a while, for instance because it or its host is suspended. All its times
// are times since the boot of the host.
type Stalls struct {
	sinceBoot func() time.Duration
	mu        sync.Mutex
	checkedAt time.Duration
	began     time.Duration
	ended     time.Duration
}

// NewStalls returns a Stalls that checks for stalls until the context ends. sinceBoot returns the time since the boot of the
// host, as SinceBoot does: the monotonic clock may stand still while the host is suspended, and the time of day may jump.
func NewStalls(ctx context.Context, c Clock, sinceBoot func() time.Duration) *Stalls {
	s := &Stalls{sinceBoot: sinceBoot, checkedAt: sinceBoot()}
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-c.After(stallCheckInterval):
				s.Delay()
			}
		}
	}()
	return s
}

// Delay returns how long ago an event may have happened that the process notices now: the time since the beginning of a
// stall that has just ended, else zero.
func (s *Stalls) Delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.sinceBoot()
	if now-s.checkedAt >= minStall {
		s.began, s.ended = s.checkedAt, now
	}
	s.checkedAt = now
	if s.ended == 0 || now-s.ended >= stallCheckInterval {
		return 0
	}
	return now - s.began
}
