package lease

import (
	"cmp"
	"slices"

	"tamarackrudder.org/lib/hosts"
)

// Membership is a service's endpoints under one version of the platform's list.
type Membership struct {
	version uint64
	members []hosts.Endpoint
	tie     string
}

// NewMembership returns a membership. The caller must not change members afterwards.
func NewMembership(version uint64, members []hosts.Endpoint) Membership {
	return Membership{version: version, members: members, tie: tieBreaker(members)}
}

// tieBreaker returns the endpoint that has two votes because the number of endpoints is even, "" if it is odd. It is an
// endpoint of a zone with the fewest endpoints, so that the loss of a zone that holds half of them leaves a majority.
func tieBreaker(members []hosts.Endpoint) string {
	if len(members)%2 != 0 {
		return ""
	}
	zones := map[string]int{}
	for _, e := range members {
		zones[e.Zone()]++
	}
	tie := hosts.Endpoint{}
	for _, e := range members {
		fewer := cmp.Compare(zones[e.Zone()], zones[tie.Zone()])
		if tie.RPCAddr() == "" || fewer < 0 || (fewer == 0 && e.RPCAddr() < tie.RPCAddr()) {
			tie = e
		}
	}
	return tie.RPCAddr()
}

// Version returns the version of the platform's list.
func (m Membership) Version() uint64 { return m.version }

// Members returns the endpoints. The caller must not change the slice.
func (m Membership) Members() []hosts.Endpoint { return m.members }

// majority returns the number of votes that make a majority. The total is odd, so any two sets of endpoints with this
// many votes share an endpoint, also where one of the sets excludes this endpoint.
func (m Membership) majority() int { return len(m.members)/2 + 1 }

func (m Membership) votes(addr string) int {
	if addr == m.tie {
		return 2
	}
	return 1
}

// countVotes returns the sum of the votes of the endpoints for which has returns true.
func (m Membership) countVotes(has func(addr string) bool) int {
	n := 0
	for _, e := range m.members {
		if has(e.RPCAddr()) {
			n += m.votes(e.RPCAddr())
		}
	}
	return n
}

// all reports whether has returns true for every endpoint.
func (m Membership) all(has func(addr string) bool) bool {
	return !slices.ContainsFunc(m.members, func(e hosts.Endpoint) bool { return !has(e.RPCAddr()) })
}

// MemberStatus records whether an incarnation of an endpoint has released its keys to the endpoints that rank next. An
// endpoint starts an incarnation with its process, when it resumes after a release, and when it has lost its lease
// because peers refuse it.
type MemberStatus struct {
	addr        string
	incarnation int64
	released    bool
}

// NewMemberStatus returns the status of one incarnation of the endpoint with the given RPC address.
func NewMemberStatus(addr string, incarnation int64, released bool) MemberStatus {
	return MemberStatus{addr: addr, incarnation: incarnation, released: released}
}

// Addr returns the endpoint's RPC address.
func (s MemberStatus) Addr() string { return s.addr }

// Incarnation returns the start of the incarnation, in nanoseconds of wall time.
func (s MemberStatus) Incarnation() int64 { return s.incarnation }

// Released reports whether the incarnation has released its keys.
func (s MemberStatus) Released() bool { return s.released }

// supersedes reports whether s is newer than other: a later incarnation is, and within one incarnation a release.
func (s MemberStatus) supersedes(other MemberStatus) bool {
	if s.incarnation != other.incarnation {
		return s.incarnation > other.incarnation
	}
	return s.released && !other.released
}

// State is the lease state that an endpoint sends in every heartbeat to a peer and in every reply to one.
type State struct {
	addr           string
	incarnation    int64
	informed       bool
	granting       bool
	minVersion     uint64
	completeFrom   uint64
	history        []Membership
	memberStatuses []MemberStatus
	refused        []MemberStatus
	digest         uint64
	compact        bool
}

// NewState returns the state of an endpoint's incarnation without lists, member statuses and refusals.
func NewState(addr string, incarnation int64, informed, granting bool) State {
	return State{addr: addr, incarnation: incarnation, informed: informed, granting: granting}
}

// WithLists returns the state with the known lists, oldest first, the minimum list version in use, and the version from
// which no list that was in use is missing from history.
func (s State) WithLists(minVersion, completeFrom uint64, history []Membership) State {
	s.minVersion, s.completeFrom, s.history = minVersion, completeFrom, history
	return s
}

// WithMemberStatuses returns the state with the latest known status of each endpoint.
func (s State) WithMemberStatuses(statuses []MemberStatus) State {
	s.memberStatuses = statuses
	return s
}

// WithRefused returns the state with the incarnations to which the endpoint grants no lease, because no message of them
// has arrived for the expiry of a lease.
func (s State) WithRefused(refused []MemberStatus) State { s.refused = refused; return s }

// Refused returns the incarnations to which the endpoint grants no lease. The caller must not change the slice.
func (s State) Refused() []MemberStatus { return s.refused }

// refuses reports whether the endpoint grants no lease to the given incarnation.
func (s State) refuses(addr string, incarnation int64) bool {
	return slices.ContainsFunc(s.refused, func(r MemberStatus) bool {
		return r.addr == addr && r.incarnation == incarnation
	})
}

// Addr returns the endpoint's RPC address.
func (s State) Addr() string { return s.addr }

// Incarnation returns the start of the endpoint's incarnation, in nanoseconds of wall time.
func (s State) Incarnation() int64 { return s.incarnation }

// Informed reports whether the endpoint has recovered, from its peers' replies, the lists, releases and refusals on
// which an earlier incarnation may have granted leases.
func (s State) Informed() bool { return s.informed }

// Granting reports whether the state, sent as a reply, grants a lease under its newest list, unless it refuses the
// receiver's incarnation.
func (s State) Granting() bool { return s.granting }

// MinVersion returns the minimum list version in use: all lists below it are out of use.
func (s State) MinVersion() uint64 { return s.minVersion }

// CompleteFrom returns the version from which no list that was in use is missing from the history.
func (s State) CompleteFrom() uint64 { return s.completeFrom }

// History returns the known lists, oldest first. The caller must not change the slice.
func (s State) History() []Membership { return s.history }

// MemberStatuses returns the latest known status of each endpoint. The caller must not change the slice.
func (s State) MemberStatuses() []MemberStatus { return s.memberStatuses }

// Adopted returns the version of the newest list, 0 without any.
func (s State) Adopted() uint64 {
	if len(s.history) == 0 {
		return 0
	}
	return s.history[len(s.history)-1].version
}

func (s State) memberStatus(addr string) MemberStatus {
	for _, st := range s.memberStatuses {
		if st.addr == addr {
			return st
		}
	}
	return MemberStatus{addr: addr}
}
