package admit

import (
	"math"
	"sync"
	"time"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/clock"
)

const (
	// lowestClassBand is the top part of the level range in which only the lowest class is shed; the other classes
	// split the rest evenly.
	lowestClassBand = 0.7
	// minAdmission is the lowest admission probability of a route, so that recovery is noticed and no route starves.
	minAdmission  = 0.08
	costSmoothing = 0.3
	// levelSmoothing averages over the endpoints of a service; each endpoint's level is already smooth.
	levelSmoothing = 0.5
	// levelMaxAge is how long a reported level stays in force; without a newer report it then rises by staleLevelRise.
	levelMaxAge    = time.Second
	staleLevelRise = 0.2 // per second
	// offeredDecayTime is the time constant of the exponential decay of offered request counts.
	offeredDecayTime = 2 * time.Second
	// maxCostWeight bounds a route's relative cost at a service, which is the exponent of its admission probability.
	maxCostWeight = 3.0
	// minCostWeight is the relative cost at a service (1 is the mean there) below which a route counts as not using
	// it: smaller costs are within the error of the estimated calls per request.
	minCostWeight       = 0.15
	minClassProbability = 0.01
	// minChainCalls is the number of calls to a service from which a request may fail after some of its work is done. A request
	// with a single call loses nothing by trying.
	minChainCalls = 1.2
	// minRejected is the fraction of rejected requests below which nothing is refused for it.
	minRejected = 0.02
	// likelyFraction is the fraction of requests that end well below which fewer of them are admitted.
	likelyFraction = 0.5
	// maxCredit bounds, in requests, the admission credit that a route can save up.
	maxCredit = 2.0
)

// service is the last reported state of one service.
type service struct {
	level     float64
	accepted  float64 // fraction of the requests sent to its backend servers
	updatedAt time.Time
}

// route is the recorded cost and the admission state of one route.
type route struct {
	costs       map[string]float64 // slot time per request in seconds, by service
	calls       map[string]float64 // how often one request runs, by service
	offered     float64            // decayed count
	decayedAt   time.Time
	credit      float64
	probability float64
}

// Gate decides at the entry node which requests are admitted.
type Gate struct {
	clock      clock.Clock
	retryRatio float64
	mu         sync.Mutex
	services   map[string]*service
	routes     map[string]*route
}

// NewGate returns a gate that admits everything until demands are recorded; retryRatio is how many retries each request to a
// service allows.
func NewGate(c clock.Clock, retryRatio float64) *Gate {
	return &Gate{clock: c, retryRatio: retryRatio, services: map[string]*service{}, routes: map[string]*route{}}
}

// Rank is the position of a class among all classes by priority, 0 for the highest.
type Rank struct {
	position int
	classes  int
}

// NewRank returns the rank of the class at the position, counted from 0 for the highest, among so many classes.
func NewRank(position, classes int) Rank { return Rank{position: position, classes: classes} }

// admissionProbability maps an admit level to the fraction of this class that may be admitted, 0 to 1.
func (r Rank) admissionProbability(level float64) float64 {
	low, width := 0.0, 1.0
	if r.classes > 1 {
		upper := (1 - lowestClassBand) / float64(r.classes-1)
		low, width = upper*float64(r.position), upper
		if r.position == r.classes-1 {
			width = lowestClassBand
		}
	}
	return min(1, max(0, (level-low)/width))
}

// RecordDemands records the slot demands and admit levels that an answer to a request of the route carried; an empty list
// changes nothing.
func (g *Gate) RecordDemands(name string, demands []call.Demand) {
	if len(demands) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	r := g.findOrAddRoute(name, now)
	for service := range r.costs {
		r.costs[service] *= 1 - costSmoothing
		r.calls[service] *= 1 - costSmoothing
	}
	for _, d := range demands {
		r.costs[d.Service()] += costSmoothing * d.Cost().Seconds()
		r.calls[d.Service()] += costSmoothing * d.Calls()
		s := g.findOrAddService(d.Service(), now)
		s.level += levelSmoothing * (d.Level() - s.level)
		s.accepted += levelSmoothing * (d.Accepted() - s.accepted)
		s.updatedAt = now
	}
}

// Demands returns the recorded slot demands of a route, each with the current admit level of its service; nil for an
// unknown route.
func (g *Gate) Demands(name string) []call.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.routes[name]
	if !ok {
		return nil
	}
	now := g.clock.Now()
	demands := make([]call.Demand, 0, len(r.costs))
	for service, cost := range r.costs {
		s := g.findOrAddService(service, now)
		d := call.NewDemand(service, time.Duration(cost*float64(time.Second)), s.current(s.level, now))
		demands = append(demands, d.WithCalls(r.calls[service]).WithAccepted(s.current(s.accepted, now)))
	}
	return demands
}

// Decision is the outcome of Admit, with the service and the level that determined it.
type Decision struct {
	admitted    bool
	probability float64
	service     string
	level       float64
	accepted    float64
}

// Admitted reports whether the request may proceed; otherwise the entry node must refuse it.
func (d Decision) Admitted() bool { return d.admitted }

// Probability returns the admission probability of the route, 0 to 1.
func (d Decision) Probability() float64 { return d.probability }

// Service returns the service that limits the route most, empty if all have room.
func (d Decision) Service() string { return d.service }

// Level returns the current admit level of that service, 1 if all have room.
func (d Decision) Level() float64 { return d.level }

// Accepted returns the fraction of the requests sent to that service that its backend servers accept, 1 if it limits the route by
// its load.
func (d Decision) Accepted() float64 { return d.accepted }

// Admit counts an offered request of the route and decides whether it is admitted. Credit accumulates by the
// admission probability, so that the admitted fraction follows it evenly and not by chance.
func (g *Gate) Admit(name string, rank Rank) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	r := g.findOrAddRoute(name, now)
	r.decay(now)
	r.offered++
	d := Decision{probability: 1, level: maxLevel, accepted: maxLevel}
	for service, cost := range r.costs {
		s := g.findOrAddService(service, now)
		level := s.current(s.level, now)
		if probability := g.roomFor(service, cost, rank.admissionProbability(level), now); probability < d.probability {
			d.probability, d.service, d.level = probability, service, level
		}
		accepted := s.current(s.accepted, now)
		chain := g.chainLevel(accepted, r.calls[service])
		if probability := rank.admissionProbability(chain); probability < d.probability {
			d.probability, d.service, d.level, d.accepted = probability, service, chain, accepted
		}
	}
	d.probability = max(minAdmission, d.probability)
	r.probability = d.probability
	r.credit = min(maxCredit, r.credit+d.probability)
	if r.credit >= 1 {
		r.credit--
		d.admitted = true
	}
	return d
}

// roomFor returns the admission probability of a route that costs so much at a service with room for that fraction of its class.
func (g *Gate) roomFor(service string, cost, room float64, now time.Time) float64 {
	if room >= 1 {
		return 1
	}
	weight := g.costWeight(service, cost, now)
	if weight < minCostWeight {
		return 1
	}
	return math.Pow(max(minClassProbability, room), weight)
}

// chainLevel returns the admit level for requests that call a service so many times whose backend servers accept that fraction
// of what they are sent. It is the fraction of the offered calls for which the retries suffice: more requests would spend them
// on calls of which few belong to a request that ends well. It is no lower than the fraction that ends well without retries.
// Where a request is likely to fail even with its retries, the level is lower.
func (g *Gate) chainLevel(accepted, calls float64) float64 {
	rejected := 1 - accepted
	if calls < minChainCalls || rejected <= minRejected {
		return maxLevel
	}
	ends := math.Pow(1-rejected*rejected, calls) // with one retry for each call
	return min(maxLevel, max(g.retryRatio/rejected, math.Pow(accepted, calls)), ends/likelyFraction)
}

// AdmissionProbability returns the admission probability that was applied to the last request of the route, 1 for an
// unknown route.
func (g *Gate) AdmissionProbability(name string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.routes[name]; ok {
		return r.probability
	}
	return 1
}

// costWeight returns the cost at a service relative to the mean cost there over all offered requests, at most
// maxCostWeight.
func (g *Gate) costWeight(service string, cost float64, now time.Time) float64 {
	total, count := 0.0, 0.0
	for _, r := range g.routes {
		c := r.costs[service]
		if c <= 0 {
			continue
		}
		r.decay(now)
		total += c * r.offered
		count += r.offered
	}
	if total <= 0 {
		return 1
	}
	return min(maxCostWeight, cost*count/total)
}

func (r *route) decay(now time.Time) {
	r.offered *= math.Exp(-float64(now.Sub(r.decayedAt)) / float64(offeredDecayTime))
	r.decayedAt = now
}

func (g *Gate) findOrAddRoute(name string, now time.Time) *route {
	r, ok := g.routes[name]
	if !ok {
		r = &route{costs: map[string]float64{}, calls: map[string]float64{}, decayedAt: now, probability: 1, credit: 1}
		g.routes[name] = r
	}
	return r
}

func (g *Gate) findOrAddService(name string, now time.Time) *service {
	s, ok := g.services[name]
	if !ok {
		s = &service{level: maxLevel, accepted: maxLevel, updatedAt: now}
		g.services[name] = s
	}
	return s
}

// current returns a reported level or fraction, raised by staleLevelRise once the last report is older than levelMaxAge.
func (s *service) current(reported float64, now time.Time) float64 {
	overdue := now.Sub(s.updatedAt) - levelMaxAge
	if overdue <= 0 {
		return reported
	}
	return min(maxLevel, reported+staleLevelRise*overdue.Seconds())
}
