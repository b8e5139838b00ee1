package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"tamarackrudder.org/lib/claims"
	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/lease"
)

const (
	// pollTimeout bounds each call of poll, and pollInterval is the pause between its checks.
	pollTimeout  = 2 * time.Second
	pollInterval = 20 * time.Millisecond
	// queueFlushDelay is how long requests that were queued before a drain may still wait for this endpoint.
	queueFlushDelay = time.Second
	// probeInterval and probeFailuresToDrain bound how long the keys of a dead backend server go unserved.
	probeInterval        = 100 * time.Millisecond
	probeFailuresToDrain = 3
	// maxHandoverClaims and maxHandoverBytes bound the claims of one handover message, by count and by the bytes of
	// their answers.
	maxHandoverClaims = 2000
	maxHandoverBytes  = 8 << 20
)

// Drain announces that this endpoint is leaving, refuses new work, and transfers its keys and claims to the endpoints
// that rank next. Requests in flight go on.
func (n *Node) Drain(ctx context.Context) {
	if !n.leaving.CompareAndSwap(false, true) {
		return
	}
	n.flushed.Store(false)
	_ = level.Info(n.log).Log("msg", "leaving")
	n.triggerHeartbeat()
	if !n.Leased() {
		go n.flushQueueAfterDelay()
		return
	}
	n.group.Release()
	acknowledged := n.waitReleaseAcknowledged(ctx)
	if !acknowledged {
		_ = level.Error(n.log).Log("msg", "too few peers have acknowledged the release, keys are not handed over")
		return
	}
	n.handOver(ctx)
}

// flushQueueAfterDelay refuses the requests that are still queued queueFlushDelay after the drain began, so that their
// entry nodes send them elsewhere.
func (n *Node) flushQueueAfterDelay() {
	if n.wait(n.ctx, queueFlushDelay) && n.leaving.Load() {
		n.flushed.Store(true)
		n.queue.Flush()
	}
}

// applyListedLeaving drains this endpoint while it is leaving according to the platform's list, and undrains it when it no
// longer is. With leases it first waits for ownership under that list to become active, since until then no peer could take
// over the keys without a gap.
func (n *Node) applyListedLeaving(leaving bool) {
	if leaving && !n.leaving.Load() {
		n.listedLeaving.Store(true)
		n.whenOwnershipActive(func() {
			if n.listedLeaving.Load() {
				n.Drain(n.ctx)
			}
		})
	}
	if !leaving && n.listedLeaving.CompareAndSwap(true, false) {
		n.whenOwnershipActive(n.Undrain)
	}
}

// whenOwnershipActive calls do at once if there are no leases, else in the background once ownership under the newest list is
// active, after pollTimeout at the latest.
func (n *Node) whenOwnershipActive(do func()) {
	if !n.Leased() {
		do()
		return
	}
	go func() {
		n.poll(n.ctx, func() bool { return !n.Leased() || n.group.Status().Active() })
		if n.ctx.Err() == nil {
			do()
		}
	}()
}

func (n *Node) waitReleaseAcknowledged(ctx context.Context) bool {
	return n.poll(ctx, func() bool {
		if n.group.ReleaseAcknowledged() {
			return true
		}
		n.triggerHeartbeat()
		return false
	})
}

// poll calls done repeatedly and reports whether it returned true within pollTimeout.
func (n *Node) poll(ctx context.Context, done func() bool) bool {
	end := n.clock.Now().Add(pollTimeout)
	for !done() {
		if n.clock.Now().After(end) || !n.wait(ctx, pollInterval) {
			return false
		}
	}
	return true
}

// handOver sends all claims to every peer of the service; the last message lets the peer take over the keys. Each peer
// gets all claims, because two peers may disagree on which endpoint ranks next while a third one leaves or rejoins.
func (n *Node) handOver(ctx context.Context) {
	n.claims.Freeze()
	all := n.claims.Claims()
	for _, addr := range n.group.Peers() {
		if err := n.handOverTo(ctx, addr, all); err != nil {
			_ = level.Error(n.log).Log("msg", "claims not handed over", "to", addr, "err", err)
		}
	}
}

func (n *Node) handOverTo(ctx context.Context, addr string, all []claims.Claim) error {
	incarnation, cutoff := n.group.Incarnation(), n.group.Cutoff()
	for {
		size := handoverPartSize(all)
		last := size == len(all)
		h := gossip.NewHandover(n.settings.self, incarnation, cutoff, all[:size], last)
		if err := n.seams.Handover(ctx, addr, h); err != nil {
			return err
		}
		if last {
			return nil
		}
		all = all[size:]
	}
}

func handoverPartSize(all []claims.Claim) int {
	bytes := 0
	for i, c := range all {
		bytes += len(c.Answer().Body())
		if i >= maxHandoverClaims || (i > 0 && bytes > maxHandoverBytes) {
			return i
		}
	}
	return len(all)
}

// HandleHandover imports claims of a peer that has released its keys; with the last part of a handover it records the
// takeover.
func (n *Node) HandleHandover(h gossip.Handover) error {
	n.claims.Import(h.Claims())
	if h.Last() {
		n.group.RecordHandover(h.From(), h.Incarnation(), h.Cutoff())
		n.triggerHeartbeat() // the release takes effect once a majority has confirmed it
		_ = level.Info(n.log).Log("msg", "claims taken over", "from", h.From())
	}
	return nil
}

// HandleReclaim answers a restarted peer that reclaims its keys, with the claims and the key cutoff of this endpoint. The
// reply is empty while ownership under the newest list is not active here.
func (n *Node) HandleReclaim(request lease.ReclaimRequest) gossip.ReclaimReply {
	covers, cutoff, listVersion := n.group.AnswerReclaim(request)
	if listVersion == 0 {
		return gossip.ReclaimReply{} // the peer has to ask again, so the claims are not sent yet
	}
	return gossip.NewReclaimReply(covers, cutoff, listVersion, n.claims.ExportAndRevoke())
}

// reclaimKeys asks every peer for the keys that an earlier incarnation of this endpoint lost. If a peer does not
// answer, the endpoint owns the keys again only after the leases that confirm the takeover have expired.
func (n *Node) reclaimKeys() {
	request, pending := n.group.PendingReclaim()
	if !pending || !n.Leased() {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, heartbeatTimeout)
	defer cancel()
	cutoff, listVersion, covered := request.Cutoff(), uint64(0), request.Kept()
	for _, addr := range n.group.Peers() {
		r, err := n.seams.Reclaim(ctx, addr, request)
		if err != nil || r.List() == 0 || (listVersion != 0 && r.List() != listVersion) {
			_ = level.Info(n.log).Log("msg", "keys not reclaimed yet", "peer", addr, "list", r.List(), "err", err)
			return
		}
		n.claims.Import(r.Claims())
		listVersion, covered = r.List(), covered || r.Covers()
		if r.Cutoff().After(cutoff) {
			cutoff = r.Cutoff()
		}
	}
	if covered {
		n.claims.Thaw()
		n.group.FinishReclaim(cutoff, listVersion)
	}
	_ = level.Info(n.log).Log("msg", "all peers have answered the reclaim of keys",
		"held", covered, "fence", cutoff, "active", n.group.Status().Active())
}

// Undrain accepts new work again, unless the node stops; keys are served again once the lease allows it.
func (n *Node) Undrain() {
	if n.stopping.Load() || !n.leaving.CompareAndSwap(true, false) {
		return
	}
	_ = level.Info(n.log).Log("msg", "no longer leaving")
	n.group.Resume()
	n.claims.Thaw()
	n.triggerHeartbeat()
}

// probeLoop probes the backend server. While it accepts no connections the endpoint drains, so that others serve its
// keys; a drain that an operator started is left alone.
func (n *Node) probeLoop() {
	failures := 0
	drained := false
	for n.wait(n.ctx, probeInterval) {
		if n.seams.Probe(n.ctx) {
			failures = 0
			if drained {
				drained = false
				n.Undrain()
			}
			continue
		}
		failures++
		if failures >= probeFailuresToDrain && !n.leaving.Load() {
			drained = true
			_ = level.Error(n.log).Log("msg", "backend server accepts no connections")
			n.Drain(n.ctx)
		}
	}
}
