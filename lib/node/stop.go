package node

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/verd"
)

const (
	// peerNoticeTime is how long a stopping node goes on answering, so that peers learn of the stop by heartbeat; until
	// they have, each request that they send is refused.
	peerNoticeTime = 300 * time.Millisecond
	// answerMargin is the time before the stop timeout that is left for passing on the answers to the last requests.
	answerMargin = 300 * time.Millisecond
	// giveUpMargin is the time before the stop timeout at which a stopping node gives up the requests that are left.
	giveUpMargin = 150 * time.Millisecond
)

// Stop drains for good and gives callers the time callersLeave to send their requests elsewhere; then it refuses them, and
// only the downstream calls of the local backend server go on. The context ends at the stop timeout. A node with leases
// hands its keys over before the time callersLeave; without leases it drains afterwards, so that its backend server goes on
// working meanwhile.
func (n *Node) Stop(ctx context.Context, callersLeave time.Duration) {
	if end, ok := ctx.Deadline(); ok {
		last := end.Add(-answerMargin)
		n.stopDeadline.Store(&last)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, last)
		defer cancel()
	}
	n.stopping.Store(true)
	if n.Leased() {
		n.Drain(ctx)
		n.wait(ctx, callersLeave)
		n.refuseCallers()
		return
	}
	n.wait(ctx, callersLeave)
	n.refuseCallers()
	n.Drain(ctx)
	n.wait(ctx, peerNoticeTime)
}

func (n *Node) refuseCallers() {
	n.refusesCallers.Store(true)
	n.logStop("callers are refused from now on")
}

func (n *Node) refuseAll() {
	n.refusesAll.Store(true)
	n.logStop("all requests are refused from now on")
}

// logStop logs one step of a stop, with the requests that entered here and those for the local backend server.
func (n *Node) logStop(msg string) {
	_ = level.Info(n.log).Log("msg", msg, "entered", n.serving.len(), "executing", n.executing.len())
}

// checkStopping refuses a request that comes from a caller after the time that a stop gives callers to leave, and any
// request after the last one of the local backend server has ended. A request on a route that is not known as an entry route
// comes from a caller too if the backend server is running nothing that could have sent it.
func (n *Node) checkStopping(e *entry) *verd.Verdict {
	fromCaller := !n.isDownstreamCall(e) || n.executing.len() == 0
	if n.refusesAll.Load() || (n.refusesCallers.Load() && fromCaller) {
		return notRun(verd.ReasonLeaving)
	}
	return nil
}

// isDownstreamCall reports whether a request comes from the local backend server. One with the key of an organisation does not.
func (n *Node) isDownstreamCall(e *entry) bool {
	if n.settings.untraced {
		return e.request.Organisation() == "" && !n.origin.IsEntryRoute(e.route.Name())
	}
	return e.request.ParentToken() != ""
}

// boundByStop returns the deadline of a request, or stopDeadline if the node stops and that comes first.
func (n *Node) boundByStop(deadline time.Time) time.Time {
	if last := n.stopDeadline.Load(); last != nil && last.Before(deadline) {
		return *last
	}
	return deadline
}

// Finish waits until no request is in flight. What is left shortly before the context ends is given up, so that its caller
// still gets an answer; the error says how many requests these were. After a release of keys it hands over the answers that
// were stored since.
func (n *Node) Finish(ctx context.Context) error {
	err := n.waitIdle(ctx)
	if err != nil {
		n.refuseAll()
		n.cancelInFlight()
		if unanswered := n.serving.wait(ctx); unanswered != nil {
			err = fmt.Errorf("not answered: %w", unanswered)
		}
	}
	if n.Leased() && n.group.ReleaseAcknowledged() {
		n.handOver(ctx)
	}
	return err
}

// waitIdle waits until no request is in flight, at the latest until giveUpMargin before the context ends. The error says how
// many requests were left.
func (n *Node) waitIdle(ctx context.Context) error {
	if end, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end.Add(-giveUpMargin))
		defer cancel()
	}
	if err := n.executing.wait(ctx); err != nil {
		return err
	}
	n.refuseAll()
	return n.serving.wait(ctx)
}

// withStopReason names the stop as the reason of a request that a stopping node gave up; the kind of its verdict stays.
func (n *Node) withStopReason(caller context.Context, a call.Answer) call.Answer {
	v := a.Verdict()
	if n.inFlightCtx.Err() == nil || caller.Err() != nil || v.Reason() != verd.ReasonCanceled {
		return a
	}
	if v.IsNotRun() {
		return call.Refusal(verd.NotRun(verd.ReasonLeaving))
	}
	return call.Refusal(verd.MayHaveRun(verd.ReasonLeaving))
}
