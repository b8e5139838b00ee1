package retry

import (
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
)

const (
	// buckets is the number of parts into which a window is divided.
	buckets = 10
	// ringSize is the number of buckets kept: a window, the one before it, and the bucket that is being filled.
	ringSize = 2*buckets + 1
	// usedFraction is the part of the retries allowed to all nodes that they use together. The rest is for calls of retried
	// requests, whose number is an estimate.
	usedFraction = 0.9
)

// ring holds the latest buckets of one service; bucket number n is at index n modulo ringSize.
type ring [ringSize]bucket

// bucket counts the requests and retries in one part of a window; number is the index of that part since the budget was made,
// from 1.
type bucket struct {
	number   int64
	requests int
	retries  float64
}

// Budget limits the retries of one node at each service: in every sliding window, to a ratio of the requests, plus a constant
// slack. The requests are the mean of those in the window and in the one before it, so that the sum over all nodes keeps the
// limit for the window that has more, however requests and retries are divided among them. When nodes refuse requests of a
// service in trouble, the load from before still allows retries for those that they admit. The calls made for a request that is
// a retry count as retries too, at the services that they go to.
type Budget struct {
	clock        clock.Clock
	start        time.Time
	ratio        float64
	slack        float64
	bucketLength time.Duration
	mu           sync.Mutex
	services     map[string]*ring
}

// NewBudget returns a budget without any requests yet; ratio is the number of retries that all nodes together may send per
// request, slack the number that a window allows this node without requests.
func NewBudget(c clock.Clock, ratio, slack float64, window time.Duration) *Budget {
	return &Budget{
		clock: c, start: c.Now(), ratio: ratio, slack: slack, bucketLength: max(1, window/buckets),
		services: map[string]*ring{},
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
	if !b.services[service].allows(current.number, b.ratio, max(1, b.slack)) {
		// The slack is at least one: divided among many nodes it would be below 1 and never allow a retry.
		return false
	}
	current.retries++
	return true
}

// allows reports whether one more retry in the current bucket keeps the limit in every window that includes it. For the windows
// that begin within bucket first, all retries since the start of that bucket count, but of the window before only the requests
// in buckets that lie wholly within it.
func (r *ring) allows(current int64, ratio, slack float64) bool {
	retries, requests := 1.0, 0
	for age := int64(0); age < buckets; age++ {
		requests += r.at(current - age).requests
	}
	for first := current; first >= current-buckets; first-- {
		retries += r.at(first).retries
		if retries > slack+usedFraction*ratio*float64(requests)/2 {
			return false
		}
		requests += r.at(first - buckets).requests
	}
	return true
}

// at returns the bucket with the number, empty if it is no longer or not yet held.
func (r *ring) at(number int64) bucket {
	if number > 0 && r[number%ringSize].number == number {
		return r[number%ringSize]
	}
	return bucket{}
}

// currentBucket returns the bucket of the current time, cleared if it still holds counts of an earlier window.
func (b *Budget) currentBucket(service string) *bucket {
	r, ok := b.services[service]
	if !ok {
		r = &ring{}
		b.services[service] = r
	}
	number := 1 + int64(b.clock.Now().Sub(b.start)/b.bucketLength) // Sub ignores jumps of the time of day
	s := &r[number%ringSize]
	if s.number != number {
		*s = bucket{number: number}
	}
	return s
}
