package node

import (
	"sync"
	"time"

	"tamarackrudder.org/lib/admit"
	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/limit"
)

const (
	// minDemandInterval is the least time between two answers of a route that carry what its requests need.
	minDemandInterval     = 4 * time.Millisecond
	runTimeWeight = 0.05
	// estimateHalfLife is the half-life of a run time without samples when it serves to refuse requests that cannot finish;
	// else one that keeps all requests away would last.
	estimateHalfLife = 500 * time.Millisecond
	// downstreamBonus puts the calls of requests that have begun before all others in a queue.
	downstreamBonus = 10_000
	// Callers are asked to come back after a part of their goal, drawn between these bounds.
	minRetryAfterPart  = 0.3
	maxRetryAfterPart   = 0.8
	defaultObjective      = time.Second
	maxRetryAfter = 1500 * time.Millisecond
)

// runTime is the smoothed time that the requests of a route run.
type runTime struct {
	mean    time.Duration
	sampled time.Time
	demandSentAt    time.Time
}

// runTimes holds how long the requests of each route run on the own backend server.
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
		r.sampled = t.clock.Now()
	}
}

// mean returns how long requests of a route run, zero where it is not known.
func (t *runTimes) mean(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, known := t.routes[route]; known {
		return r.mean
	}
	return 0
}

// estimate returns the mean of a route, faded by the time since its last sample.
func (t *runTimes) estimate(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.routes[route]
	if !known {
		return 0
	}
	return time.Duration(float64(r.mean) * clock.Fade(t.clock.Now().Sub(r.sampled), estimateHalfLife))
}

// meanIfDue returns the mean of a route where it is time to tell it.
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

// demandOf returns what requests of a route take here, and of the services that their calls go to.
func (n *Node) demandOf(route string) []call.Need {
	mean, due := n.runTimes.meanIfDue(route)
	if !due {
		return nil
	}
	needs := []call.Need{call.NewNeed(n.settings.service, mean, n.gauge.Level())}
	for _, c := range n.fanout.Calls(route) {
		if n.origin.IsCallers(c.Route()) {
			continue // counted as a call before it was known, or it would need itself
		}
		for _, deeper := range n.gate.Needs(c.Route()) {
			cost := time.Duration(c.Count() * float64(deeper.Cost()))
			needs = append(needs, call.NewNeed(deeper.Service(), cost, deeper.Level()))
		}
	}
	return needs
}

// updateGauge tells the gauge how the queue stands.
func (n *Node) updateGauge() {
	running, waiting := n.queue.Counts()
	n.gauge.Observe(running, waiting, n.concurrencyLimit(), n.runTimes.mean(limit.AllRoutes))
}

// classRank returns the place of a request's class among those of the rules in force.
func (n *Node) classRank(r call.Request) admit.Rank {
	classes := n.rules.Load().Classes()
	above := 0
	for _, c := range classes {
		if c.Priority() > r.Priority() {
			above++
		}
	}
	return admit.NewRank(above, len(classes))
}

// queuePriority puts what has begun before what has not.
func (n *Node) queuePriority(r call.Request) int {
	if n.settings.untraced && r.Deeper() {
		return r.Priority() + downstreamBonus
	}
	return r.Priority()
}

// retryAfter returns how long a refused caller should wait: within its goal, and not all at once.
func (n *Node) retryAfter(r call.Request) time.Duration {
	goal := r.Goal()
	if goal == 0 {
		goal = defaultObjective
	}
	part := minRetryAfterPart + (maxRetryAfterPart-minRetryAfterPart)*n.seams.Random()
	return min(maxRetryAfter, time.Duration(part*float64(goal)))
}
