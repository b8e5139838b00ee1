package node

import (
	"context"
	"time"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/claims"
	"tamarackrudder.org/lib/rules"
	"tamarackrudder.org/lib/verd"
)

// settleTimeout is how long after its deadline a non-idempotent request may still run, so that its answer can be
// stored.
const settleTimeout = 5 * time.Second

// execDeduped runs a non-idempotent request at most once for its key. A repeated request gets the stored answer or
// waits for the run in progress.
func (n *Node) execDeduped(ctx context.Context, r call.Request, service rules.Service) call.Answer {
	fingerprint := r.Fingerprint()
	result, found := n.claims.Lookup(r.Key(), fingerprint)
	if !found {
		permit := n.group.Permit(r.Key())
		if !permit.Allowed() {
			return refuse(r, permit.Reason())
		}
		result = n.claims.Claim(r.Key(), fingerprint, claims.NewPermission(permit.At(), permit.Cutoff()), n.claimBounds(service))
	}
	switch result.Outcome() {
	case claims.Answered:
		return result.Answer().WithUnspentRetries(r.Allowance())
	case claims.Running:
		return n.awaitRunning(ctx, r, result.Settled())
	}
	a := n.execGuarded(ctx, r, service)
	if a.Verdict() == verd.MayHaveRun(verd.ReasonDeadline) {
		return a // runJob goes on after the deadline and settles the claim
	}
	n.settle(r, a)
	return a.WithProvenNotRun(a.Verdict().IsNotRun())
}

func (n *Node) claimBounds(service rules.Service) claims.Bounds {
	t := n.settings.terms
	return claims.NewBounds(service.Horizon(), service.Keys(), t.Future(), t.Skew())
}

// awaitRunning waits for the end of an earlier request with the same key and returns its answer. If the earlier request
// did not run, it refuses r as not run.
func (n *Node) awaitRunning(ctx context.Context, r call.Request, settled <-chan struct{}) call.Answer {
	select {
	case <-settled:
	case <-ctx.Done():
		return call.Refusal(verd.MayHaveRun(verd.ReasonDeadline))
	}
	if a, ok := n.claims.Answer(r.Key()); ok {
		return a
	}
	return refuse(r, verd.ReasonQueueFull).WithProvenNotRun(true)
}

// settle stores the answer of a deduplicated request, or drops its claim if it did not run.
func (n *Node) settle(r call.Request, a call.Answer) {
	if r.Deduped() {
		n.claims.Settle(r.Key(), a)
	}
}
