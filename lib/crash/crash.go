package crash

import (
	"slices"
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/recent"
)

const (
	// crashesToBlock is the number of crashes at which requests with a fingerprint are refused.
	crashesToBlock = 2
	// crashTTL is how long a crash counts against a fingerprint.
	crashTTL = 10 * time.Minute
	// maxMarks bounds the marks that a table holds.
	maxMarks = 2048
	// maxSentMarks bounds the marks that are sent in one heartbeat.
	maxSentMarks = 256
	// suspectSpreadTime is how long the mark of a single crash is sent to peers.
	suspectSpreadTime = 10 * time.Second
	// maxSucceeded is the number of fingerprints in each of the two generations of the set of successes.
	maxSucceeded = 50_000
	// sameCrashWindow is the time within which broken connections of one endpoint count as one crash, since a crash breaks
	// all connections of the backend server.
	sameCrashWindow = 2 * time.Second
)

// Mark lists the crashes of backend servers during which a request with a fingerprint was in flight.
type Mark struct {
	fingerprint uint64
	crashes     []Crash
}

// Crash is one crash of a backend server, identified by its endpoint and the wall time.
type Crash struct {
	addr string
	at   time.Time
}

// NewCrash returns the crash of the backend server of an endpoint at a time; the monotonic clock reading is dropped.
func NewCrash(addr string, at time.Time) Crash { return Crash{addr: addr, at: at.Round(0)} }

// Addr returns the endpoint's address.
func (c Crash) Addr() string { return c.addr }

// At returns the wall time of the crash.
func (c Crash) At() time.Time { return c.at }

func (c Crash) equal(other Crash) bool {
	return c.addr == other.addr && c.at.Sub(other.at).Abs() < sameCrashWindow
}

// NewMark returns the mark of a fingerprint with its crashes, in any order.
func NewMark(fingerprint uint64, crashes []Crash) Mark {
	return Mark{fingerprint: fingerprint, crashes: crashes}
}

// Fingerprint returns the fingerprint of the requests that the mark is about.
func (m Mark) Fingerprint() uint64 { return m.fingerprint }

// Crashes returns the crashes; the slice must not be modified.
func (m Mark) Crashes() []Crash { return m.crashes }

// Status states how requests with a fingerprint are treated.
type Status int

// The statuses of a fingerprint.
const (
	// Clear means that requests run as usual.
	Clear Status = iota
	// Suspect means that one crash is recorded: requests run one at a time.
	Suspect
	// Blocked means that at least two crashes are recorded: requests are refused.
	Blocked
)

// Table holds the crash marks of a service, which its endpoints exchange in their heartbeats.
type Table struct {
	clock clock.Clock
	start time.Time
	self  string
	mu    sync.Mutex
	marks map[uint64]Mark
	// succeeded holds the fingerprints of requests that ran to completion at this endpoint.
	succeeded *recent.Set[uint64]
}

// NewTable returns an empty table for the endpoint at an address.
func NewTable(c clock.Clock, self string) *Table {
	return &Table{clock: c, start: c.Now(), self: self, marks: map[uint64]Mark{}, succeeded: recent.NewSet[uint64](maxSucceeded)}
}

// RecordCrash records that the local backend server crashed while a request with the fingerprint was in flight, and returns the
// number of crashes that are recorded for it.
func (t *Table) RecordCrash(fingerprint uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(NewMark(fingerprint, []Crash{NewCrash(t.self, t.now())}))
	return len(t.marks[fingerprint].crashes)
}

// Merge adds the crashes in the marks of a peer, except those that are recorded already or have expired. It reports whether any
// crash was added.
func (t *Table) Merge(marks []Mark) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	added := false
	for _, m := range marks {
		added = t.merge(m) || added
	}
	return added
}

func (t *Table) merge(m Mark) bool {
	added := false
	mark := t.marks[m.fingerprint]
	mark.fingerprint = m.fingerprint
	for _, c := range m.crashes {
		recorded := slices.ContainsFunc(mark.crashes, c.equal)
		if !recorded && !t.isExpired(c) {
			mark.crashes = append(slices.Clone(mark.crashes), c)
			added = true
		}
	}
	if !added {
		return false
	}
	t.marks[m.fingerprint] = mark
	if len(t.marks) > maxMarks {
		t.evict()
	}
	return true
}

func (t *Table) isExpired(c Crash) bool { return t.now().Round(0).Sub(c.at) >= crashTTL }

// now returns the wall time of the table's start plus the time since. After a jump of the time of day it would take one crash for
// two, or two for one.
func (t *Table) now() time.Time { return t.start.Round(0).Add(t.clock.Now().Sub(t.start)) }

// prune removes expired crashes, and marks without any.
func (t *Table) prune() {
	for f, m := range t.marks {
		if !slices.ContainsFunc(m.crashes, t.isExpired) {
			continue
		}
		m.crashes = slices.DeleteFunc(slices.Clone(m.crashes), t.isExpired)
		t.marks[f] = m
		if len(m.crashes) == 0 {
			delete(t.marks, f)
		}
	}
}

// RecordSuccess records that a request with the fingerprint ran to completion at this endpoint. Such a fingerprint stays clear
// here while it is among the latest recorded ones: it was probably in flight by chance when a backend server crashed.
func (t *Table) RecordSuccess(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.succeeded.Add(fingerprint)
}

// HasSucceeded reports whether a request with the fingerprint recently ran to completion at this endpoint.
func (t *Table) HasSucceeded(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.succeeded.Has(fingerprint)
}

// Status returns how this endpoint treats requests with the fingerprint.
func (t *Table) Status(fingerprint uint64) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.succeeded.Has(fingerprint) {
		return Clear
	}
	counting := 0
	for _, c := range t.marks[fingerprint].crashes {
		if !t.isExpired(c) {
			counting++
		}
	}
	switch {
	case counting >= crashesToBlock:
		return Blocked
	case counting > 0:
		return Suspect
	}
	return Clear
}
