package roster

import (
	"time"

	"tamarackrudder.org/lib/hosts"
)

const (
	// outdatedTimeout is how long an entry from a backup may stay at the platform although its endpoint is gone. The
	// platform removes entries after three missed heartbeats of 1.5 s.
	outdatedTimeout = 6 * time.Second
	// tombstoneMaxAge is the age of the oldest backup from which a removed entry must not come back.
	tombstoneMaxAge = 5 * time.Minute
)

// tombstone is the last known state of an entry that was removed for good.
type tombstone struct {
	endpoint  hosts.Endpoint
	removedAt time.Time
}

// putRestored records an entry as read for the first time after a restoration. If it is older than what is known of its
// endpoint, an endpoint that is leaving or gone stays so. Such an endpoint writes a new entry if it lives; else the
// platform removes the old one before outdatedTimeout.
func (t *Table) putRestored(n NamedEntry) {
	e := t.entries[n.name]
	if e == nil {
		e = t.unbury(n.name)
	}
	if e == nil || !n.endpoint.IsOutdated(e.endpoint) {
		t.entries[n.name] = &entry{endpoint: n.endpoint, position: n.position}
		return
	}
	t.entries[n.name] = e
	e.position = n.position
	switch {
	case e.state == expiring:
		e.state = published
	case e.state == published && e.endpoint.Leaving():
		e.state = heldLeaving
	}
	if e.isHeld() {
		e.outdated, e.until = n.endpoint, t.clock.Now().Add(outdatedTimeout)
	}
}

// held returns the names of all held entries.
func (t *Table) held() []string {
	var names []string
	for name, e := range t.entries {
		if e.isHeld() {
			names = append(names, name)
		}
	}
	return names
}

// bury removes an entry for good.
func (t *Table) bury(name string, e *entry) {
	now := t.clock.Now()
	for other, s := range t.tombstones {
		if now.Sub(s.removedAt) > tombstoneMaxAge {
			delete(t.tombstones, other)
		}
	}
	delete(t.entries, name)
	t.tombstones[name] = tombstone{endpoint: e.endpoint, removedAt: now}
}

// unbury returns a removed entry as gone, nil if there is none of the name.
func (t *Table) unbury(name string) *entry {
	s, ok := t.tombstones[name]
	if !ok {
		return nil
	}
	return &entry{endpoint: s.endpoint, state: heldGone}
}
