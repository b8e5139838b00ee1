package lease

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies the lists, member statuses and refusals of a state. A message to a peer whose last message had the
// same digest leaves them out.
func (s State) Digest() uint64 { return s.digest }

// IsCompact reports whether the state leaves out its lists, member statuses and refusals, because its receiver's last
// message had the same digest.
func (s State) IsCompact() bool { return s.compact }

// NewCompactState returns a state that carries the digest of its lists, member statuses and refusals in place of them.
func NewCompactState(addr string, incarnation int64, informed, granting bool, digest uint64) State {
	s := NewState(addr, incarnation, informed, granting)
	s.compact, s.digest = true, digest
	return s
}

// WithDigest returns a complete state with its digest set.
func (s State) WithDigest() State {
	d := xxhash.New()
	number := func(n uint64) {
		var b [8]byte
		_, _ = d.Write(binary.LittleEndian.AppendUint64(b[:0], n))
	}
	text := func(t string) {
		number(uint64(len(t)))
		_, _ = d.WriteString(t)
	}
	writeStatuses := func(all []MemberStatus) {
		number(uint64(len(all)))
		for _, st := range all {
			text(st.addr)
			number(uint64(st.incarnation))
			if st.released {
				text("released")
			}
		}
	}
	number(s.minVersion)
	number(s.completeFrom)
	number(uint64(len(s.history)))
	for _, m := range s.history {
		number(m.version)
		number(uint64(len(m.members)))
		for _, e := range m.members {
			text(e.RPCAddr())
		}
	}
	writeStatuses(s.memberStatuses)
	writeStatuses(s.refused)
	s.digest = d.Sum64()
	return s
}

// compactFor returns the state for the peer at an address, compact if the last message from there had the same digest.
func (g *Group) compactFor(addr string, s State) State {
	if digest, found := g.peerDigests[addr]; !found || digest != s.digest {
		return s
	}
	return NewCompactState(s.addr, s.incarnation, s.informed, s.granting, s.digest)
}

// expand adds to a compact state what it leaves out. It returns false if the local state has another digest by now.
func (g *Group) expand(s State) (State, bool) {
	g.peerDigests[s.addr] = s.digest
	if !s.compact {
		return s, true
	}
	local := g.state()
	if local.digest != s.digest {
		return s, false
	}
	full := NewState(s.addr, s.incarnation, s.informed, s.granting).
		WithLists(local.minVersion, local.completeFrom, local.history).
		WithMemberStatuses(local.memberStatuses).WithRefused(local.refused)
	full.digest = s.digest
	return full, true
}
