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
	// tellEvery is the least time between two answers of a route that carry what its requests need.
	tellEvery     = 4 * time.Millisecond
	runTimeWeight = 0.05
	// deeperBonus puts the calls of requests that have begun before all others in a queue.
	deeperBonus = 10_000
	// Callers are asked to come back after a part of their goal, drawn between these bounds.
	leastComeBack  = 0.3
	mostComeBack   = 0.8
	usualGoal      = time.Second
	longestWaiting = 1500 * time.Millisecond
)

// runTimes holds how long the requests of each route run on the own backend server.
type runTimes struct {
	clock clock.Clock
	mu    sync.Mutex
	means map[string]time.Duration
	told  map[string]time.Time
}

func newRunTimes(c clock.Clock) *runTimes {
	return &runTimes{clock: c, means: map[string]time.Duration{}, told: map[string]time.Time{}}
}

func (t *runTimes) sample(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range []string{route, limit.AllRoutes} {
		mean, known := t.means[name]
		if !known {
			mean = took
		}
		t.means[name] = mean + time.Duration(runTimeWeight*float64(took-mean))
	}
}

// mean returns how long requests of a route run, zero where it is not known.
func (t *runTimes) mean(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.means[route]
}

// due returns the mean of a route where it is time to tell it.
func (t *runTimes) due(route string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, known := t.means[route]
	now := t.clock.Now()
	if !known || now.Sub(t.told[route]) < tellEvery {
		return 0, false
	}
	t.told[route] = now
	return mean, true
}

// needsOf returns what requests of a route take here, and of the services that their calls go to.
func (n *Node) needsOf(route string) []call.Need {
	mean, due := n.costs.due(route)
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

// observe tells the gauge how the queue stands.
func (n *Node) observe() {
	running, waiting := n.queue.Counts()
	n.gauge.Observe(running, waiting, n.currentLimit(), n.costs.mean(limit.AllRoutes))
}

// rankOf returns the place of a request's class among those of the rules in force.
func (n *Node) rankOf(r call.Request) admit.Rank {
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
		return r.Priority() + deeperBonus
	}
	return r.Priority()
}

// comeBack returns how long a refused caller should wait: within its goal, and not all at once.
func (n *Node) comeBack(r call.Request) time.Duration {
	goal := r.Goal()
	if goal == 0 {
		goal = usualGoal
	}
	part := leastComeBack + (mostComeBack-leastComeBack)*n.seams.Random()
	return min(longestWaiting, time.Duration(part*float64(goal)))
}
