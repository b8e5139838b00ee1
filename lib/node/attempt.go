package node

import (
	"context"
	"strings"
	"time"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/picker"
	"tamarackrudder.org/lib/verd"
)

const (
	// maxRedirects bounds how often a request that reached no backend server is sent to another node.
	maxRedirects     = 8
	minRedirectPause = 10 * time.Millisecond
	maxRedirectPause = 320 * time.Millisecond
)

// sendWithRetries sends a request until a backend server has answered it or it must not be sent again.
func (n *Node) sendWithRetries(ctx context.Context, e *entry) call.Answer {
	a, mayHaveRunBefore := n.runAttempts(ctx, e)
	if v := a.Verdict(); mayHaveRunBefore && v.IsNotRun() {
		return call.Refusal(verd.MayHaveRun(v.Reason())) // the refusal covers only the last attempt
	}
	return a
}

// runAttempts returns the answer to the last attempt, and whether an earlier attempt may have run.
func (n *Node) runAttempts(ctx context.Context, e *entry) (last call.Answer, mayHaveRunBefore bool) {
	pause := minRedirectPause
	for {
		a := n.attempt(ctx, e)
		v := a.Verdict()
		e.backpressure = append(e.backpressure, a.Backpressure()...)
		n.gate.RecordDemands(e.route.Name(), a.Demands())
		if a.IsEntryRoute() {
			n.origin.MarkEntryRoute(e.route.Name())
		}
		e.shed = e.shed || a.DownstreamShed()
		switch {
		case v.HasRun():
			if !n.settings.untraced {
				n.retries.RecordRequest(e.request.Service(), 0)
			}
			return a, mayHaveRunBefore
		case isRedirect(v):
			if e.redirects >= maxRedirects || !n.waitWithin(ctx, e, pause) {
				return a, mayHaveRunBefore
			}
			e.redirects++
			pause = min(maxRedirectPause, 2*pause)
		case !n.mayRetry(ctx, e, v):
			return a, mayHaveRunBefore
		default:
			mayHaveRunBefore = mayHaveRunBefore || !v.IsNotRun()
			e.request = prepareRetry(e.request, v)
		}
	}
}

// prepareRetry returns the request to send again after an attempt that ended with the given verdict.
func prepareRetry(r call.Request, v verd.Verdict) call.Request {
	if !v.IsNotRun() || v.Reason() == verd.ReasonBackendShed {
		r = r.WithRetryFraction(1) // the last attempt may have reached a backend server
	}
	return r.WithCrashSuspect(r.CrashSuspect() || v.Reason() == verd.ReasonAnswerLost)
}

// isRedirect reports whether an attempt was refused before it reached a backend server, for a reason that need not hold
// at another node.
func isRedirect(v verd.Verdict) bool {
	switch v.Reason() {
	case verd.ReasonLeaving, verd.ReasonNotOwner, verd.ReasonBackendReplaced, verd.ReasonNoLease, verd.ReasonNoRules,
		verd.ReasonPeerUnreachable, verd.ReasonBackendDown:
		return v.IsNotRun()
	}
	return false
}

// mayRetry reports whether a request may be sent again after a verdict. If so, it takes one retry from the retry
// allowance of the request and one from the retry budget of the service.
func (n *Node) mayRetry(ctx context.Context, e *entry, v verd.Verdict) bool {
	if ctx.Err() != nil || (e.request.NonIdempotent() && !v.IsNotRun()) {
		return false
	}
	if v.Reason() == verd.ReasonAnswerLost && e.request.CrashSuspect() {
		return false // it may have crashed two backend servers by now
	}
	switch v.Reason() {
	case verd.ReasonQueueFull, verd.ReasonBodiesFull, verd.ReasonBackendShed, verd.ReasonAnswerLost, verd.ReasonConnLost,
		verd.ReasonSilent, verd.ReasonLinkSilent:
	default:
		return false
	}
	switch {
	case e.ledger.Left() == 0:
		n.logDecision("not sent again: its route allows no more", e.request, "service", e.request.Service(), "after", v.Reason())
		return false
	case !n.retries.Take(e.request.Service()):
		n.logDecision("not sent again: no retries are left for its service", e.request, "service", e.request.Service(), "after", v.Reason())
		return false
	}
	n.logDecision("sent again", e.request, "service", e.request.Service(), "after", v.Reason(), "tried", strings.Join(e.tried, ","))
	return e.ledger.Spend()
}

// waitWithin waits for d and reports whether it did. If the deadline would come first, it does not wait, so that the
// caller gets the last refusal in time.
func (n *Node) waitWithin(ctx context.Context, e *entry, d time.Duration) bool {
	return n.clock.Now().Add(d).Before(e.request.Deadline()) && n.wait(ctx, d)
}

func (n *Node) wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.clock.After(d):
		return true
	}
}

// attempt sends a request once, with a part of its remaining retry allowance.
func (n *Node) attempt(ctx context.Context, e *entry) call.Answer {
	addr, ok := n.chooseEndpoint(e)
	if !ok {
		return call.Refusal(verd.NotRun(verd.ReasonNoEndpoint))
	}
	reserved := e.ledger.Reserve()
	n.picker.RecordSent(addr)
	start := n.clock.Now()
	a := n.sendUnlessSilent(ctx, e, addr, reserved)
	v := a.Verdict()
	unspent := a.UnspentRetries()
	if v.Reason() == verd.ReasonPeerUnreachable && v.IsNotRun() {
		unspent = reserved
	}
	e.ledger.Refund(reserved, unspent)
	n.recordCapacity(addr, a)
	n.picker.RecordAnswer(addr, n.clock.Now().Sub(start), a.InFlight(), outcomeOf(v))
	switch v.Reason() {
	case verd.ReasonLeaving, verd.ReasonBackendReplaced:
		n.picker.MarkLeaving(addr)
	case verd.ReasonSilent, verd.ReasonPeerUnreachable:
		n.picker.MarkSilent(addr)
	}
	e.tried = append(e.tried, addr)
	return a
}

// outcomeOf returns the outcome that the picker records for the endpoint of an attempt with the given verdict.
func outcomeOf(v verd.Verdict) picker.Outcome {
	switch v.Reason() {
	case verd.ReasonPeerUnreachable, verd.ReasonPeerVersion, verd.ReasonBackendDown, verd.ReasonAnswerLost,
		verd.ReasonConnLost, verd.ReasonSilent:
		return picker.Unanswered
	}
	switch {
	case v.HasRun():
		return picker.Served
	case v.IsNotRun() && v.IsOverload():
		return picker.Refused
	}
	return picker.Declined
}

// sendUnlessSilent sends one attempt of an idempotent request and abandons it when the endpoint has gone silent and a
// retry is left for another endpoint. The attempt keeps the deadline of the request, since an endpoint that is only
// slow may still answer in time. Untraced nodes and attempts at the local endpoint wait for the answer.
func (n *Node) sendUnlessSilent(ctx context.Context, e *entry, addr string, reserved int) call.Answer {
	r := e.request.WithAllowance(reserved)
	if r.NonIdempotent() || addr == n.settings.self || e.ledger.Left() == 0 || n.settings.untraced {
		return n.send(ctx, addr, r)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan call.Answer, 1)
	release := r.Body().Retain()
	go func() {
		defer release()
		answered <- n.send(ctx, addr, r)
	}()
	for {
		select {
		case a := <-answered:
			return a
		case <-n.clock.After(n.picker.AnswerTimeout()):
		}
		if n.picker.IsSilent(addr) {
			return call.Refusal(verd.MayHaveRun(verd.ReasonSilent))
		}
	}
}

func (n *Node) send(ctx context.Context, addr string, r call.Request) call.Answer {
	if addr == n.settings.self {
		return n.Exec(ctx, r)
	}
	return n.seams.Exec(ctx, addr, r)
}
