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
	releaseTimeout  = 2 * time.Second
	pollInterval = 20 * time.Millisecond
	// queueFlushDelay is how long requests that were taken before may wait for an endpoint that leaves.
	queueFlushDelay = time.Second
	// peerNoticeTime is how long peers are given to hear that a node stops; until then they are refused one by one.
	peerNoticeTime = 300 * time.Millisecond
	// probeInterval and failuresToDrain bound how long a dead backend server's keys go unserved.
	probeInterval      = 100 * time.Millisecond
	probeFailuresToDrain = 3
	// maxHandoverClaims bounds the claims of one message, by count and by the bytes of their answers.
	maxHandoverClaims  = 2000
	maxHandoverBytes = 8 << 20
)

// Drain announces that this endpoint is leaving, takes no new work, and hands its keys and claims to those that rank
// next; requests in flight go on.
func (n *Node) Drain(ctx context.Context) {
	if !n.leaving.CompareAndSwap(false, true) {
		return
	}
	_ = level.Info(n.log).Log("msg", "leaving")
	n.triggerHeartbeat()
	if !n.Leased() {
		go n.flushQueueAfterDelay()
		return
	}
	n.group.Release()
	known := n.waitReleaseAcknowledged(ctx)
	if !known {
		_ = level.Error(n.log).Log("msg", "release not known to enough peers, keys are not handed over")
		return
	}
	n.handOver(ctx)
}

// flushQueueAfterDelay sends the requests elsewhere that still wait a while after the endpoint began to leave.
func (n *Node) flushQueueAfterDelay() {
	if n.wait(n.ctx, queueFlushDelay) && n.leaving.Load() {
		n.queue.Flush()
	}
}

// Stop drains for good, and gives callers some time to go elsewhere. A node that holds keys hands them over first; any
// other one lets its backend server work on through that time.
func (n *Node) Stop(ctx context.Context, callersLeave time.Duration) {
	n.stopping.Store(true)
	if n.Leased() {
		n.Drain(ctx)
		n.wait(ctx, callersLeave)
		return
	}
	n.wait(ctx, callersLeave)
	n.Drain(ctx)
	n.wait(ctx, peerNoticeTime)
}

// applyListedLeaving drains while the platform's list says that this endpoint is leaving. It waits for the tenure under that
// list, since until then no peer could go on with the keys where the one before left off.
func (n *Node) applyListedLeaving(leaving bool) {
	if leaving && !n.leaving.Load() {
		n.listedLeaving.Store(true)
		go n.whenOwnershipActive(func() {
			if n.listedLeaving.Load() {
				n.Drain(n.ctx)
			}
		})
	}
	if !leaving && n.listedLeaving.CompareAndSwap(true, false) && !n.stopping.Load() {
		go n.whenOwnershipActive(n.Undrain)
	}
}

// whenOwnershipActive waits for the tenure under the newest list, within bounds.
func (n *Node) whenOwnershipActive(do func()) {
	n.poll(n.ctx, func() bool { return !n.Leased() || n.group.Status().Active() })
	if n.ctx.Err() == nil {
		do()
	}
}

func (n *Node) waitReleaseAcknowledged(ctx context.Context) bool {
	return n.poll(ctx, func() bool {
		if n.group.ReleaseKnown() {
			return true
		}
		n.triggerHeartbeat()
		return false
	})
}

// poll asks again and again, within bounds, and reports whether it was told yes.
func (n *Node) poll(ctx context.Context, done func() bool) bool {
	end := n.clock.Now().Add(releaseTimeout)
	for !done() {
		if n.clock.Now().After(end) || !n.wait(ctx, pollInterval) {
			return false
		}
	}
	return true
}

// handOver sends all claims to every peer of the service, and with the last part the word that they may serve the keys.
// Each gets all of them, because two peers may differ on who ranks next while a third one leaves or comes back.
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
	incarnation, fence := n.group.Incarnation(), n.group.Fence()
	for {
		size := handoverPartSize(all)
		last := size == len(all)
		h := gossip.NewHandover(n.settings.self, incarnation, fence, all[:size], last)
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

// TakeHandover takes over the claims of a peer that released its keys.
func (n *Node) TakeHandover(h gossip.Handover) error {
	n.claims.Import(h.Claims())
	if h.Last() {
		n.group.TakeOver(h.From(), h.Incarnation(), h.Fence())
		n.triggerHeartbeat() // the release counts once a majority vouches for it
		_ = level.Info(n.log).Log("msg", "claims taken over", "from", h.From())
	}
	return nil
}

// GiveBack returns to a peer that has come back the keys that it lost.
func (n *Node) GiveBack(l lease.Loss) gossip.Return {
	holds, fence, list := n.group.GiveBack(l)
	if list == 0 {
		return gossip.Return{} // nothing was given back, so the claims stay unsent
	}
	return gossip.NewReturn(holds, fence, list, n.claims.Cut())
}

// reclaimKeys asks every peer for the keys that an earlier incarnation lost. Where one does not answer, the keys come back
// by themselves once the leases that vouch for the others have run out.
func (n *Node) reclaimKeys() {
	loss, lost := n.group.Lost()
	if !lost || !n.Leased() {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, heartbeatTimeout)
	defer cancel()
	fence, list, held := loss.Fence(), uint64(0), loss.Kept()
	for _, addr := range n.group.Peers() {
		r, err := n.seams.GiveBack(ctx, addr, loss)
		if err != nil || r.List() == 0 || (list != 0 && r.List() != list) {
			_ = level.Info(n.log).Log("msg", "keys not taken back yet", "peer", addr, "list", r.List(), "err", err)
			return
		}
		n.claims.Import(r.Claims())
		list, held = r.List(), held || r.Holds()
		if r.Fence().After(fence) {
			fence = r.Fence()
		}
	}
	if held {
		n.claims.Thaw()
		n.group.TakeBack(fence, list)
	}
	_ = level.Info(n.log).Log("msg", "keys asked for", "held", held, "fence", fence, "active", n.group.Status().Active())
}

// Undrain takes new work again; keys come back once the lease allows.
func (n *Node) Undrain() {
	if !n.leaving.CompareAndSwap(true, false) {
		return
	}
	_ = level.Info(n.log).Log("msg", "no longer leaving")
	n.group.Resume()
	n.claims.Thaw()
	n.triggerHeartbeat()
}

// probeLoop watches the backend server. While it accepts no connections the node drains, so that others serve its
// keys; an operator's drain is left alone.
func (n *Node) probeLoop() {
	failures := 0
	drained := false
	for n.wait(n.ctx, probeInterval) {
		if n.seams.Probe(n.ctx) {
			failures = 0
			if drained && !n.stopping.Load() {
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

// WaitExecuted waits until the own backend server has nothing in flight; until then it may still make deeper calls.
func (n *Node) WaitExecuted(ctx context.Context) error { return n.executing.wait(ctx) }

// WaitIdle waits until no request is in flight; the answers that came since the drain are handed over too.
func (n *Node) WaitIdle(ctx context.Context) error {
	if err := n.executing.wait(ctx); err != nil {
		return err
	}
	if err := n.serving.wait(ctx); err != nil {
		return err
	}
	if n.Leased() && n.group.ReleaseKnown() {
		n.handOver(ctx)
	}
	return nil
}
