package lease

import (
	"cmp"
	"slices"
	"time"
)

// observation is an incarnation of an endpoint and a time: in Group.lastMessages that of the last message from it, in
// Group.silentPeers that at which a majority was first seen to refuse it.
type observation struct {
	incarnation int64
	at          time.Time
}

// recordMessage records that a message of an endpoint's incarnation has arrived. Until this endpoint is informed, it also
// adopts the sender's refusals.
func (g *Group) recordMessage(s State) {
	last := g.lastMessages[s.addr]
	if s.incarnation >= last.incarnation {
		g.lastMessages[s.addr] = observation{incarnation: s.incarnation, at: g.clock.Now()}
	}
	if g.informed {
		return
	}
	// An earlier incarnation of this endpoint may have refused the incarnations that its peers still refuse.
	for _, r := range s.refused {
		g.refuse(r.addr, r.incarnation)
	}
}

// refuse stops granting leases to an incarnation of a peer.
func (g *Group) refuse(addr string, incarnation int64) {
	if addr != g.self && incarnation > g.refused[addr] {
		g.refused[addr] = incarnation
		g.refusalsChanged = true
	}
}

// RefusalsChanged reports whether an incarnation has been refused since the last call. The caller then sends heartbeats
// at once, so that the refusal reaches the peers before the next round.
func (g *Group) RefusalsChanged() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := g.refusalsChanged
	g.refusalsChanged = false
	return changed
}

// refuseSilent refuses a lease to endpoints of which no message has arrived for the expiry of a lease, while this
// endpoint holds a lease itself. By then all leases that it granted them have expired.
func (g *Group) refuseSilent() {
	if !g.active() || !g.granting() || !g.holdsLease() {
		return
	}
	now := g.clock.Now()
	timeout := g.terms.expiry()
	for _, e := range g.adopted().members {
		addr := e.RPCAddr()
		last, found := g.lastMessages[addr]
		status := g.memberStatuses[addr]
		if addr == g.self || !found || last.incarnation != status.incarnation || now.Sub(last.at) < timeout {
			continue
		}
		g.refuse(addr, status.incarnation)
	}
}

// recordSilentPeers records when a majority was first seen to refuse an endpoint's current incarnation.
func (g *Group) recordSilentPeers() {
	for _, e := range g.adopted().members {
		addr := e.RPCAddr()
		incarnation := g.memberStatuses[addr].incarnation
		if incarnation == 0 || g.silentPeers[addr].incarnation == incarnation || !g.majorityRefuses(addr, incarnation) {
			continue
		}
		if g.releaseInForce(addr) {
			continue // its claims have been handed over
		}
		g.silentPeers[addr] = observation{incarnation: incarnation, at: g.clock.Now()}
	}
}

// majorityRefuses reports whether a majority refuses an incarnation; only endpoints whose grants are in force count.
func (g *Group) majorityRefuses(addr string, incarnation int64) bool {
	newest := g.adopted()
	refusing := newest.countVotes(func(member string) bool {
		if member == g.self {
			return g.refused[addr] == incarnation && g.granting()
		}
		return g.replies[member].state.refuses(addr, incarnation) && g.grants(member)
	})
	return refusing >= newest.majority()
}

// silentSince returns when the ownership period over a silent endpoint's keys starts; false while no majority refuses it.
func (g *Group) silentSince(addr string) (time.Time, bool) {
	incarnation := g.memberStatuses[addr].incarnation
	s := g.silentPeers[addr]
	if incarnation == 0 || s.incarnation != incarnation || !g.majorityRefuses(addr, incarnation) {
		return time.Time{}, false
	}
	return s.at, true
}

// isRefusedByPeer reports whether some peer refuses a lease to this endpoint's current incarnation or an earlier one.
func (g *Group) isRefusedByPeer() bool {
	for _, r := range g.replies {
		for _, s := range r.state.refused {
			if s.addr == g.self && s.incarnation <= g.incarnation {
				return true
			}
		}
	}
	return false
}

// restartIfRefused starts a new incarnation if this endpoint has lost its lease and a peer refuses its current incarnation.
func (g *Group) restartIfRefused() {
	if len(g.ownerships) == 0 || g.holdsLease() || g.released() {
		return
	}
	for _, r := range g.replies {
		if r.state.refuses(g.self, g.incarnation) {
			g.startIncarnation()
			return
		}
	}
}

// startIncarnation starts an incarnation that owns no keys yet. It keeps the key cutoff of the claims made so far.
func (g *Group) startIncarnation() {
	if len(g.ownerships) > 0 {
		g.keptCutoff = g.overallCutoff(noneExempt)
	}
	g.incarnationStart = g.clock.Now()
	g.incarnation = max(g.incarnationStart.UnixNano(), g.incarnation+1)
	g.rejoinedAt = time.Time{}
	g.ownerships = nil
	g.previousLease = ownership{}
}

// refusals returns the refused incarnations, sorted by address, without those that have a later one in memberStatuses.
func (g *Group) refusals() []MemberStatus {
	var refusals []MemberStatus
	for addr, incarnation := range g.refused {
		if g.memberStatuses[addr].incarnation <= incarnation {
			refusals = append(refusals, MemberStatus{addr: addr, incarnation: incarnation})
		}
	}
	slices.SortFunc(refusals, func(a, b MemberStatus) int { return cmp.Compare(a.addr, b.addr) })
	return refusals
}
