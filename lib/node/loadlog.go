package node

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"tamarackrudder.org/lib/limit"
)

const (
	loadLogInterval = time.Second
	// demandLogRounds is the number of load lines for each set of lines about slot demand.
	demandLogRounds = 5
)

// entryCounts counts the requests that entered at this node since the last load line.
type entryCounts struct {
	downstream  atomic.Int64
	fromCallers atomic.Int64
	refused     atomic.Int64
}

// logLoad logs the load of the local backend server at regular intervals.
func (n *Node) logLoad() {
	logged := 0.0
	for round := 1; n.wait(n.ctx, loadLogInterval); round++ {
		logged = n.logTakes(logged)
		if round%demandLogRounds == 0 {
			n.logDemand()
		}
		running, waiting := n.queue.Counts()
		_ = level.Info(n.log).Log("msg", "load", "running", running, "waiting", waiting, "limit", n.concurrencyLimit(),
			"level", n.gauge.Level(), "accepted", n.gauge.Accepted(), "runsMs", n.runTimes.mean(limit.AllRoutes).Milliseconds(),
			"leaving", n.leaving.Load(), "takes", int(n.takes.Estimate().Count()), "takesFor", n.takes.Estimate().Cause(),
			"slowdown", n.takes.Slowdown(),
			"deeper", n.entryCounts.downstream.Swap(0), "callers", n.entryCounts.fromCallers.Swap(0),
			"refused", n.entryCounts.refused.Swap(0))
	}
}

// logDemand logs the slot demand and the admission probability of the entry routes, and the downstream calls that a
// request of each route is estimated to make.
func (n *Node) logDemand() {
	for _, route := range n.origin.Routes() {
		fields := []any{"msg", "needs", "route", route, "share", n.gate.AdmissionProbability(route)}
		for _, demand := range n.gate.Demands(route) {
			fields = append(fields, demand.Service(), fmt.Sprintf("%dms@%.2f,%.1fx%.2f", demand.Cost().Milliseconds(),
				demand.Level(), demand.Calls(), demand.Accepted()))
		}
		_ = level.Info(n.log).Log(fields...)
	}
	for _, route := range n.fanout.Routes() {
		fields := []any{"msg", "calls", "route", route}
		for _, c := range n.fanout.Calls(route) {
			fields = append(fields, "callee", c.Route(), "count", fmt.Sprintf("%.2f", c.Count()))
		}
		_ = level.Info(n.log).Log(fields...)
	}
}
