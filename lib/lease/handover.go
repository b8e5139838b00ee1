package lease

import (
	"slices"
	"time"

	"tamarackrudder.org/lib/hosts"
)

// handover records that the claims of a released incarnation have been imported, and since when this endpoint owns keys
// through it.
type handover struct {
	incarnation int64
	since       time.Time
}

// Release ends this incarnation's ownership of its keys. They pass to the endpoints that rank next once these have
// imported its claims.
func (g *Group) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memberStatuses[g.self] = MemberStatus{addr: g.self, incarnation: g.incarnation, released: true}
}

// Resume starts a new incarnation after a release. It can then reclaim the keys from its peers.
func (g *Group) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startIncarnation()
}

// ReleaseAcknowledged reports whether a majority of every list that may be in use has recorded the release. The majority
// may include this endpoint, but must include another one if the list has others. A later incarnation of this endpoint
// needs the replies of a majority without itself, so it then cannot miss the release.
func (g *Group) ReleaseAcknowledged() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	status := g.memberStatuses[g.self]
	for _, m := range g.inUse() {
		others := 0
		votes := m.countVotes(func(addr string) bool {
			acknowledged := addr != g.self && g.replies[addr].state.memberStatus(g.self) == status
			if acknowledged {
				others++
			}
			return acknowledged || addr == g.self
		})
		if votes < m.majority() || (others == 0 && len(m.members) > 1) {
			return false
		}
	}
	return status.released
}

// RecordHandover records that an endpoint's incarnation has released its keys and that its claims have been imported here.
// A key created before cutoff may have run without a claim among them.
func (g *Group) RecordHandover(addr string, incarnation int64, cutoff time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	since := cutoff.Add(-g.terms.cutoffMargin())
	g.handovers[addr] = handover{incarnation: incarnation, since: since}
	g.mergeStatus(MemberStatus{addr: addr, incarnation: incarnation, released: true})
}

// ReclaimRequest is a request of an endpoint to its peers for the keys that an earlier incarnation of it has lost.
type ReclaimRequest struct {
	addr        string
	incarnation int64
	kept        bool
	cutoff      time.Time
}

// NewReclaimRequest returns the request of an endpoint's current incarnation. kept means that the endpoint still has the
// claims of the incarnation that lost the keys.
func NewReclaimRequest(addr string, incarnation int64, kept bool) ReclaimRequest {
	return ReclaimRequest{addr: addr, incarnation: incarnation, kept: kept}
}

// Addr returns the endpoint's RPC address.
func (r ReclaimRequest) Addr() string { return r.addr }

// Incarnation returns the start of the requesting incarnation, in nanoseconds of wall time.
func (r ReclaimRequest) Incarnation() int64 { return r.incarnation }

// Kept reports whether the endpoint still has the claims of the incarnation that lost its keys.
func (r ReclaimRequest) Kept() bool { return r.kept }

// Cutoff returns the key cutoff of the kept claims, zero if none are kept: a key created earlier may have run without a
// claim among them.
func (r ReclaimRequest) Cutoff() time.Time { return r.cutoff }

// PendingReclaim returns the request for this endpoint's keys, and whether there are any to reclaim: keys of an earlier
// incarnation that were released or taken over.
func (g *Group) PendingReclaim() (ReclaimRequest, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	request := NewReclaimRequest(g.self, g.incarnation, !g.keptCutoff.IsZero())
	request.cutoff = g.keptCutoff
	status := g.memberStatuses[g.self]
	return request, g.informed && status.incarnation != g.incarnation && (status.released || g.isRefusedByPeer())
}

// AnswerReclaim answers an endpoint's request for its keys and records its new incarnation, which ends the takeover of the
// keys. covered reports whether this endpoint's claims and key cutoff stand in for the claims of the incarnation that
// lost the keys, cutoff is that key cutoff, and list the version of the adopted list. While the ownership period under
// that list has yet to start, AnswerReclaim changes nothing and returns list 0: the endpoint has to ask again.
func (g *Group) AnswerReclaim(request ReclaimRequest) (covered bool, cutoff time.Time, list uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	if len(g.ownerships) > 0 && !g.active() {
		return false, time.Time{}, 0
	}
	lost := g.memberStatuses[request.addr]
	handedOver := lost.released && g.handovers[request.addr].incarnation == lost.incarnation
	silent := lost.incarnation != 0 && g.silentPeers[request.addr].incarnation == lost.incarnation
	// The endpoint asks all peers, so other silent ones report their key cutoffs themselves.
	cutoff = g.overallCutoff(func(addr string) bool { return request.kept || addr != request.addr })
	if len(g.ownerships) == 0 && !g.keptCutoff.IsZero() {
		cutoff = g.keptCutoff // the current incarnation has run nothing yet
	}
	g.mergeStatus(MemberStatus{addr: request.addr, incarnation: request.incarnation})
	return handedOver || silent, cutoff, g.adopted().version
}

// FinishReclaim starts the ownership period of this endpoint after all peers have answered its request for its keys.
// cutoff is the latest of their key cutoffs, and list the version that all have adopted. If by now another list is adopted
// or is the minimum in use, or if an ownership period has started already, FinishReclaim changes nothing.
func (g *Group) FinishReclaim(cutoff time.Time, list uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	if g.adopted().version != list || g.minVersion != list || len(g.ownerships) > 0 {
		return
	}
	g.memberStatuses[g.self] = MemberStatus{addr: g.self, incarnation: g.incarnation}
	g.rejoinedAt = g.clock.Now()
	g.ownerships = append(g.ownerships, ownership{list: g.adopted(), since: cutoff.Add(-g.terms.cutoffMargin())})
}

// Incarnation returns the start of the current incarnation, in nanoseconds of wall time.
func (g *Group) Incarnation() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnation
}

// Cutoff returns the key cutoff, in wall time, over all keys of this endpoint: a key created earlier may have run
// elsewhere without a claim here.
func (g *Group) Cutoff() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.overallCutoff(noneExempt)
}

// noneExempt is the argument of overallCutoff that exempts no endpoint.
func noneExempt(string) bool { return false }

// overallCutoff returns the key cutoff over all keys. Takeovers from silent endpoints count, except from those that are
// exempt because their claims or key cutoffs are available otherwise.
func (g *Group) overallCutoff(exempt func(addr string) bool) time.Time {
	if !g.active() {
		return g.cutoffAt(g.clock.Now())
	}
	since := g.ownsAllSince()
	for _, h := range g.handovers {
		if h.since.After(since) {
			since = h.since
		}
	}
	for addr, s := range g.silentPeers {
		if s.at.After(since) && !exempt(addr) {
			since = s.at
		}
	}
	return g.cutoffAt(since)
}

// ownsAllSince returns the time from which this endpoint has owned all its keys without a break: the start of the
// ownership period under the oldest list that has the same endpoints as all lists after it.
func (g *Group) ownsAllSince() time.Time {
	top := g.ownerships[len(g.ownerships)-1]
	since := top.since
	for i := len(g.ownerships) - 2; i >= 0; i-- {
		older := g.ownerships[i]
		if older.list.version < g.completeFrom || !g.unchangedSince(older.list) {
			break
		}
		since = older.since
	}
	return since
}

// unchangedSince reports whether all lists after an older one have the same endpoints as that one.
func (g *Group) unchangedSince(older Membership) bool {
	return !slices.ContainsFunc(g.history, func(m Membership) bool {
		return m.version > older.version && !sameEndpoints(m, older)
	})
}

func sameEndpoints(a, b Membership) bool {
	return len(a.members) == len(b.members) && a.all(func(addr string) bool {
		return slices.ContainsFunc(b.members, func(e hosts.Endpoint) bool { return e.RPCAddr() == addr })
	})
}
