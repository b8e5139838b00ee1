package node_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/node"
	"tamarackrudder.org/lib/verd"
)

// TestReplacedEndpointGetsFewRequests guards against requests that all reach an endpoint which is another instance than listed.
func TestReplacedEndpointGetsFewRequests(t *testing.T) {
	const (
		requests = 300
		pause    = 5 * time.Millisecond
	)
	is := is.New(t)
	arrivals := &atomic.Int64{}
	n, w := listedUntraced(t, func(_ context.Context, r call.Request) (call.Answer, bool) {
		arrivals.Add(1)
		if r.Instance() == "i-1" {
			return call.Refusal(verd.NotRun(verd.ReasonBackendReplaced)), false
		}
		return call.NewAnswer(200, nil, nil), false
	})
	for i := range requests {
		is.Equal(n.Exec(t.Context(), deskRequest(fmt.Sprint(i))).Verdict(), verd.NotRun(verd.ReasonBackendReplaced))
		time.Sleep(pause)
	}
	is.True(arrivals.Load() >= 1)
	is.True(arrivals.Load() <= 10) // about one a second

	w.publish(node.NameHosts, "desk 10.0.0.1:1 z0 i-2\nshop 10.0.0.2:1 z0")
	w.waitFor(t, "the new instance to be used", func() bool {
		return n.Exec(t.Context(), deskRequest("new")).Verdict().HasRun()
	})
}
