package quota

import (
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
)

const (
	// answerTime is how long a neighbor may leave heartbeats without an answer. It is shorter than the time after which the
	// platform lists a host no longer, so that a home that is cut off stops before another one takes its place.
	answerTime = 2 * time.Second
	// silentDivisor bounds the neighbors that may be silent: one in so many, so that of two halves of a fleet hardly a node
	// is in touch by chance.
	silentDivisor = 4
)

// Touch tells whether a node is in touch with the fleet, by its neighbors' answers to heartbeats.
type Touch struct {
	clock     clock.Clock
	mu        sync.Mutex
	neighbors map[string]time.Time // when each last answered, or was added
	since     time.Time
	ok        bool
	changed   func(ok bool)
}

// NewTouch returns the state of a node without neighbors, which is in touch. Changed is told of each change.
func NewTouch(c clock.Clock, changed func(ok bool)) *Touch {
	return &Touch{clock: c, neighbors: map[string]time.Time{}, since: c.Now(), ok: true, changed: changed}
}

// SetNeighbors replaces the neighbors.
func (t *Touch) SetNeighbors(addrs []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	neighbors := make(map[string]time.Time, len(addrs))
	for _, addr := range addrs {
		answered, known := t.neighbors[addr]
		if !known {
			answered = now
		}
		neighbors[addr] = answered
	}
	t.neighbors = neighbors
}

// Answered records that a node answered, or that none listens at its address any more.
func (t *Touch) Answered(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update()
	if _, known := t.neighbors[addr]; known {
		t.neighbors[addr] = t.clock.Now()
	}
	t.update()
}

// InTouch returns since when the node has been in touch, false if it is not.
func (t *Touch) InTouch() (since time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update()
	return t.since, t.ok
}

func (t *Touch) update() {
	now := t.clock.Now()
	silent := 0
	for _, answered := range t.neighbors {
		if now.Sub(answered) > answerTime {
			silent++
		}
	}
	ok := silent <= len(t.neighbors)/silentDivisor
	if len(t.neighbors) < silentDivisor { // all nodes of so small a fleet are neighbors, so that a majority is known
		ok = 2*silent <= len(t.neighbors) && silent < max(1, len(t.neighbors))
	}
	if ok == t.ok {
		return
	}
	t.ok, t.since = ok, now
	t.changed(ok)
}
