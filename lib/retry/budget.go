package retry

import (
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
)

// buckets is the number of parts into which a window is divided; the ring has one more, for the part being filled.
const buckets = 10

// bucket counts the requests and retries in one part of a window; number is the index of that part since the budget was made,
// from 1.
type bucket struct {
	number   int64
	requests int
	retries  float64
}

// Budget limits the retries at each service over a sliding window: to a ratio of the requests in the window, plus a
// constant slack. The calls made for a request that is a retry count as retries too, at the services that they go to.
type Budget struct {
	clock        clock.Clock
	start        time.Time
	ratio        float64
	slack        float64
	bucketLength time.Duration
	mu           sync.Mutex
	services     map[string]*[buckets + 1]bucket
}

// NewBudget returns a budget without any requests yet; ratio is the number of retries that each request allows, slack
// the number that a window allows without requests.
func NewBudget(c clock.Clock, ratio, slack float64, window time.Duration) *Budget {
	return &Budget{
		clock: c, start: c.Now(), ratio: ratio, slack: slack, bucketLength: max(1, window/buckets),
		services: map[string]*[buckets + 1]bucket{},
	}
}

// SetSlack changes the number of retries that a window allows without requests; values below 1 count as 1.
func (b *Budget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack
}

// RecordRequest records a request to a service, and the probability that it was made for a retry.
func (b *Budget) RecordRequest(service string, retryFraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.currentBucket(service)
	current.requests++
	current.retries += retryFraction
}

// Take spends one retry at a service, and returns false if the budget does not allow it.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.currentBucket(service)
	requests, retries := 0, 0.0
	for _, s := range b.services[service] {
		if current.number-s.number <= buckets {
			requests += s.requests
			retries += s.retries
		}
	}
	// at least one: a slack divided among many nodes would be below 1 and never allow a retry
	if retries+1 > max(1, b.slack)+b.ratio*float64(requests) {
		return false
	}
	current.retries++
	return true
}

// currentBucket returns the bucket of the current time, cleared if it still holds counts of an earlier window.
func (b *Budget) currentBucket(service string) *bucket {
	ring, ok := b.services[service]
	if !ok {
		ring = &[buckets + 1]bucket{}
		b.services[service] = ring
	}
	number := 1 + int64(b.clock.Now().Sub(b.start)/b.bucketLength) // Sub ignores jumps of the time of day
	s := &ring[number%(buckets+1)]
	if s.number != number {
		*s = bucket{number: number}
	}
	return s
}
