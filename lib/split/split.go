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
	// life is the time constant with which counts fade.
	life = 4 * time.Second
	// mostAbove is by how much the share of a part may lie above its weight's.
	mostAbove = 0.12
	// leastCounted is how many requests are taken before shares are held against weights.
	leastCounted = 5.0
)

// part is what one service of a route was given lately, in faded counts.
type part struct {
	rule   rules.Part
	chosen float64
	taken  float64 // of these, what was not refused for want of room
}

// route is a split route with its parts.
type route struct {
	parts []part
	at    time.Time
}

// Table holds the split routes that requests were seen on.
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

// Choose returns the service for the next request of a route, and whether it may take it without going far above its
// weight; what may be taken counts as taken.
func (t *Table) Choose(r rules.Route) (string, bool) {
	if len(r.Split()) == 0 {
		return r.Service(), true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.route(r)
	p := known.next()
	if p == nil {
		p = known.find(r.Choose(t.random()))
	}
	if p == nil {
		return r.Service(), true
	}
	p.chosen++
	if !known.fits(p) {
		return p.rule.Service(), false
	}
	p.taken++
	return p.rule.Service(), true
}

// Refused notes that a service had no room for a request that it was chosen for.
func (t *Table) Refused(r rules.Route, service string) {
	if len(r.Split()) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.route(r).find(service); p != nil {
		p.taken = max(0, p.taken-1)
	}
}

// route returns the counts of a route, which start anew with other weights.
func (t *Table) route(r rules.Route) *route {
	now := t.clock.Now()
	known, ok := t.routes[r.Name()]
	if !ok || !known.follows(r.Split()) {
		known = &route{at: now}
		for _, rule := range r.Split() {
			known.parts = append(known.parts, part{rule: rule})
		}
		t.routes[r.Name()] = known
	}
	known.fade(now)
	return known
}

func (r *route) follows(rule []rules.Part) bool {
	return slices.EqualFunc(r.parts, rule, func(p part, rule rules.Part) bool { return p.rule == rule })
}

func (r *route) fade(now time.Time) {
	kept := math.Exp(-float64(now.Sub(r.at)) / float64(life))
	for i := range r.parts {
		r.parts[i].chosen *= kept
		r.parts[i].taken *= kept
	}
	r.at = now
}

// next returns the part that is furthest behind its weight, nil where nothing says so yet: a first request goes by
// chance, so that many nodes with few requests each keep to the weights together.
func (r *route) next() *part {
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
		if behind := r.share(p)*(chosen+1) - p.chosen; behind > most {
			best, most = p, behind
		}
	}
	return best
}

// fits reports whether a part stays near its weight with one request more.
func (r *route) fits(p *part) bool {
	taken := 1.0
	for _, other := range r.parts {
		taken += other.taken
	}
	return taken < leastCounted || (p.taken+1)/taken <= r.share(p)+mostAbove
}

// share returns the share that a part's weight gives it.
func (r *route) share(p *part) float64 {
	total := 0
	for _, other := range r.parts {
		total += other.rule.Weight()
	}
	return float64(p.rule.Weight()) / float64(max(1, total))
}

func (r *route) find(service string) *part {
	for i := range r.parts {
		if r.parts[i].rule.Service() == service {
			return &r.parts[i]
		}
	}
	return nil
}
