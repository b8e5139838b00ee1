package roster

import (
	"fmt"
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/hosts"
)

const (
	// lapseGrace is how long after the platform's return an entry that is missing still counts.
	lapseGrace = 2200 * time.Millisecond
	// unstable is how long after an outage a removed entry may have lapsed for want of heartbeats.
	unstable = time.Second
	// lapseBits is the part of a list's version that counts changes made here; the platform's revision stands above it.
	lapseBits = 8
)

// entry is one published entry, with when it stops to count if it was removed.
type entry struct {
	endpoint hosts.Endpoint
	revision uint64
	removed  bool
	until    time.Time
}

// Table holds the entries by their names.
type Table struct {
	clock    clock.Clock
	mu       sync.Mutex
	entries  map[string]*entry
	revision uint64
	lapses   uint64
	lostAt   time.Time
	backAt   time.Time
	isAway   bool
	everRead bool
}

// NewTable returns an empty table.
func NewTable(c clock.Clock) *Table { return &Table{clock: c, entries: map[string]*entry{}} }

// Put takes in an entry; one that is older than what is known changes nothing.
func (t *Table) Put(name string, e hosts.Endpoint, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(name, e, revision)
}

func (t *Table) put(name string, e hosts.Endpoint, revision uint64) {
	known, ok := t.entries[name]
	if ok && known.revision >= revision && !known.removed {
		return
	}
	t.entries[name] = &entry{endpoint: e, revision: revision}
	t.advance(revision)
}

// advance notes the platform's newest revision.
func (t *Table) advance(revision uint64) {
	if revision > t.revision {
		t.revision, t.lapses = revision, 0
	}
}

// Remove takes in that an entry was removed.
func (t *Table) Remove(name string, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.entries[name]
	if !ok || known.revision >= revision {
		return
	}
	t.advance(revision)
	t.remove(name, known, revision)
}

func (t *Table) remove(name string, known *entry, revision uint64) {
	if !t.mayHaveLapsed() || known.endpoint.Leaving() {
		delete(t.entries, name)
		return
	}
	if known.removed {
		return
	}
	known.removed, known.revision = true, revision
	known.until = t.backAt.Add(lapseGrace)
}

// mayHaveLapsed reports whether entries may be missing only because their writers could not reach the platform.
func (t *Table) mayHaveLapsed() bool {
	return t.isAway || (!t.backAt.IsZero() && t.clock.Now().Sub(t.backAt) < unstable)
}

// Named is an entry with its name and revision.
type Named struct {
	name     string
	endpoint hosts.Endpoint
	revision uint64
}

// NewNamed returns an entry with its name and revision.
func NewNamed(name string, e hosts.Endpoint, revision uint64) Named {
	return Named{name: name, endpoint: e, revision: revision}
}

// Replace takes in all entries as read at a revision; those that are known and missing were removed.
func (t *Table) Replace(all []Named, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := map[string]bool{}
	for _, n := range all {
		present[n.name] = true
		t.put(n.name, n.endpoint, n.revision)
	}
	for name, known := range t.entries {
		if !present[name] && known.revision <= revision {
			t.remove(name, known, revision)
		}
	}
	t.advance(revision)
	t.everRead = true
}

// Lost notes that the platform cannot be read.
func (t *Table) Lost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isAway {
		t.isAway, t.lostAt = true, t.clock.Now()
	}
}

// Regained notes that the platform can be read again, and returns for how long it could not.
func (t *Table) Regained() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isAway {
		return 0
	}
	now := t.clock.Now()
	t.isAway, t.backAt = false, now
	for _, e := range t.entries {
		if e.removed {
			e.until = now.Add(lapseGrace)
		}
	}
	return now.Sub(t.lostAt)
}

// List returns the list in force, and when it changes by itself because a removed entry stops to count, zero for never.
func (t *Table) List() (*hosts.List, time.Time, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var next time.Time
	newest := map[string]hosts.Endpoint{}
	for name, e := range t.entries {
		if e.removed && !t.isAway && !now.Before(e.until) {
			delete(t.entries, name)
			t.lapses++
			continue
		}
		if e.removed && (next.IsZero() || e.until.Before(next)) {
			next = e.until
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
	list, err := hosts.NewList(t.revision<<lapseBits|min(t.lapses, 1<<lapseBits-1), endpoints)
	if err != nil {
		return nil, next, fmt.Errorf("roster: %w", err)
	}
	return list, next, nil
}

// EverRead reports whether all entries have been read once.
func (t *Table) EverRead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.everRead
}

// IsAway reports whether the platform could not be read when it was last tried.
func (t *Table) IsAway() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isAway
}
