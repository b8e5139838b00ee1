package node_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/node"
	"tamarackrudder.org/lib/verd"
)

// newStopped returns an untraced node after Stop, whose context ends at the returned time. Requests run at a peer, which
// reports GET /items as a route of callers.
func newStopped(t *testing.T, peer execFunc) (*node.Node, time.Time) {
	t.Helper()
	const stopTimeout, callersLeave = 2 * time.Second, 50 * time.Millisecond
	values := map[string]string{node.NameRules: untracedRules, node.NameHosts: "desk 10.0.0.2:1 z0"}
	n := newUntracedWithPeers(t, values, nil, func(ctx context.Context, addr string, r call.Request) call.Answer {
		return peer(ctx, addr, r).WithEntryRoute(r.Method() == "GET")
	})
	awaitReady(t, n)
	n.Serve(t.Context(), call.NewRequest("0", "GET", "/items/1", ""))
	ctx, cancel := context.WithTimeout(t.Context(), stopTimeout)
	t.Cleanup(cancel)
	end, _ := ctx.Deadline()
	n.Stop(ctx, callersLeave)
	return n, end
}

// TestStoppedNodeRefusesLateCallers guards against late requests that a stopping node takes and then drops.
func TestStoppedNodeRefusesLateCallers(t *testing.T) {
	is := is.New(t)
	n, _ := newStopped(t, func(context.Context, string, call.Request) call.Answer { return call.NewAnswer(200, nil, nil) })
	a := n.Serve(t.Context(), call.NewRequest("1", "GET", "/items/1", ""))
	is.Equal(a.Verdict(), verd.NotRun(verd.ReasonLeaving))
	is.True(a.RetryAfter() > 0)
}

// newStoppedAtWork returns an untraced node after Stop, whose context ends at the returned time, while its backend server still
// runs a request of a peer. Requests that enter at the node run at a peer.
func newStoppedAtWork(t *testing.T, peer execFunc) (*node.Node, time.Time) {
	t.Helper()
	const stopTimeout, callersLeave = 2 * time.Second, 50 * time.Millisecond
	values := map[string]string{node.NameRules: untracedRules, node.NameHosts: "desk 10.0.0.1:1 z0\ndesk 10.0.0.2:1 z0"}
	running, finish := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(finish) })
	n := newUntracedWithPeers(t, values, func(context.Context, call.Request) (call.Answer, bool) {
		close(running)
		<-finish
		return call.NewAnswer(200, nil, nil), false
	}, peer)
	awaitReady(t, n)
	parent := call.NewRequest("parent", "POST", "/orders", "").WithRoute("desk", true).WithDeadline(time.Now().Add(time.Minute))
	go n.Exec(t.Context(), parent)
	<-running
	ctx, cancel := context.WithTimeout(t.Context(), stopTimeout)
	t.Cleanup(cancel)
	end, _ := ctx.Deadline()
	n.Stop(ctx, callersLeave)
	return n, end
}

// TestDownstreamCallsEndBeforeTheStopTimeout guards against late calls of the backend server that outlast the process.
func TestDownstreamCallsEndBeforeTheStopTimeout(t *testing.T) {
	is := is.New(t)
	var deadline time.Time
	n, end := newStoppedAtWork(t, func(_ context.Context, _ string, r call.Request) call.Answer {
		deadline = r.Deadline()
		return call.NewAnswer(200, nil, nil)
	})
	a := n.Serve(t.Context(), call.NewRequest("1", "POST", "/orders", "").WithTimeout(time.Minute))
	is.True(a.Verdict().HasRun())
	is.True(deadline.Before(end))
}

// TestIdleBackendServerSendsNoCalls guards against a caller's late request, on a route not known as an entry route, that a
// stopping node passes on and then gives up.
func TestIdleBackendServerSendsNoCalls(t *testing.T) {
	is := is.New(t)
	n, _ := newStopped(t, func(context.Context, string, call.Request) call.Answer { return call.NewAnswer(200, nil, nil) })
	a := n.Serve(t.Context(), call.NewRequest("1", "POST", "/orders", ""))
	is.Equal(a.Verdict(), verd.NotRun(verd.ReasonLeaving))
}

// TestFinishedNodeAdmitsNothing guards against a request that is passed on while the server closes its connection as idle.
func TestFinishedNodeAdmitsNothing(t *testing.T) {
	is := is.New(t)
	n, _ := newStopped(t, func(context.Context, string, call.Request) call.Answer { return call.NewAnswer(200, nil, nil) })
	is.NoErr(n.Finish(t.Context()))
	a := n.Serve(t.Context(), call.NewRequest("1", "POST", "/orders", ""))
	is.Equal(a.Verdict(), verd.NotRun(verd.ReasonLeaving))
}

// TestRequestIsAnsweredWhenCallersGetLongerThanTheStop guards against a stop whose time is used up before its last answers.
func TestRequestIsAnsweredWhenCallersGetLongerThanTheStop(t *testing.T) {
	is := is.New(t)
	running := make(chan struct{})
	n := readyUntraced(t, func(ctx context.Context, _ call.Request) (call.Answer, bool) {
		close(running)
		<-ctx.Done()
		return call.Refusal(verd.MayHaveRun(verd.ReasonCanceled)), false
	})
	answers := make(chan call.Answer, 1)
	go func() { answers <- n.Serve(t.Context(), call.NewRequest("1", "GET", "/items/1", "")) }()
	<-running
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	n.Stop(ctx, time.Minute)
	is.True(n.Finish(ctx) != nil)
	select {
	case a := <-answers:
		is.Equal(a.Verdict(), verd.MayHaveRun(verd.ReasonLeaving))
	case <-ctx.Done():
		t.Fatal("no answer at the end of the stop")
	}
}

// TestPeersRequestEndsBeforeTheStopTimeout guards against a peer's request that a stopping node takes and breaks off.
func TestPeersRequestEndsBeforeTheStopTimeout(t *testing.T) {
	is := is.New(t)
	deadlines := make(chan time.Time, 1)
	n := readyUntraced(t, func(_ context.Context, r call.Request) (call.Answer, bool) {
		deadlines <- r.Deadline()
		return call.NewAnswer(200, nil, nil), false
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	end, _ := ctx.Deadline()
	go n.Stop(ctx, time.Minute)
	for !n.Stopping() {
		time.Sleep(time.Millisecond)
	}
	peers := call.NewRequest("1", "GET", "/items/1", "").WithRoute("desk", false)
	is.True(n.Exec(t.Context(), peers.WithDeadline(end.Add(time.Minute))).Verdict().HasRun())
	is.True((<-deadlines).Before(end))
}

// TestUndrainDoesNotUndoAStop guards against requests that a stopping node takes again after an undrain.
func TestUndrainDoesNotUndoAStop(t *testing.T) {
	is := is.New(t)
	n, _ := newStopped(t, func(context.Context, string, call.Request) call.Answer { return call.NewAnswer(200, nil, nil) })
	n.Undrain()
	is.True(n.Leaving())
}
