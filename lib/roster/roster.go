package roster

import (
	"fmt"
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/hosts"
)

const (
	// missingGrace is how long a missing entry still counts after the platform has become reachable again.
	missingGrace = 2200 * time.Millisecond
	// expiryWindow is how long after an outage a removed entry may have expired because its heartbeats did not arrive.
	expiryWindow = time.Second
	// localChangeBits is the number of low bits of a list's version that count changes made here; the bits above them
	// hold the platform's revision.
	localChangeBits = 8
)

// entry is one published entry. One that was removed counts until countsUntil.
type entry struct {
	endpoint    hosts.Endpoint
	revision    uint64
	removed     bool
	countsUntil time.Time
}

// Table holds the published entries by name.
type Table struct {
	clock            clock.Clock
	mu               sync.Mutex
	entries          map[string]*entry
	revision         uint64
	localChanges     uint64
	unreachableSince time.Time
	reachableSince   time.Time
	unreachable      bool
	everRead         bool
}

// NewTable returns an empty table.
func NewTable(c clock.Clock) *Table { return &Table{clock: c, entries: map[string]*entry{}} }

// Put records an entry, unless the same or a newer revision of it is recorded and has not been removed since.
func (t *Table) Put(name string, e hosts.Endpoint, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(name, e, revision)
}

func (t *Table) put(name string, e hosts.Endpoint, revision uint64) {
	recorded, ok := t.entries[name]
	if ok && recorded.revision >= revision && !recorded.removed {
		return
	}
	t.entries[name] = &entry{endpoint: e, revision: revision}
	t.advance(revision)
}

// advance records the platform's newest revision, at which the count of local changes begins again.
func (t *Table) advance(revision uint64) {
	if revision > t.revision {
		t.revision, t.localChanges = revision, 0
	}
}

// Remove records that an entry was removed. The entry counts for a short time longer if it may only have expired.
func (t *Table) Remove(name string, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	recorded, ok := t.entries[name]
	if !ok || recorded.revision >= revision {
		return
	}
	t.advance(revision)
	t.remove(name, recorded, revision)
}

func (t *Table) remove(name string, recorded *entry, revision uint64) {
	if !t.mayHaveExpired() || recorded.endpoint.Leaving() {
		delete(t.entries, name)
		return
	}
	if recorded.removed {
		return
	}
	recorded.removed, recorded.revision = true, revision
	recorded.countsUntil = t.reachableSince.Add(missingGrace)
}

// mayHaveExpired reports whether entries may be missing only because their writers could not reach the platform.
func (t *Table) mayHaveExpired() bool {
	return t.unreachable || (!t.reachableSince.IsZero() && t.clock.Now().Sub(t.reachableSince) < expiryWindow)
}

// NamedEntry is an entry with the name and the revision under which the platform holds it.
type NamedEntry struct {
	name     string
	endpoint hosts.Endpoint
	revision uint64
}

// NewNamedEntry returns an entry with its name and revision at the platform.
func NewNamedEntry(name string, e hosts.Endpoint, revision uint64) NamedEntry {
	return NamedEntry{name: name, endpoint: e, revision: revision}
}

// Replace records all entries as read at a revision. Recorded entries that are missing from them count as removed.
func (t *Table) Replace(all []NamedEntry, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := map[string]bool{}
	for _, n := range all {
		present[n.name] = true
		t.put(n.name, n.endpoint, n.revision)
	}
	for name, recorded := range t.entries {
		if !present[name] && recorded.revision <= revision {
			t.remove(name, recorded, revision)
		}
	}
	t.advance(revision)
	t.everRead = true
}

// MarkUnreachable records that the platform cannot be read.
func (t *Table) MarkUnreachable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.unreachable {
		t.unreachable, t.unreachableSince = true, t.clock.Now()
	}
}

// MarkReachable records that the platform can be read again, and returns for how long it could not, zero if it could.
func (t *Table) MarkReachable() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.unreachable {
		return 0
	}
	now := t.clock.Now()
	t.unreachable, t.reachableSince = false, now
	for _, e := range t.entries {
		if e.removed {
			e.countsUntil = now.Add(missingGrace)
		}
	}
	return now.Sub(t.unreachableSince)
}

// List returns the list in force, and when it will change without an update because a removed entry stops counting, zero
// for never.
func (t *Table) List() (*hosts.List, time.Time, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var next time.Time
	newest := map[string]hosts.Endpoint{}
	for name, e := range t.entries {
		if e.removed && !t.unreachable && !now.Before(e.countsUntil) {
			delete(t.entries, name)
			t.localChanges++
			continue
		}
		if e.removed && (next.IsZero() || e.countsUntil.Before(next)) {
			next = e.countsUntil
		}
		addr := e.endpoint.RPCAddr()
		if other, taken := newest[addr]; !taken || other.Started().Before(e.endpoint.Started()) {
			newest[addr] = e.endpoint
		}
	}
	endpoints := make([]hosts.Endpoint, 0, len(newest))
	for _, e := range newest {
		endpoints = append(endpoints, e)
	}
	list, err := hosts.NewList(t.revision<<localChangeBits|min(t.localChanges, 1<<localChangeBits-1), endpoints)
	if err != nil {
		return nil, next, fmt.Errorf("roster: %w", err)
	}
	return list, next, nil
}

// EverRead reports whether all entries have been read at least once.
func (t *Table) EverRead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.everRead
}

// IsUnreachable reports whether the platform could not be read when it was last tried.
func (t *Table) IsUnreachable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unreachable
}
