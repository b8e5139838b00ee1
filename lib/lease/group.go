package lease

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
)

// Terms are the durations and clock bounds on which the leases of a service rest.
type Terms struct {
	length time.Duration
	drift  time.Duration
	skew   time.Duration
	future time.Duration
}

// NewTerms returns terms with the lease's length, the bound on the drift between two clocks over this length, the bound
// on the skew between the clocks of two hosts, and how far in the future a key's creation time may lie.
func NewTerms(length, drift, skew, future time.Duration) Terms {
	return Terms{length: length, drift: drift, skew: skew, future: future}
}

// Future returns how far in the future a key's creation time may lie.
func (t Terms) Future() time.Duration { return t.future }

// Skew returns the bound on the skew between the clocks of two hosts.
func (t Terms) Skew() time.Duration { return t.skew }

// expiry returns the time after which a lease that is no longer granted has expired by every host's clock.
func (t Terms) expiry() time.Duration { return t.length + t.drift }

// cutoffMargin returns the time from the start of an ownership period to its key cutoff: the creation time of a key that
// an earlier owner ran may lie up to this much after the start.
func (t Terms) cutoffMargin() time.Duration { return t.skew + t.future }

// retention is how long a list is still sent to peers after it went out of use.
const retention = 30 * time.Second

// maxHistory bounds the number of lists that are kept after they went out of use, and that of ownership periods.
const maxHistory = 16

// reply is the latest reply of a peer. The lease that it grants runs from sentAt, when the heartbeat was sent.
type reply struct {
	sentAt time.Time
	state  State
}

// ownership is an ownership period: its list and its start. In Group.previousLease, since is instead the time at which the
// lease under the list expires.
type ownership struct {
	list  Membership
	since time.Time
}

// Group is one endpoint's view of the leases of its service.
type Group struct {
	clock        clock.Clock
	terms        Terms
	self         string
	processStart time.Time

	mu               sync.Mutex
	incarnation      int64
	incarnationStart time.Time
	// keptCutoff is the key cutoff of the claims kept from the previous incarnation, zero for none.
	keptCutoff       time.Time
	informed         bool
	minVersion       uint64
	minVersionAt     time.Time
	completeFrom     uint64
	history          []Membership
	memberStatuses   map[string]MemberStatus
	replies          map[string]reply
	handovers        map[string]handover
	lastMessages     map[string]observation
	refused          map[string]int64
	silentPeers      map[string]observation
	confirmedVersion uint64
	confirmedAt      time.Time
	// rejoinedAt is when this incarnation may begin to own keys, zero until that is decided.
	rejoinedAt      time.Time
	ownerships      []ownership
	previousLease   ownership
	refusalsChanged bool
	peerDigests     map[string]uint64
}

// NewGroup returns the view of the endpoint at an address. Its first incarnation starts now.
func NewGroup(c clock.Clock, terms Terms, self string) *Group {
	now := c.Now()
	return &Group{
		clock: c, terms: terms, self: self, incarnation: now.UnixNano(), processStart: now, incarnationStart: now,
		memberStatuses: map[string]MemberStatus{}, replies: map[string]reply{}, handovers: map[string]handover{},
		lastMessages: map[string]observation{}, refused: map[string]int64{}, silentPeers: map[string]observation{},
		peerDigests: map[string]uint64{},
	}
}

// Adopt adds a list to the history if its version is higher than those of all lists in it.
func (g *Group) Adopt(m Membership) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adopt(m)
	g.refresh()
}

func (g *Group) adopt(m Membership) {
	newest := g.adopted()
	if m.version <= newest.version {
		return
	}
	g.keepPreviousLease(newest)
	g.history = append(g.history, m)
}

// keepPreviousLease records when the lease under a list that is being replaced expires. Until majorities of the older
// lists have adopted the newest one, keys are served under that lease.
func (g *Group) keepPreviousLease(newest Membership) {
	if !g.active() || g.released() {
		return
	}
	g.previousLease = ownership{list: newest, since: g.leaseEnd()}
}

func (g *Group) adopted() Membership {
	if len(g.history) == 0 {
		return Membership{}
	}
	return g.history[len(g.history)-1]
}

// Peers returns the addresses of the other endpoints of every list that may be in use. It also refreshes the state, since
// an endpoint without peers processes no messages that would do so.
func (g *Group) Peers() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	var peers []string
	for _, m := range g.inUse() {
		for _, e := range m.members {
			if e.RPCAddr() != g.self && !slices.Contains(peers, e.RPCAddr()) {
				peers = append(peers, e.RPCAddr())
			}
		}
	}
	return peers
}

// inUse returns the lists that may still be in use, oldest first; the last one is the adopted list.
func (g *Group) inUse() []Membership {
	i := 0
	for i < len(g.history)-1 && g.history[i].version < g.minVersion {
		i++
	}
	return g.history[i:]
}

// StateFor returns the state to send to the peer at an address. It is compact if the peer's last message had the same
// digest, complete if no message has come from that address.
func (g *Group) StateFor(addr string) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	return g.compactFor(addr, g.state())
}

func (g *Group) state() State {
	statuses := make([]MemberStatus, 0, len(g.memberStatuses))
	for _, s := range g.memberStatuses {
		statuses = append(statuses, s)
	}
	slices.SortFunc(statuses, func(a, b MemberStatus) int { return cmp.Compare(a.addr, b.addr) })
	return NewState(g.self, g.incarnation, g.informed, g.granting()).
		WithLists(g.minVersion, g.completeFrom, slices.Clone(g.history)).
		WithMemberStatuses(statuses).WithRefused(g.refusals()).WithDigest()
}

// granting reports whether this endpoint grants leases: it is informed, and the grants of an earlier process have expired.
func (g *Group) granting() bool {
	return g.informed && g.clock.Now().Sub(g.processStart) >= g.terms.expiry()
}

// HandleHeartbeat processes a peer's heartbeat and returns the reply.
func (g *Group) HandleHeartbeat(heartbeat State) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	heartbeat, complete := g.expand(heartbeat)
	g.recordMessage(heartbeat)
	if complete {
		g.merge(heartbeat)
	}
	g.refresh()
	return g.compactFor(heartbeat.addr, g.state())
}

// HandleReply processes a peer's reply to the heartbeat that was sent at the given time. A reply to an earlier heartbeat
// than that of the last recorded reply changes nothing.
func (g *Group) HandleReply(sentAt time.Time, s State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, complete := g.expand(s)
	if !complete {
		return // the digests differ, so the peer's next reply is complete
	}
	old, found := g.replies[s.addr]
	if found && (old.state.incarnation > s.incarnation || old.sentAt.After(sentAt)) {
		return
	}
	g.recordMessage(s)
	g.replies[s.addr] = reply{sentAt: sentAt, state: s}
	g.merge(s)
	g.refresh()
}

func (g *Group) merge(s State) {
	for _, st := range s.memberStatuses {
		g.mergeStatus(st)
	}
	g.mergeMinVersion(s)
	for _, m := range s.history {
		g.insertOlder(m)
	}
	if newest := s.Adopted(); newest > 0 {
		g.adopt(s.history[len(s.history)-1])
	}
}

// mergeStatus records a member status if it supersedes the recorded one.
func (g *Group) mergeStatus(st MemberStatus) {
	if st.supersedes(g.memberStatuses[st.addr]) {
		g.memberStatuses[st.addr] = st
	}
}

// mergeMinVersion adopts a higher minimum list version in use. If the sender's history does not reach back to the old
// minimum, lists between the two may be missing, so all lists older than that history are dropped.
func (g *Group) mergeMinVersion(s State) {
	if s.minVersion <= g.minVersion {
		return
	}
	if s.completeFrom > g.minVersion {
		g.completeFrom = s.completeFrom
		g.history = slices.DeleteFunc(g.history, func(m Membership) bool { return m.version < s.completeFrom })
	}
	g.minVersion, g.minVersionAt = s.minVersion, g.clock.Now()
}

// insertOlder inserts an older list that is missing from the history.
func (g *Group) insertOlder(m Membership) {
	if m.version < g.completeFrom || m.version >= g.adopted().version {
		return
	}
	i, found := slices.BinarySearchFunc(g.history, m.version, func(o Membership, version uint64) int {
		return cmp.Compare(o.version, version)
	})
	if !found {
		g.history = slices.Insert(g.history, i, m)
	}
}
