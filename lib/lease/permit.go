package lease

import (
	"math"
	"slices"
	"time"

	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/verd"
)

// Permit is the permission to run the requests of a key, or the reason why it is denied.
type Permit struct {
	at     time.Time
	cutoff time.Time
	reason verd.Reason
}

// Allowed reports whether a request may run.
func (p Permit) Allowed() bool { return p.reason == verd.ReasonNone }

// Reason returns why a request may not run, verd.ReasonNone if it may.
func (p Permit) Reason() verd.Reason { return p.reason }

// At returns when the lease was checked, the zero time if the permission is denied.
func (p Permit) At() time.Time { return p.at }

// Cutoff returns the key cutoff in wall time: a key created earlier may have run elsewhere.
func (p Permit) Cutoff() time.Time { return p.cutoff }

func denied(reason verd.Reason) Permit { return Permit{reason: reason} }

// Permit checks whether this endpoint may run the requests of a key now.
func (g *Group) Permit(key string) Permit {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	if len(g.history) == 0 || !g.informed || len(g.ownerships) == 0 {
		return denied(verd.ReasonNoLease)
	}
	if g.released() {
		return denied(verd.ReasonLeaving)
	}
	newest := g.adopted()
	if g.confirmedVersion != newest.version && !g.active() {
		return g.permitUnderPrevious(key)
	}
	if !g.holdsLease() {
		return denied(verd.ReasonNoLease)
	}
	if g.owner(newest, key) != g.self {
		return denied(verd.ReasonNotOwner)
	}
	if !g.active() && !g.ownedUnderAll(key) {
		return denied(verd.ReasonNoLease)
	}
	return Permit{at: g.clock.Now(), cutoff: g.cutoff(key)}
}

// permitUnderPrevious permits a key under the list before the newest one until the lease under that list expires.
func (g *Group) permitUnderPrevious(key string) Permit {
	now := g.clock.Now()
	last := g.ownerships[len(g.ownerships)-1]
	if g.previousLease.list.version != last.list.version || !before(now, g.previousLease.since) {
		return denied(verd.ReasonNoLease)
	}
	if firstRanked(last.list, key) != g.self {
		return denied(verd.ReasonNotOwner)
	}
	return Permit{at: g.clock.Now(), cutoff: g.cutoff(key)}
}

// ownedUnderAll reports whether a key is this endpoint's under every list that may be in use.
func (g *Group) ownedUnderAll(key string) bool {
	return g.ownedSince(g.ownerships[len(g.ownerships)-1].list, key, math.MaxUint64)
}

// cutoff returns the key cutoff of a key. It goes back through the ownership periods in which the key was this endpoint's
// without a break, and then forward to the latest takeover from an endpoint that ranks ahead for the key.
func (g *Group) cutoff(key string) time.Time {
	top := g.ownerships[len(g.ownerships)-1]
	since := top.since
	for i := len(g.ownerships) - 2; i >= 0; i-- {
		older := g.ownerships[i]
		if !g.ownedSince(older.list, key, top.list.version) {
			break
		}
		since = older.since
		top = older
	}
	for addr := range g.memberStatuses {
		start, takenOver := g.takeoverStart(addr)
		if takenOver && start.After(since) && g.ranksAhead(addr, key) {
			since = start
		}
	}
	return g.cutoffAt(since)
}

// takeoverStart returns when the ownership period over the keys of a released or silent endpoint starts, and whether those
// keys belong to the endpoints that rank next. A handover takes precedence over silence, since a released incarnation runs
// nothing more, however long it is silent afterwards.
func (g *Group) takeoverStart(addr string) (time.Time, bool) {
	if g.releaseInForce(addr) {
		return g.handovers[addr].since, true
	}
	return g.silentSince(addr)
}

// ranksAhead reports whether an endpoint ranks ahead of this one for a key under any list of the history, so that
// it may have owned the key.
func (g *Group) ranksAhead(addr, key string) bool {
	return slices.ContainsFunc(g.history, func(m Membership) bool {
		ranked := hosts.Rank(m.members, key)
		at := slices.Index(ranked, addr)
		selfAt := slices.Index(ranked, g.self)
		return at >= 0 && (selfAt < 0 || at < selfAt)
	})
}

// cutoffAt returns the key cutoff, in wall time, of an ownership period that starts at the given time.
func (g *Group) cutoffAt(since time.Time) time.Time {
	return since.Round(0).Add(g.terms.cutoffMargin())
}

// ownedSince reports whether a key was this endpoint's under an older list and under all lists after it whose versions
// are below until. It returns false where such a list may be missing from the history.
func (g *Group) ownedSince(older Membership, key string, until uint64) bool {
	if older.version < g.completeFrom || g.owner(older, key) != g.self {
		return false
	}
	for _, m := range g.history {
		if m.version > older.version && m.version < until && g.owner(m, key) != g.self {
			return false
		}
	}
	return true
}

func firstRanked(m Membership, key string) string {
	ranked := hosts.Rank(m.members, key)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// owner returns the endpoint that ranks first for a key among those whose keys have not passed to the next ones.
func (g *Group) owner(m Membership, key string) string {
	for _, addr := range hosts.Rank(m.members, key) {
		if !g.isTakenOver(addr) {
			return addr
		}
	}
	return ""
}

// isTakenOver reports whether an endpoint's keys belong to the endpoints that rank next.
func (g *Group) isTakenOver(addr string) bool {
	_, inForce := g.takeoverStart(addr)
	return inForce
}

// releaseInForce reports whether an endpoint's release takes effect here: its claims have been imported, and a majority
// has recorded the release, counting only endpoints whose grants are in force.
func (g *Group) releaseInForce(addr string) bool {
	st := g.memberStatuses[addr]
	h, ok := g.handovers[addr]
	if !st.released || !ok || h.incarnation != st.incarnation {
		return false
	}
	newest := g.adopted()
	votes := newest.countVotes(func(member string) bool {
		if member == g.self {
			return g.granting()
		}
		return g.grants(member) && g.replies[member].state.memberStatus(addr) == st
	})
	return votes >= newest.majority()
}

// grants reports whether an endpoint's grant under the newest list is in force.
func (g *Group) grants(addr string) bool {
	if addr == g.self {
		return g.granting()
	}
	r, ok := g.replies[addr]
	return ok && r.state.granting && r.state.Adopted() == g.adopted().version &&
		before(g.clock.Now(), r.sentAt.Add(g.terms.length))
}

// before compares both the monotonic and the wall clock, so that the time in which a host was suspended counts.
func before(now, end time.Time) bool {
	return now.Before(end) && now.Round(0).Before(end.Round(0))
}

func (g *Group) holdsLease() bool {
	newest := g.adopted()
	return newest.countVotes(g.grantsToSelf) >= newest.majority()
}

// grantsToSelf reports whether an endpoint's grant is in force and its state does not refuse the current incarnation.
func (g *Group) grantsToSelf(addr string) bool {
	return g.grants(addr) && (addr == g.self || !g.replies[addr].state.refuses(g.self, g.incarnation))
}

// leaseEnd returns when the lease under the newest list expires if no further grant arrives, the zero time without a lease.
func (g *Group) leaseEnd() time.Time {
	newest := g.adopted()
	var ends []time.Time
	for _, e := range newest.members {
		addr := e.RPCAddr()
		if !g.grantsToSelf(addr) {
			continue
		}
		end := g.clock.Now().Add(g.terms.length)
		if addr != g.self {
			end = g.replies[addr].sentAt.Add(g.terms.length)
		}
		for range newest.votes(addr) {
			ends = append(ends, end)
		}
	}
	if len(ends) < newest.majority() {
		return time.Time{}
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[newest.majority()-1]
}

// Status is the lease state that operators see.
type Status struct {
	list       uint64
	minVersion uint64
	informed   bool
	active     bool
	leased     bool
	granting   bool
	released   bool
	since      time.Time
}

// List returns the version of the newest list, 0 without any.
func (s Status) List() uint64 { return s.list }

// MinVersion returns the minimum list version in use: all lists below it are out of use.
func (s Status) MinVersion() uint64 { return s.minVersion }

// Informed reports whether the endpoint has recovered, from its peers' replies, the lists, releases and refusals on
// which an earlier incarnation may have granted leases.
func (s Status) Informed() bool { return s.informed }

// Active reports whether the ownership period under the newest list has started.
func (s Status) Active() bool { return s.active }

// Leased reports whether a majority grants the lease now.
func (s Status) Leased() bool { return s.leased }

// Granting reports whether the endpoint has run long enough to grant leases to its peers.
func (s Status) Granting() bool { return s.granting }

// Released reports whether the endpoint has released its keys.
func (s Status) Released() bool { return s.released }

// Since returns when the newest ownership period started, the zero time before the first.
func (s Status) Since() time.Time { return s.since }

// Status returns the lease state at present.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	s := Status{list: g.adopted().version, minVersion: g.minVersion, informed: g.informed, granting: g.granting(), released: g.released()}
	if len(g.history) == 0 {
		return s
	}
	s.active, s.leased = g.active(), g.holdsLease()
	if len(g.ownerships) > 0 {
		s.since = g.ownerships[len(g.ownerships)-1].since
	}
	return s
}
