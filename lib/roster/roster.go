package roster

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/hosts"
)

const (
	// localChangeBits is the number of low bits of a list's version: whether the list is certain, and a count of changes
	// made here. The bits above them hold the sequence of the platform's position.
	localChangeBits = 8
	certainBit      = 1 << (localChangeBits - 1)
	maxLocalChanges = certainBit - 1
)

// state is how an entry counts in the list of hosts.
type state int

const (
	// published entries count as they are.
	published state = iota
	// expiring entries were removed, and count until their grace period ends.
	expiring
	// heldLeaving entries count as leaving, although a backup from before they were has brought them back.
	heldLeaving
	// heldGone entries do not count, although a backup from before their removal has brought them back.
	heldGone
)

// entry is one entry with the endpoint as it is known.
type entry struct {
	endpoint hosts.Endpoint
	position Position
	state    state
	until    time.Time      // the end of the state, unless that is published
	outdated hosts.Endpoint // the endpoint according to the backup, while the entry is held
}

func (e *entry) isHeld() bool { return e.state == heldLeaving || e.state == heldGone }

// Table holds the published entries by name.
type Table struct {
	clock         clock.Clock
	mu            sync.Mutex
	entries       map[string]*entry
	tombstones    map[string]tombstone
	services      map[string]bool // that the configuration names, nil while it is not known
	position      Position
	certain       bool // when the position was reached
	localChanges  uint64
	failingSince  time.Time // the first failed call since the platform was read, zero if the last one did not fail
	graceSince    time.Time // the end of the last outage, or the last restoration
	followedSince time.Time // from here on all changes are known
	unreachable   bool
	everRead      bool
}

// NewTable returns an empty table.
func NewTable(c clock.Clock) *Table {
	return &Table{clock: c, entries: map[string]*entry{}, tombstones: map[string]tombstone{}}
}

// Reset forgets everything, as after a start. A table that has not followed the platform for a while does not know which
// entries are missing because their endpoints have left, and would let them count for a grace period.
func (t *Table) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries, t.tombstones = map[string]*entry{}, map[string]tombstone{}
	t.position, t.certain, t.localChanges = Position{}, false, 0
	t.unreachable, t.failingSince = false, time.Time{}
	t.graceSince, t.followedSince = time.Time{}, time.Time{}
	t.everRead = false
}

// Put records an entry, unless the same or a newer change of it is recorded and has not been removed since. Changes of
// another epoch than that of the last Replace are ignored.
func (t *Table) Put(name string, e hosts.Endpoint, p Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.epoch == t.position.epoch {
		t.put(name, e, p)
		t.advance(p)
		t.countDifference()
	}
}

func (t *Table) put(name string, e hosts.Endpoint, p Position) {
	recorded, ok := t.entries[name]
	if ok && !p.After(recorded.position) && recorded.state != expiring {
		return
	}
	t.entries[name] = &entry{endpoint: e, position: p}
}

// advance records the platform's newest position, at which the count of local changes begins again.
func (t *Table) advance(p Position) {
	if p.After(t.position) {
		t.position, t.localChanges, t.certain = p, 0, t.isCertain()
	}
}

// Remove records that an entry was removed, and reports whether it counts for a short time longer because it may only have
// expired. Changes of another epoch than that of the last Replace are ignored.
func (t *Table) Remove(name string, p Position) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	recorded, ok := t.entries[name]
	if !ok || p.epoch != t.position.epoch || !p.After(recorded.position) {
		return false
	}
	t.advance(p)
	t.remove(name, recorded)
	t.countDifference()
	return recorded.state == expiring
}

// countDifference counts a local change while the list differs from what the platform alone says, so that it wins over the
// list of a node that knows no more than that.
func (t *Table) countDifference() {
	if t.localChanges > 0 {
		return
	}
	for _, e := range t.entries {
		if e.state != published {
			t.localChanges = 1
			return
		}
	}
}

func (t *Table) remove(name string, e *entry) {
	switch {
	case e.state == expiring: // it counts until its grace period ends
	case !t.mayHaveExpired() || e.state == heldGone || e.endpoint.Leaving():
		t.bury(name, e)
	default:
		e.state, e.until = expiring, t.graceSince.Add(missingGrace)
	}
}

// NamedEntry is an entry with its name at the platform and the position of its last change.
type NamedEntry struct {
	name     string
	endpoint hosts.Endpoint
	position Position
}

// NewNamedEntry returns an entry with its name at the platform and the position of its last change.
func NewNamedEntry(name string, e hosts.Endpoint, p Position) NamedEntry {
	return NamedEntry{name: name, endpoint: e, position: p}
}

// Replace records all entries as read at a position. Recorded entries that are missing from them count as removed; while one
// of these may only have expired, the list does not win over those of peers that know when it was removed. What was read in
// an older epoch than the recorded one is ignored. Entries may have changed after the position, while others were read; the list
// then stays at the position until these changes are put, since others from before them may be missing. Replace returns the
// names of the entries whose endpoints stay leaving or gone because the platform has brought back outdated ones.
func (t *Table) Replace(all []NamedEntry, p Position) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.epoch < t.position.epoch {
		return nil
	}
	restored := t.everRead && p.epoch > t.position.epoch
	if restored {
		t.startGrace(t.clock.Now())
	}
	if !t.everRead {
		t.followedSince = t.clock.Now()
	}
	present := map[string]bool{}
	for _, n := range all {
		present[n.name] = true
		if restored {
			t.putRestored(n)
			continue
		}
		t.put(n.name, n.endpoint, n.position)
		if !n.position.After(p) {
			t.advance(n.position)
		}
	}
	isRemoved := func(name string) bool { return !present[name] && !t.entries[name].position.After(p) }
	t.detectOutage(isRemoved)
	doubtful := false
	for name, recorded := range t.entries {
		if isRemoved(name) {
			t.remove(name, recorded)
			doubtful = doubtful || recorded.state == expiring
		}
	}
	if restored || !doubtful {
		t.advance(p)
	}
	t.countDifference()
	t.everRead = true
	return t.held()
}

// List returns the list in force, and when it will change without an update because the state of an entry ends, zero for
// never.
func (t *Table) List() (*hosts.List, time.Time, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.endStates()
	endpoints := slices.Collect(maps.Values(t.inForce()))
	list, err := hosts.NewList(t.version(), endpoints)
	if err != nil {
		return nil, next, fmt.Errorf("roster: %w", err)
	}
	return list, next, nil
}

// inForce returns the endpoint that counts at each address.
func (t *Table) inForce() map[string]hosts.Endpoint {
	chosen := map[string]hosts.Endpoint{}
	for _, e := range t.entries {
		if e.state == heldGone {
			continue
		}
		addr := e.endpoint.RPCAddr()
		if other, taken := chosen[addr]; !taken || t.outranks(e.endpoint, other) {
			chosen[addr] = e.endpoint
		}
	}
	return chosen
}

// outranks reports whether an endpoint counts in place of another one at the same address: it started later, unless only the
// other one is of a service that the configuration names. Others write entries too.
func (t *Table) outranks(e, other hosts.Endpoint) bool {
	if t.services[e.Service()] != t.services[other.Service()] {
		return t.services[e.Service()]
	}
	return other.Started().Before(e.Started())
}

// SetServices records the services that the configuration names.
func (t *Table) SetServices(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.inForce()
	t.services = map[string]bool{}
	for _, name := range names {
		t.services[name] = true
	}
	sameInstance := func(a, b hosts.Endpoint) bool { return a.Instance() == b.Instance() }
	if !maps.EqualFunc(before, t.inForce(), sameInstance) {
		t.localChanges++
	}
}

// endStates ends the states of entries whose time is over, and returns when the next one ends, zero for never. While the
// platform is unreachable no state ends.
func (t *Table) endStates() time.Time {
	var next time.Time
	if t.unreachable {
		return next
	}
	now := t.clock.Now()
	ended := false
	for name, e := range t.entries {
		switch {
		case e.state == published:
		case now.Before(e.until):
			if next.IsZero() || e.until.Before(next) {
				next = e.until
			}
		case e.state == expiring:
			t.bury(name, e)
			ended = true
		default:
			e.state, e.endpoint = published, e.outdated.WithHeartbeats(max(e.outdated.Heartbeats(), e.endpoint.Heartbeats()))
			ended = true
		}
	}
	if ended {
		t.localChanges++
	}
	return next
}

// EverRead reports whether all entries have been read at least once.
func (t *Table) EverRead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.everRead
}
