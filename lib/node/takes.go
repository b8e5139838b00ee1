package node

import (
	"math"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/takes"
	"tamarackrudder.org/lib/verd"
)

// logTakesChange is the relative change of what the backend server takes well that is logged.
const logTakesChange = 0.25

const (
	// leafTime is how long a route must have made no downstream calls until its run times are compared: longer than the
	// fan-out table takes to recognise calls.
	leafTime = 3 * time.Second
	// maxLeafRoutes bounds the routes that are followed; if there are more, all are forgotten.
	maxLeafRoutes = 256
)

// leafRoutes holds since when each route has made no downstream calls.
type leafRoutes struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// isLeaf reports whether a route has made no downstream calls for leafTime, given whether it makes any now.
func (l *leafRoutes) isLeaf(route string, calls bool, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, known := l.since[route]
	if calls || !known {
		if len(l.since) >= maxLeafRoutes || l.since == nil {
			l.since = map[string]time.Time{}
		}
		l.since[route] = now
		return false
	}
	return now.Sub(since) >= leafTime
}

// learnFrom updates what the local backend server is thought to take well. Only the run times of routes that make no
// downstream calls are compared, since the others also grow with the load of other services.
func (n *Node) learnFrom(r backendRun, a call.Answer) {
	v := a.Verdict()
	switch {
	case v.Reason() == verd.ReasonBackendShed:
		n.takes.RecordSlowdown(a.Slowdown())
		n.takes.RecordRefusal()
		return
	case !v.HasRun():
		return
	}
	leaf := n.leafRoutes.isLeaf(r.route, len(n.fanout.Calls(r.route)) > 0, n.clock.Now())
	failed := a.Status() >= failedStatus
	n.takes.RecordServed(r.total, !failed)
	if leaf {
		n.takes.RecordOutcome(!failed)
	}
	if !leaf || failed {
		n.takes.RecordSlowdown(a.Slowdown())
		return
	}
	n.takes.Record(r.route, r.total, r.inFlight, a.Slowdown())
}

// sharesMachine reports whether the local backend server tells that it shares its machine with others: it has reported a slowdown.
// What it gets done then varies in ways that its slots and the length of the queue do not show.
func (n *Node) sharesMachine() bool { return n.takes.ReportsSlowdown() }

// withCapacity returns an answer with what this endpoint is thought to take well, and how fast and sound it is at this
// moment, if it tells that it shares its machine. Others are placed on by their slots.
func (n *Node) withCapacity(a call.Answer) call.Answer {
	if !n.sharesMachine() {
		return a
	}
	return a.WithTakes(n.takes.Estimate().Count()).WithPace(n.takes.Pace()).WithFailing(n.takes.Failing())
}

// recordCapacity hands what an answer says of its endpoint to the picker.
func (n *Node) recordCapacity(addr string, a call.Answer) {
	if a.Takes() > 0 || a.Pace() > 0 {
		n.picker.RecordCapacity(addr, a.Takes(), a.Pace(), a.Failing())
	}
}

// logTakes logs what the backend server is thought to take well if it differs much from what was logged last, and returns
// what was logged last.
func (n *Node) logTakes(last float64) float64 {
	e := n.takes.Estimate()
	if last > 0 && math.Abs(e.Count()-last) < logTakesChange*max(last, e.Count()) {
		return last
	}
	if last > 0 {
		_ = level.Info(n.log).Log("msg", "backend server takes well", "requests", int(e.Count()), "before", int(last),
			"cause", e.Cause(), "since", e.Since().UTC().Format(time.RFC3339Nano))
	}
	return e.Count()
}

// Slowdown returns how long work takes at the local backend server now, as a multiple of the usual time.
func (n *Node) Slowdown() float64 { return n.takes.Slowdown() }

// Takes returns how many concurrent requests the local backend server is thought to take well, and why.
func (n *Node) Takes() takes.Estimate { return n.takes.Estimate() }
