package node

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"tamarackrudder.org/lib/limit"
)

const (
	loadLogEvery = time.Second
	// needsLogEvery is the number of lines on the load for each set of lines on what routes need.
	needsLogEvery = 5
)

// entered counts the requests that entered since the last line on the load.
type entered struct {
	deeper  atomic.Int64
	callers atomic.Int64
	refused atomic.Int64
}

// logLoad says now and then how the own backend server is loaded.
func (n *Node) logLoad() {
	for round := 1; n.wait(n.ctx, loadLogEvery); round++ {
		if round%needsLogEvery == 0 {
			n.logNeeds()
		}
		running, waiting := n.queue.Counts()
		_ = level.Info(n.log).Log("msg", "load", "running", running, "waiting", waiting, "limit", n.currentLimit(),
			"level", n.gauge.Level(), "runsMs", n.costs.mean(limit.AllRoutes).Milliseconds(), "leaving", n.leaving.Load(),
			"deeper", n.entered.deeper.Swap(0), "callers", n.entered.callers.Swap(0), "refused", n.entered.refused.Swap(0))
	}
}

// logNeeds says what the routes of callers are taken to need, how much of each is let in, and what calls were learned.
func (n *Node) logNeeds() {
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
