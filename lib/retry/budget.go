package retry

import (
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
)

// slots is the number of parts that a window is counted in; one more is kept, for the one that is being filled.
const slots = 10

// slot counts what fell into one part of a window.
type slot struct {
	number   int64
	requests int
	retries  float64
}

// Budget bounds the retries at each service over a sliding window of time: those of a window are at most a share of the
// requests in it, and a few more. The calls of a request that is a retry are retries as well, at the services called.
type Budget struct {
	clock    clock.Clock
	share    float64
	spare    float64
	part     time.Duration
	mu       sync.Mutex
	services map[string]*[slots + 1]slot
}

// NewBudget returns an unspent budget; share is the part of a retry that a request earns, spare how many retries a window
// has without any.
func NewBudget(c clock.Clock, share, spare float64, window time.Duration) *Budget {
	return &Budget{
		clock: c, share: share, spare: spare, part: max(1, window/slots),
		services: map[string]*[slots + 1]slot{},
	}
}

// SetSpare changes how many retries a window has without any requests.
func (b *Budget) SetSpare(spare float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spare = spare
}

// Earn notes a request for a service, with the likelihood that it was sent for a retry.
func (b *Budget) Earn(service string, again float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now(service)
	now.requests++
	now.retries += again
}

// Take takes a retry at a service and reports whether there was one.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now(service)
	requests, retries := 0, 0.0
	for _, s := range b.services[service] {
		if now.number-s.number <= slots {
			requests += s.requests
			retries += s.retries
		}
	}
	// a spare retry that many nodes share would never be whole
	if retries+1 > max(1, b.spare)+b.share*float64(requests) {
		return false
	}
	now.retries++
	return true
}

// now returns the slot of the present, emptied where it last held an earlier window's counts.
func (b *Budget) now(service string) *slot {
	ring, ok := b.services[service]
	if !ok {
		ring = &[slots + 1]slot{}
		b.services[service] = ring
	}
	number := b.clock.Now().UnixNano() / int64(b.part)
	s := &ring[number%(slots+1)]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}
