package node

import (
	"slices"
	"sync"
	"time"

	"tamarackrudder.org/lib/admit"
	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/limit"
)

const (
	// minDemandInterval is the least time between two answers of a route that carry its slot demand.
	minDemandInterval = 4 * time.Millisecond
	// runTimeWeight is the weight of a new sample in the smoothed run time.
	runTimeWeight = 0.05
	// estimateHalfLife is the half-life with which the run time estimate of a route decays after its last sample. Without
	// the decay, an estimate by which all requests are refused would never get a new sample.
	estimateHalfLife = 500 * time.Millisecond
	// downstreamBonus puts downstream calls before all other requests of a queue, since they belong to requests that
	// have begun. It is above all priorities of the rules.
	downstreamBonus = 10_000_000
	// The retry-after delay is a random part of the latency objective, between these bounds.
	minRetryAfterFraction = 0.3
	maxRetryAfterFraction = 0.8
	// defaultObjective is used for requests without a latency objective.
	defaultObjective = time.Second
	maxRetryAfter    = 1500 * time.Millisecond
)

// runTime is the smoothed run time of the requests of a route.
type runTime struct {
	mean         time.Duration
	sampledAt    time.Time
	demandSentAt time.Time
}

// runTimes holds the run times of each route on the local backend server.
type runTimes struct {
	clock  clock.Clock
	mu     sync.Mutex
	routes map[string]*runTime
}

func newRunTimes(c clock.Clock) *runTimes {
	return &runTimes{clock: c, routes: map[string]*runTime{}}
}

func (t *runTimes) sample(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range []string{route, limit.AllRoutes} {
		r, known := t.routes[name]
		if !known {
			r = &runTime{mean: took}
			t.routes[name] = r
		}
		r.mean += time.Duration(runTimeWeight * float64(took-r.mean))
		r.sampledAt = t.clock.Now()
	}
}

// mean returns the smoothed run time of a route, zero if there is no sample yet.
func (t *runTimes) mean(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, known := t.routes[route]; known {
		return r.mean
	}
	return 0
}

// estimate returns the smoothed run time of a route, decayed by the time since its last sample; zero if there is none.
func (t *runTimes) estimate(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.routes[route]
	if !known {
		return 0
	}
	return time.Duration(float64(r.mean) * clock.Decay(t.clock.Now().Sub(r.sampledAt), estimateHalfLife))
}

// meanIfDue returns the smoothed run time of a route for its slot demand, and false if there is no sample yet or the
// last answer with the slot demand was sent less than minDemandInterval ago.
func (t *runTimes) meanIfDue(route string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.routes[route]
	now := t.clock.Now()
	if !known || now.Sub(r.demandSentAt) < minDemandInterval {
		return 0, false
	}
	r.demandSentAt = now
	return r.mean, true
}

// demandOf returns the slot demand of a route, here and at the services that its downstream calls reach; nil if it is
// not due.
func (n *Node) demandOf(route string) []call.Demand {
	mean, due := n.runTimes.meanIfDue(route)
	if !due {
		return nil
	}
	own := call.NewDemand(n.settings.service, mean, n.gauge.Level())
	if n.sharesMachine() {
		own = own.WithAccepted(n.gauge.Accepted())
	}
	demands := []call.Demand{own}
	for _, c := range n.fanout.Calls(route) {
		if n.origin.IsEntryRoute(c.Route()) {
			// The fan-out table may still count calls to this route from before it was recognised as an entry route. These
			// calls could add the slot demand of a route to itself.
			continue
		}
		for _, downstream := range n.gate.Demands(c.Route()) {
			demands = append(demands, downstream.Times(c.Count()))
		}
	}
	return demands
}

// updateGauge reports the length of the queue, the concurrency limit and the mean run time to the gauge.
func (n *Node) updateGauge() {
	running, waiting := n.queue.Counts()
	n.gauge.Observe(running, waiting, n.concurrencyLimit(), n.runTimes.mean(limit.AllRoutes))
}

// classRank returns the rank of a request's priority among those of the rules in force, 0 for the highest.
func (n *Node) classRank(r call.Request) admit.Rank {
	priorities := n.rules.Load().Priorities()
	above := slices.IndexFunc(priorities, func(p int) bool { return p <= r.Priority() })
	if above < 0 {
		above = len(priorities) - 1
	}
	return admit.NewRank(above, len(priorities))
}

// queuePriority returns the priority of a request in the queue; on untraced nodes downstream calls come first.
func (n *Node) queuePriority(r call.Request) int {
	if n.settings.untraced && r.Downstream() {
		return r.Priority() + downstreamBonus
	}
	return r.Priority()
}

// usefulBy returns until when an answer to a request that has just reached this node has its full value to the caller, the zero
// time if only its deadline counts. A downstream call has its full value for as long as the request that it is made for.
func (n *Node) usefulBy(r call.Request) time.Time {
	if r.Downstream() || r.LatencyObjective() == 0 {
		return time.Time{}
	}
	return n.clock.Now().Add(r.LatencyObjective())
}

// retryAfter returns the delay after which a refused caller should retry: within its latency objective, and random so
// that callers do not return all at once. While this node stops, it is the longest delay, since a caller that comes back to
// it has to find its successor.
func (n *Node) retryAfter(r call.Request) time.Duration {
	if n.refusesCallers.Load() {
		return maxRetryAfter
	}
	objective := r.LatencyObjective()
	if objective == 0 {
		objective = defaultObjective
	}
	fraction := minRetryAfterFraction + (maxRetryAfterFraction-minRetryAfterFraction)*n.seams.Random()
	return min(maxRetryAfter, time.Duration(fraction*float64(objective)))
}
