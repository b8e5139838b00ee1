package admit

import (
	"math"
	"sync"
	"time"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/clock"
)

const (
	// lowestBand is the part of the level within which the lowest class is turned away; the others share the rest.
	lowestBand = 0.7
	// leastShare of each route is let through always, so that recovery is noticed and no route starves.
	leastShare  = 0.08
	learnWeight = 0.3
	// levelWeight averages over the endpoints of a service, whose levels are smooth by themselves.
	levelWeight = 0.5
	// levelAge is how long a level counts for what it was reported; then it rises by itself.
	levelAge   = time.Second
	silentRise = 0.2 // a second
	// offeredLife is the time constant with which counts of offered requests fade.
	offeredLife = 2 * time.Second
	// mostWeight bounds the exponent that a route's cost makes.
	mostWeight = 3.0
	// smallCost is the part of the mean cost at a service below which a route does not count as needing it: so much is
	// within the error of the calls that are learned.
	smallCost = 0.15
	leastRoom = 0.01
	// mostCredit is how many requests a route may be owed.
	mostCredit = 2.0
)

// service is what a gate knows of one service.
type service struct {
	level float64
	at    time.Time
}

// route is what a gate knows of one route.
type route struct {
	costs   map[string]float64 // seconds of slots, by service
	offered float64            // faded count
	at      time.Time
	credit  float64
	share   float64
}

// Gate decides which requests are let in.
type Gate struct {
	clock    clock.Clock
	mu       sync.Mutex
	services map[string]*service
	routes   map[string]*route
}

// NewGate returns a gate that lets everything through.
func NewGate(c clock.Clock) *Gate {
	return &Gate{clock: c, services: map[string]*service{}, routes: map[string]*route{}}
}

// Rank is the place of a class: 0 for the highest of so many.
type Rank struct {
	place int
	of    int
}

// NewRank returns a place among a number of classes.
func NewRank(place, of int) Rank { return Rank{place: place, of: of} }

// share returns the share of the class for which a level leaves room.
func (r Rank) share(level float64) float64 {
	low, width := 0.0, 1.0
	if r.of > 1 {
		upper := (1 - lowestBand) / float64(r.of-1)
		low, width = upper*float64(r.place), upper
		if r.place == r.of-1 {
			width = lowestBand
		}
	}
	return min(1, max(0, (level-low)/width))
}

// Learn takes in what the services on a route's way report.
func (g *Gate) Learn(name string, needs []call.Need) {
	if len(needs) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	r := g.route(name, now)
	for service := range r.costs {
		r.costs[service] *= 1 - learnWeight
	}
	for _, n := range needs {
		r.costs[n.Service()] += learnWeight * n.Cost().Seconds()
		s := g.service(n.Service(), now)
		s.level += levelWeight * (n.Level() - s.level)
		s.at = now
	}
}

// Needs returns what a request of a route is known to need, with the levels as they are known here.
func (g *Gate) Needs(name string) []call.Need {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.routes[name]
	if !ok {
		return nil
	}
	now := g.clock.Now()
	needs := make([]call.Need, 0, len(r.costs))
	for service, cost := range r.costs {
		needs = append(needs, call.NewNeed(service, time.Duration(cost*float64(time.Second)), g.service(service, now).now(now)))
	}
	return needs
}

// Decision says whether a request was let in, and what decided it.
type Decision struct {
	admitted bool
	share    float64
	service  string
	level    float64
}

// Admitted reports whether the request was let in.
func (d Decision) Admitted() bool { return d.admitted }

// Share returns the share of the route that is let in.
func (d Decision) Share() float64 { return d.share }

// Service returns the service with the least room for the route, empty where all have room.
func (d Decision) Service() string { return d.service }

// Level returns that service's level as it is known here.
func (d Decision) Level() float64 { return d.level }

// Admit counts a request that is offered and decides whether it is let in.
func (g *Gate) Admit(name string, rank Rank) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	r := g.route(name, now)
	r.fade(now)
	r.offered++
	d := Decision{share: 1, level: fullLevel}
	for service, cost := range r.costs {
		level := g.service(service, now).now(now)
		room := rank.share(level)
		if room >= 1 {
			continue
		}
		weight := g.weight(service, cost, now)
		if weight < smallCost {
			continue
		}
		if share := math.Pow(max(leastRoom, room), weight); share < d.share {
			d.share, d.service, d.level = share, service, level
		}
	}
	d.share = max(leastShare, d.share)
	r.share = d.share
	r.credit = min(mostCredit, r.credit+d.share)
	if r.credit >= 1 {
		r.credit--
		d.admitted = true
	}
	return d
}

// Share returns the share of a route that was let in lately.
func (g *Gate) Share(name string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.routes[name]; ok {
		return r.share
	}
	return 1
}

// weight compares a cost at a service with the mean cost there of all that is offered here.
func (g *Gate) weight(service string, cost float64, now time.Time) float64 {
	total, count := 0.0, 0.0
	for _, r := range g.routes {
		c := r.costs[service]
		if c <= 0 {
			continue
		}
		r.fade(now)
		total += c * r.offered
		count += r.offered
	}
	if total <= 0 {
		return 1
	}
	return min(mostWeight, cost*count/total)
}

func (r *route) fade(now time.Time) {
	r.offered *= math.Exp(-float64(now.Sub(r.at)) / float64(offeredLife))
	r.at = now
}

func (g *Gate) route(name string, now time.Time) *route {
	r, ok := g.routes[name]
	if !ok {
		r = &route{costs: map[string]float64{}, at: now, share: 1, credit: 1}
		g.routes[name] = r
	}
	return r
}

func (g *Gate) service(name string, now time.Time) *service {
	s, ok := g.services[name]
	if !ok {
		s = &service{level: fullLevel, at: now}
		g.services[name] = s
	}
	return s
}

// now returns the level, which rises while nothing is heard.
func (s *service) now(now time.Time) float64 {
	silent := now.Sub(s.at) - levelAge
	if silent <= 0 {
		return s.level
	}
	return min(fullLevel, s.level+silentRise*silent.Seconds())
}
