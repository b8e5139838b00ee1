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

const (
	listedDesk  = "desk 10.0.0.1:1 z0 i-1\nshop 10.0.0.2:1 z0"
	leavingDesk = "desk 10.0.0.1:1 z0 leaving\nshop 10.0.0.2:1 z0"
	removedDesk = "shop 10.0.0.2:1 z0"
	// leaveTimeout is the platform's bound for requests to an endpoint that leaves.
	leaveTimeout = 2 * time.Second
)

// listedUntraced returns an untraced node whose list of hosts may be published again.
func listedUntraced(t *testing.T, run func(ctx context.Context, r call.Request) (call.Answer, bool)) (*node.Node, *world) {
	t.Helper()
	w := &world{values: map[string][]byte{}, changed: make(chan struct{})}
	w.publish(node.NameRules, untracedRules)
	w.publish(node.NameHosts, listedDesk)
	n := newWatchingUntraced(t, w.watch, run, nil)
	awaitReady(t, n)
	return n, w
}

func deskRequest(id string) call.Request {
	return call.NewRequest(id, "GET", "/items/1", "").WithRoute("desk", false).WithDeadline(time.Now().Add(waitTimeout))
}

// sendToDesk has a peer send requests at the same moment, and returns the channel of their answers.
func sendToDesk(n *node.Node, requests int) <-chan call.Answer {
	answers := make(chan call.Answer, requests)
	for i := range requests {
		go func() { answers <- n.Exec(context.Background(), deskRequest(fmt.Sprint(i))) }()
	}
	return answers
}

// TestRemovedEndpointRefusesQueuedRequests guards against requests that wait at an endpoint which the platform no longer lists,
// reach it late and are lost with it.
func TestRemovedEndpointRefusesQueuedRequests(t *testing.T) {
	for name, list := range map[string]string{"listed as leaving": leavingDesk, "removed": removedDesk} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			release := make(chan struct{})
			runs := &atomic.Int64{}
			n, w := listedUntraced(t, func(context.Context, call.Request) (call.Answer, bool) {
				runs.Add(1)
				<-release
				return call.NewAnswer(200, nil, nil), false
			})
			running := n.Limit()
			requests := 4 * running
			answers := sendToDesk(n, requests)
			w.waitFor(t, "all requests to be in flight", func() bool { return n.Running() == running && n.InFlight() >= requests+running })
			w.publish(node.NameHosts, list)
			expired := time.After(leaveTimeout)
			for range requests - running {
				select {
				case a := <-answers:
					is.Equal(a.Verdict(), verd.NotRun(verd.ReasonLeaving)) // so that the entry nodes send it elsewhere
				case <-expired:
					close(release)
					t.Fatal("requests still wait")
				}
			}
			close(release)
			for range running {
				is.True((<-answers).Verdict().HasRun()) // requests that have started are finished
			}
			is.Equal(runs.Load(), int64(running))
		})
	}
}

// TestRequestsNameTheInstanceUntilTheEnd guards against a request that is sent just after the endpoint was removed and runs at
// another one that has its address by then.
func TestRequestsNameTheInstanceUntilTheEnd(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	unnamed := &atomic.Int64{}
	n, w := listedUntraced(t, func(_ context.Context, r call.Request) (call.Answer, bool) {
		if r.Instance() != "i-1" {
			unnamed.Add(1)
		}
		<-release
		return call.NewAnswer(200, nil, nil), false
	})
	requests := 2 * n.Limit()
	answers := sendToDesk(n, requests)
	w.waitFor(t, "requests to wait", func() bool { return n.InFlight() >= requests+n.Limit() })
	w.publish(node.NameHosts, removedDesk)
	w.waitFor(t, "the endpoint to leave", n.Leaving)
	close(release)
	for range requests {
		is.True((<-answers).Verdict().HasRun())
	}
	is.Equal(unnamed.Load(), int64(0))
}

// TestRemovedEndpointGetsNoSuspect guards against a crash suspect that waits for its turn and is sent to an endpoint that has
// left meanwhile.
func TestRemovedEndpointGetsNoSuspect(t *testing.T) {
	is := is.New(t)
	release, started := make(chan struct{}), make(chan struct{}, 2)
	n, w := listedUntraced(t, func(context.Context, call.Request) (call.Answer, bool) {
		started <- struct{}{}
		<-release
		return call.NewAnswer(200, nil, nil), false
	})
	answers := make(chan call.Answer, 2)
	send := func(id string) { answers <- n.Exec(context.Background(), deskRequest(id).WithCrashSuspect(true)) }
	go send("first")
	<-started
	go send("second")
	time.Sleep(50 * time.Millisecond)
	w.publish(node.NameHosts, removedDesk)
	time.Sleep(leaveTimeout)
	close(release)
	verdicts := map[verd.Verdict]int{(<-answers).Verdict(): 1}
	verdicts[(<-answers).Verdict()]++
	is.Equal(verdicts, map[verd.Verdict]int{verd.Ran(): 1, verd.NotRun(verd.ReasonLeaving): 1})
}

// TestRelistedEndpointServesAgain checks that an endpoint whose entry had only expired gets requests again once it is back.
func TestRelistedEndpointServesAgain(t *testing.T) {
	is := is.New(t)
	n, w := listedUntraced(t, func(context.Context, call.Request) (call.Answer, bool) {
		return call.NewAnswer(200, nil, nil), false
	})
	for range 3 {
		w.publish(node.NameHosts, removedDesk)
		w.waitFor(t, "the endpoint to leave", n.Leaving)
		w.publish(node.NameHosts, listedDesk)
		w.waitFor(t, "the endpoint to serve", func() bool { return !n.Leaving() })
		is.True(n.Exec(t.Context(), deskRequest("1")).Verdict().HasRun())
	}
	w.publish(node.NameHosts, removedDesk)
	time.Sleep(leaveTimeout)
	w.publish(node.NameHosts, listedDesk)
	w.waitFor(t, "the endpoint to serve", func() bool { return n.Exec(t.Context(), deskRequest("1")).Verdict().HasRun() })
}
