package split

import (
	"math"
	"slices"
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/rules"
)

const (
	// decayTime is the time constant of the exponential decay of the counts.
	decayTime = 4 * time.Second
	// maxExcessShare is how far a part's share of the accepted requests may lie above the share that its weight gives
	// it.
	maxExcessShare = 0.12
	// minCounted is the decayed count of accepted requests below which shares are not yet compared with weights.
	minCounted = 5.0
)

// part counts the recent requests of one service of a split route; the counts decay.
type part struct {
	rule     rules.Part
	chosen   float64
	accepted float64 // chosen requests that were not refused for lack of room
}

// route is a split route with the counts of its parts.
type route struct {
	parts     []part
	decayedAt time.Time
}

// Table holds the split routes that have had requests.
type Table struct {
	clock  clock.Clock
	random func() float64
	mu     sync.Mutex
	routes map[string]*route
}

// NewTable returns an empty table; random returns numbers from 0 to below 1.
func NewTable(c clock.Clock, random func() float64) *Table {
	return &Table{clock: c, random: random, routes: map[string]*route{}}
}

// Choose returns the service for the next request of a route, and false if the request must be refused because the
// service's share would exceed its weight too far. A request that is not refused here counts as accepted unless a
// later refusal by the service is recorded.
func (t *Table) Choose(r rules.Route) (string, bool) {
	if len(r.Split()) == 0 {
		return r.Service(), true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.currentRoute(r)
	p := state.furthestBehind()
	if p == nil {
		p = state.find(r.Choose(t.random()))
	}
	if p == nil {
		return r.Service(), true
	}
	p.chosen++
	if !state.withinWeight(p) {
		return p.rule.Service(), false
	}
	p.accepted++
	return p.rule.Service(), true
}

// RecordRefusal subtracts one accepted request, after the chosen service refused it for lack of room.
func (t *Table) RecordRefusal(r rules.Route, service string) {
	if len(r.Split()) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.currentRoute(r).find(service); p != nil {
		p.accepted = max(0, p.accepted-1)
	}
}

// currentRoute returns the decayed counts of a route; changed weights reset them.
func (t *Table) currentRoute(r rules.Route) *route {
	now := t.clock.Now()
	state, ok := t.routes[r.Name()]
	if !ok || !state.matchesRules(r.Split()) {
		state = &route{decayedAt: now}
		for _, rule := range r.Split() {
			state.parts = append(state.parts, part{rule: rule})
		}
		t.routes[r.Name()] = state
	}
	state.decay(now)
	return state
}

func (r *route) matchesRules(rule []rules.Part) bool {
	return slices.EqualFunc(r.parts, rule, func(p part, rule rules.Part) bool { return p.rule == rule })
}

func (r *route) decay(now time.Time) {
	kept := math.Exp(-float64(now.Sub(r.decayedAt)) / float64(decayTime))
	for i := range r.parts {
		r.parts[i].chosen *= kept
		r.parts[i].accepted *= kept
	}
	r.decayedAt = now
}

// furthestBehind returns the part that is furthest below its weight, or nil while less than one request is counted.
// Choose then picks a part at random by weight, so that many nodes with few requests each follow the weights when taken
// together.
func (r *route) furthestBehind() *part {
	chosen := 0.0
	for _, p := range r.parts {
		chosen += p.chosen
	}
	if chosen < 1 {
		return nil
	}
	var best *part
	most := 0.0
	for i := range r.parts {
		p := &r.parts[i]
		if behind := r.weightShare(p)*(chosen+1) - p.chosen; behind > most {
			best, most = p, behind
		}
	}
	return best
}

// withinWeight reports whether, with one more request, the part's share is at most maxExcessShare above its weightShare,
// or too few requests are counted to compare.
func (r *route) withinWeight(p *part) bool {
	total := 1.0
	for _, other := range r.parts {
		total += other.accepted
	}
	return total < minCounted || (p.accepted+1)/total <= r.weightShare(p)+maxExcessShare
}

// weightShare returns the share of requests that the part's weight gives it, 0 to 1.
func (r *route) weightShare(p *part) float64 {
	total := 0
	for _, other := range r.parts {
		total += other.rule.Weight()
	}
	return float64(p.rule.Weight()) / float64(max(1, total))
}

// find returns the part of a service, nil if the route has none.
func (r *route) find(service string) *part {
	for i := range r.parts {
		if r.parts[i].rule.Service() == service {
			return &r.parts[i]
		}
	}
	return nil
}
