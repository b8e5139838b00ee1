package lease

// refresh updates all state that follows from the received messages and from the time that has passed.
func (g *Group) refresh() {
	if len(g.history) == 0 {
		return
	}
	g.trimHistory()
	if !g.informed {
		g.informed = g.isInformed()
	}
	g.restartIfRefused()
	g.rejoin()
	g.confirmAdoption()
	g.activate()
	g.refuseSilent()
	g.recordSilentPeers()
}

func (g *Group) trimHistory() {
	old := g.clock.Now().Sub(g.minVersionAt) >= retention
	for len(g.history) > 1 && g.history[0].version < g.minVersion && (old || len(g.history) > maxHistory) {
		g.history = g.history[1:]
		g.completeFrom = g.history[0].version
	}
}

// isInformed reports whether this endpoint counts as informed: the informed peers that have replied hold, without it, a
// majority of the votes of every list that may be in use, or allAdoptedNewest returns true.
func (g *Group) isInformed() bool {
	if g.allAdoptedNewest() {
		return true
	}
	for _, m := range g.inUse() {
		votes := m.countVotes(func(addr string) bool {
			r, ok := g.replies[addr]
			return addr != g.self && ok && r.state.informed
		})
		if votes < m.majority() {
			return false
		}
	}
	return true
}

// allAdoptedNewest reports whether all other endpoints of all lists that may be in use have replied and have adopted the
// newest list. It lets a service whose endpoints have all been restarted, so that none is informed, serve again. This is
// safe only if no list was replaced, while it was in use, by one that keeps less than a majority of its endpoints.
func (g *Group) allAdoptedNewest() bool {
	newest := g.adopted()
	for _, m := range g.inUse() {
		answered := m.all(func(addr string) bool {
			r, ok := g.replies[addr]
			return addr == g.self || (ok && r.state.Adopted() == newest.version)
		})
		if !answered {
			return false
		}
	}
	return true
}

// rejoin makes the current incarnation this endpoint's member status, which peers then receive. If the keys of an earlier
// incarnation were released or taken over, it first waits for the expiry of a lease, so that they can be reclaimed.
func (g *Group) rejoin() {
	status := g.memberStatuses[g.self]
	if status.incarnation == g.incarnation || !g.informed {
		g.confirmJoin(status)
		return
	}
	lost := status.released || g.isRefusedByPeer()
	if lost && (!g.granting() || g.clock.Now().Sub(g.incarnationStart) < g.terms.expiry()) {
		return
	}
	if !lost {
		g.rejoinedAt = g.processStart
	}
	g.memberStatuses[g.self] = MemberStatus{addr: g.self, incarnation: g.incarnation}
}

// confirmJoin sets when this incarnation may own keys, once a majority has recorded it: after one lease expiry, when all
// leases that rely on the earlier incarnation's release have expired.
func (g *Group) confirmJoin(status MemberStatus) {
	if status.incarnation != g.incarnation || !g.rejoinedAt.IsZero() {
		return
	}
	newest := g.adopted()
	votes := newest.countVotes(func(addr string) bool {
		return addr == g.self || g.replies[addr].state.memberStatus(g.self).incarnation == g.incarnation
	})
	if votes >= newest.majority() {
		g.rejoinedAt = g.clock.Now().Add(g.terms.expiry())
	}
}

// confirmAdoption records when a majority of every older list that may be in use was found to have adopted the newest one.
func (g *Group) confirmAdoption() {
	newest := g.adopted()
	if !g.informed || g.confirmedVersion == newest.version {
		return
	}
	older := g.inUse()
	for _, m := range older[:len(older)-1] {
		votes := m.countVotes(func(addr string) bool { return g.hasAdopted(addr, newest.version) })
		if votes < m.majority() {
			return
		}
	}
	g.confirmedVersion, g.confirmedAt = newest.version, g.clock.Now()
}

func (g *Group) hasAdopted(addr string, version uint64) bool {
	if addr == g.self {
		return g.informed
	}
	r, ok := g.replies[addr]
	return ok && r.state.informed && r.state.Adopted() == version
}

// activate starts the ownership period under the newest list once the leases under all older ones have expired.
func (g *Group) activate() {
	newest := g.adopted()
	if !g.informed || g.active() {
		return
	}
	now := g.clock.Now()
	if g.rejoinedAt.IsZero() || now.Before(g.rejoinedAt) {
		return
	}
	waited := g.confirmedVersion == newest.version && now.Sub(g.confirmedAt) >= g.terms.expiry()
	if !waited && g.minVersion != newest.version {
		return
	}
	if g.minVersion != newest.version {
		g.minVersion, g.minVersionAt = newest.version, now
	}
	g.ownerships = append(g.ownerships, ownership{list: newest, since: now})
	if len(g.ownerships) > maxHistory {
		g.ownerships = g.ownerships[1:]
	}
}

// active reports whether this endpoint's ownership period under the newest list has started.
func (g *Group) active() bool {
	return len(g.ownerships) > 0 && g.ownerships[len(g.ownerships)-1].list.version == g.adopted().version
}

func (g *Group) released() bool { return g.memberStatuses[g.self].released }
