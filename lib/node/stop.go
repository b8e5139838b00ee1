package node

import (
	"context"
	"time"

	"tamarackrudder.org/lib/verd"
)

const (
	// peerNoticeTime is how long a stopping node goes on answering, so that peers learn of the stop by heartbeat; until
	// they have, each request that they send is refused.
	peerNoticeTime = 300 * time.Millisecond
	// lastAnswerTime is the time before the stop timeout that is left for passing on the answers to the last requests.
	lastAnswerTime = 300 * time.Millisecond
)

// Stop drains for good and gives callers the time callersLeave to send their requests elsewhere; then it refuses them, and
// only the downstream calls of the local backend server go on. The context ends at the stop timeout. A node with leases
// hands its keys over before the time callersLeave; without leases it drains afterwards, so that its backend server goes on
// working meanwhile.
func (n *Node) Stop(ctx context.Context, callersLeave time.Duration) {
	if end, ok := ctx.Deadline(); ok {
		end = end.Add(-lastAnswerTime)
		n.lastDeadline.Store(&end)
	}
	n.stopping.Store(true)
	if n.Leased() {
		n.Drain(ctx)
		n.wait(ctx, callersLeave)
		n.refusesCallers.Store(true)
		return
	}
	n.wait(ctx, callersLeave)
	n.refusesCallers.Store(true)
	n.Drain(ctx)
	n.wait(ctx, peerNoticeTime)
}

// checkStopping refuses a request that comes from a caller after the time that a stop gives callers to leave.
func (n *Node) checkStopping(e *entry) *verd.Verdict {
	if n.refusesCallers.Load() && !n.isDownstreamCall(e) {
		return notRun(verd.ReasonLeaving)
	}
	return nil
}

// isDownstreamCall reports whether a request comes from the local backend server.
func (n *Node) isDownstreamCall(e *entry) bool {
	if n.settings.untraced {
		return !n.origin.IsEntryRoute(e.route.Name())
	}
	return e.request.ParentToken() != ""
}

// boundByStop returns the deadline of a request, or that of the last requests of a stopping node if it comes first.
func (n *Node) boundByStop(deadline time.Time) time.Time {
	if last := n.lastDeadline.Load(); last != nil && last.Before(deadline) {
		return *last
	}
	return deadline
}

// WaitExecuted waits until the local backend server has no request in flight; until then it may still make downstream
// calls. The error says how many requests were left when the context ended.
func (n *Node) WaitExecuted(ctx context.Context) error { return n.executing.wait(ctx) }

// WaitIdle waits until no request is in flight, and, after a release of keys, hands over the answers that were stored
// since. The error says how many requests were left when the context ended.
func (n *Node) WaitIdle(ctx context.Context) error {
	if err := n.executing.wait(ctx); err != nil {
		return err
	}
	if err := n.serving.wait(ctx); err != nil {
		return err
	}
	if n.Leased() && n.group.ReleaseAcknowledged() {
		n.handOver(ctx)
	}
	return nil
}
