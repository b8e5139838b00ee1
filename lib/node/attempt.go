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
	maxRedirects  = 8
	minRedirectPause = 10 * time.Millisecond
	maxRedirectPause  = 320 * time.Millisecond
)

// sendWithRetries sends a request until it ran, may have run, or may not be tried again.
func (n *Node) sendWithRetries(ctx context.Context, e *entry) call.Answer {
	a, ran := n.runAttempts(ctx, e)
	if v := a.Verdict(); ran && v.IsNotRun() {
		return call.Refusal(verd.MayHaveRun(v.Reason())) // the last attempt speaks only of itself
	}
	return a
}

// runAttempts returns the last attempt's answer, and whether an earlier attempt may have run.
func (n *Node) runAttempts(ctx context.Context, e *entry) (last call.Answer, ranBefore bool) {
	pause := minRedirectPause
	for {
		a := n.attempt(ctx, e)
		v := a.Verdict()
		e.backpressure = append(e.backpressure, a.Pressures()...)
		n.gate.Learn(e.route.Name(), a.Needs())
		if a.FromCallers() {
			n.origin.Told(e.route.Name())
		}
		e.shed = e.shed || a.Shed()
		switch {
		case v.HasRun():
			if !n.settings.untraced {
				n.retries.Earn(e.request.Service(), 0)
			}
			return a, ranBefore
		case isRedirect(v):
			if e.redirects >= maxRedirects || !n.waitWithin(ctx, e, pause) {
				return a, ranBefore
			}
			e.redirects++
			pause = min(maxRedirectPause, 2*pause)
		case !n.mayRetry(ctx, e, v):
			return a, ranBefore
		default:
			ranBefore = ranBefore || !v.IsNotRun()
			e.request = prepareRetry(e.request, v)
		}
	}
}

// prepareRetry returns a request as it is sent again after a verdict.
func prepareRetry(r call.Request, v verd.Verdict) call.Request {
	if !v.IsNotRun() || v.Reason() == verd.ReasonBackendShed {
		r = r.WithAgain(1) // it has come to a backend server
	}
	return r.WithSuspect(r.Suspect() || v.Reason() == verd.ReasonAnswerLost)
}

// isRedirect reports whether a refusal came before any backend server was reached and another node may serve.
func isRedirect(v verd.Verdict) bool {
	switch v.Reason() {
	case verd.ReasonLeaving, verd.ReasonNotOwner, verd.ReasonBackendReplaced, verd.ReasonNoLease, verd.ReasonNoRules,
		verd.ReasonPeerUnreachable, verd.ReasonBackendDown:
		return v.IsNotRun()
	}
	return false
}

// mayRetry spends a retry where the verdict allows one.
func (n *Node) mayRetry(ctx context.Context, e *entry, v verd.Verdict) bool {
	if ctx.Err() != nil || (e.request.NonIdempotent() && !v.IsNotRun()) {
		return false
	}
	if v.Reason() == verd.ReasonAnswerLost && e.request.Suspect() {
		return false // it may have crashed two backend servers
	}
	switch v.Reason() {
	case verd.ReasonQueueFull, verd.ReasonBackendShed, verd.ReasonAnswerLost, verd.ReasonConnLost,
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

// waitWithin waits unless the deadline would come first; the refusal at hand then reaches the caller in time.
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

// attempt sends a request once, with a part of what is left of its allowance.
func (n *Node) attempt(ctx context.Context, e *entry) call.Answer {
	addr, ok := n.chooseEndpoint(e)
	if !ok {
		return call.Refusal(verd.NotRun(verd.ReasonNoEndpoint))
	}
	handed := e.ledger.Hand()
	n.picker.Sent(addr)
	start := n.clock.Now()
	a := n.sendUnlessSilent(ctx, e, addr, handed)
	v := a.Verdict()
	unspent := a.Unspent()
	if v.Reason() == verd.ReasonPeerUnreachable && v.IsNotRun() {
		unspent = handed
	}
	e.ledger.Return(handed, unspent)
	n.picker.Answered(addr, n.clock.Now().Sub(start), a.InFlight(), outcomeOf(v))
	switch v.Reason() {
	case verd.ReasonLeaving:
		n.picker.Leaving(addr)
	case verd.ReasonSilent, verd.ReasonPeerUnreachable:
		n.picker.Lost(addr)
	}
	e.tried = append(e.tried, addr)
	return a
}

// outcomeOf returns what an attempt tells of the endpoint that it was sent to.
func outcomeOf(v verd.Verdict) picker.Outcome {
	switch v.Reason() {
	case verd.ReasonPeerUnreachable, verd.ReasonPeerVersion, verd.ReasonBackendDown, verd.ReasonAnswerLost,
		verd.ReasonConnLost, verd.ReasonSilent:
		return picker.Broken
	}
	switch {
	case v.HasRun():
		return picker.Served
	case v.IsNotRun() && v.IsOverload():
		return picker.Refused
	}
	return picker.Declined
}

// sendUnlessSilent gives up on an endpoint that has fallen silent while a retry is left for another one. The attempt keeps
// the request's own deadline, since an endpoint that is only slow may still make it.
func (n *Node) sendUnlessSilent(ctx context.Context, e *entry, addr string, handed int) call.Answer {
	r := e.request.WithAllowance(handed)
	if r.NonIdempotent() || addr == n.settings.self || e.ledger.Left() == 0 || n.settings.untraced {
		return n.send(ctx, addr, r)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan call.Answer, 1)
	go func() { answered <- n.send(ctx, addr, r) }()
	for {
		select {
		case a := <-answered:
			return a
		case <-n.clock.After(n.picker.Patience()):
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
