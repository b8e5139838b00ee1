package picker

import (
	"time"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/hosts"
)

// capacityMaxAge is the age up to which what an endpoint was last said to take well is used.
const capacityMaxAge = 5 * time.Second

// learned is what an endpoint's own node has said about it.
type learned struct {
	takes   float64 // concurrent requests that it takes well
	runTime time.Duration
	failing float64 // fraction of its runs
	at      time.Time
}

// RecordCapacity records what an endpoint's node says about it: the number of concurrent requests that it takes well its
// expected run time over all requests, zero where they are not known, and the fraction of its runs that fail.
func (t *Table) RecordCapacity(addr string, takes float64, runTime time.Duration, failing float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpoint(addr).learned = learned{takes: takes, runTime: runTime, failing: failing, at: t.clock.Now()}
}

// capacity returns the number of concurrent requests that an endpoint takes well as far as it is known, else its slots; for
// one that has started lately it is at most coldFraction of the slots.
func (e *endpoint) capacity(member hosts.Endpoint, slots int, now time.Time) float64 {
	capacity := slotsOf(member, slots)
	limit := capacity
	if now.Before(member.WarmAt()) {
		limit *= coldFraction
	}
	if l := e.learned; l.takes > 0 && now.Sub(l.at) <= capacityMaxAge {
		capacity = l.takes
	}
	return max(1, min(limit, capacity))
}

// expectedLatency returns the run time that an endpoint's node reported, else the smoothed latency of this node's requests.
func (e *endpoint) expectedLatency(now time.Time) time.Duration {
	if e.learned.runTime > 0 && now.Sub(e.learned.at) <= capacityMaxAge {
		return e.learned.runTime
	}
	return e.latency
}

// failing returns the fraction of its runs that fail at an endpoint as its node said last, decayed by the time since then,
// so that the endpoint is tried again.
func (e *endpoint) failing(now time.Time) float64 {
	if e.learned.failing == 0 {
		return 0
	}
	return e.learned.failing * clock.Decay(now.Sub(e.learned.at), failureHalfLife)
}

// isSlotsOnly reports whether endpoints have answered and none of their nodes has told lately what they take well.
func isSlotsOnly(states []*endpoint, now time.Time) bool {
	answered := false
	for _, e := range states {
		if !e.learned.at.IsZero() && now.Sub(e.learned.at) <= capacityMaxAge {
			return false
		}
		answered = answered || !e.reportedAt.IsZero()
	}
	return answered
}

// lowestFailing returns the lowest fraction of failing runs among the endpoints.
func lowestFailing(states []*endpoint, now time.Time) float64 {
	least := 1.0
	for _, e := range states {
		least = min(least, e.failing(now))
	}
	return least
}
