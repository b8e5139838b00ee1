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
	// demandLogRounds is the number of lines on the load for each set of lines on what routes need.
	demandLogRounds = 5
)

// entryCounts counts the requests that entryCounts since the last line on the load.
type entryCounts struct {
	downstream  atomic.Int64
	callers atomic.Int64
	refused atomic.Int64
}

// logLoad says now and then how the own backend server is loaded.
func (n *Node) logLoad() {
	for round := 1; n.wait(n.ctx, loadLogInterval); round++ {
		if round%demandLogRounds == 0 {
			n.logDemand()
		}
		running, waiting := n.queue.Counts()
		_ = level.Info(n.log).Log("msg", "load", "running", running, "waiting", waiting, "limit", n.concurrencyLimit(),
			"level", n.gauge.Level(), "runsMs", n.runTimes.mean(limit.AllRoutes).Milliseconds(), "leaving", n.leaving.Load(),
			"deeper", n.entryCounts.downstream.Swap(0), "callers", n.entryCounts.callers.Swap(0), "refused", n.entryCounts.refused.Swap(0))
	}
}

// logDemand says what the routes of callers are taken to need, how much of each is let in, and what calls were learned.
func (n *Node) logDemand() {
	for _, route := range n.origin.Routes() {
		fields := []any{"msg", "needs", "route", route, "share", n.gate.Share(route)}
		for _, need := range n.gate.Needs(route) {
			fields = append(fields, need.Service(), fmt.Sprintf("%dms@%.2f", need.Cost().Milliseconds(), need.Level()))
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
