package gossip

import (
	"errors"
	"time"

	"tamarackrudder.org/lib/claims"
	"tamarackrudder.org/lib/crash"
	"tamarackrudder.org/lib/lease"
	"tamarackrudder.org/lib/spread"
)

// ErrUnsupported means that a peer does not know a message, since it is of an older version.
var ErrUnsupported = errors.New("peer does not know this message")

// Heartbeat is a heartbeat or the reply to one.
type Heartbeat struct {
	from    string
	leaving bool
	rules   spread.Stamp
	hosts   spread.Stamp
	state   lease.State
	marks   []crash.Mark
	// platformLost is set if the sender follows the platform and cannot read it.
	platformLost bool
}

// NewHeartbeat returns a heartbeat of the node at an address, with the stamps of the rules and of the list of hosts that it
// has in force.
func NewHeartbeat(from string, leaving bool, rules, hosts spread.Stamp) Heartbeat {
	return Heartbeat{from: from, leaving: leaving, rules: rules, hosts: hosts}
}

// WithService returns the heartbeat with the lease state and the crash marks, which concern only nodes of the same service.
func (h Heartbeat) WithService(state lease.State, marks []crash.Mark) Heartbeat {
	h.state, h.marks = state, marks
	return h
}

// WithPlatformLost returns the heartbeat with whether its sender follows the platform and cannot read it.
func (h Heartbeat) WithPlatformLost(lost bool) Heartbeat { h.platformLost = lost; return h }

// PlatformLost reports whether the sender follows the platform and cannot read it.
func (h Heartbeat) PlatformLost() bool { return h.platformLost }

// From returns the RPC address of the sender.
func (h Heartbeat) From() string { return h.from }

// Leaving reports whether the sender accepts no new requests.
func (h Heartbeat) Leaving() bool { return h.leaving }

// Rules returns the stamp of the sender's rules.
func (h Heartbeat) Rules() spread.Stamp { return h.rules }

// Hosts returns the stamp of the sender's list of hosts.
func (h Heartbeat) Hosts() spread.Stamp { return h.hosts }

// State returns the sender's lease state, empty if the message carries none.
func (h Heartbeat) State() lease.State { return h.state }

// Marks returns the sender's crash marks, nil if the message carries none.
func (h Heartbeat) Marks() []crash.Mark { return h.marks }

// ReclaimReply is the reply to an endpoint that reclaims the keys that an earlier incarnation of it has lost.
type ReclaimReply struct {
	covers bool
	cutoff time.Time
	list   uint64
	claims []claims.Claim
}

// NewReclaimReply returns a reply with the sender's key cutoff, the version of its list and all its claims. covers means that
// its claims and key cutoff stand in for the claims of the incarnation that lost the keys.
func NewReclaimReply(covers bool, cutoff time.Time, list uint64, all []claims.Claim) ReclaimReply {
	return ReclaimReply{covers: covers, cutoff: cutoff, list: list, claims: all}
}

// Covers reports whether the sender's claims and key cutoff stand in for the claims of the incarnation that lost the keys.
func (r ReclaimReply) Covers() bool { return r.covers }

// Cutoff returns the sender's key cutoff in wall time: a key created earlier may have run without a claim among Claims.
func (r ReclaimReply) Cutoff() time.Time { return r.cutoff }

// List returns the version of the list that the sender has adopted, 0 if the sender cannot answer yet and has to be asked
// again.
func (r ReclaimReply) List() uint64 { return r.list }

// Claims returns all claims of the sender, oldest first.
func (r ReclaimReply) Claims() []claims.Claim { return r.claims }

// Handover carries a part of the claims of an endpoint that released its keys.
type Handover struct {
	from        string
	incarnation int64
	cutoff      time.Time
	claims      []claims.Claim
	last        bool
}

// NewHandover returns a part of the claims. The handover takes effect with the last part.
func NewHandover(from string, incarnation int64, cutoff time.Time, part []claims.Claim, last bool) Handover {
	return Handover{from: from, incarnation: incarnation, cutoff: cutoff, claims: part, last: last}
}

// From returns the RPC address of the sender.
func (h Handover) From() string { return h.from }

// Incarnation returns the incarnation of the sender that released the keys, as its start in nanoseconds of wall time.
func (h Handover) Incarnation() int64 { return h.incarnation }

// Cutoff returns the sender's key cutoff in wall time: a key created earlier may have run without a claim in the handover.
func (h Handover) Cutoff() time.Time { return h.cutoff }

// Claims returns the claims of this part.
func (h Handover) Claims() []claims.Claim { return h.claims }

// Last reports whether this is the last part.
func (h Handover) Last() bool { return h.last }
