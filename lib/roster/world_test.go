package roster_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/roster"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// waitsPerTick is the number of short waits in a heartbeat interval.
	waitsPerTick = 5
	// leaseTicks is the number of heartbeat intervals without a heartbeat after which the platform removes an entry.
	leaseTicks = 3
	// settleTicks is the number of heartbeat intervals after which the list equals the truth.
	settleTicks = 7
)

// server is the truth about one backend server.
type server struct {
	endpoint hosts.Endpoint
	alive    bool
	muted    bool // its heartbeats do not reach the platform
	silenced bool // it has been muted at some time
	listed   bool // the list has shown it
	dropped  bool // since it is leaving or gone, the list has shown that
}

// published is an entry as the platform holds it.
type published struct {
	endpoint hosts.Endpoint
	revision uint64
	ticks    int // heartbeat intervals since the last heartbeat
}

// change is an entry written, or removed if its endpoint is nil.
type change struct {
	name     string
	endpoint *hosts.Endpoint
	revision uint64
}

// world is a model of a platform, which is restored from backups, with backend servers that register there, and the table
// under test, which follows it.
type world struct {
	clock    *clock.Manual
	table    *roster.Table
	servers  map[string]*server
	epoch    uint64
	revision uint64
	entries  map[string]published
	backups  map[uint64]map[string]published
	pending  []change
	mustRead bool
	starts   int
	waits    int // since the last tick
	version  uint64
}

func newWorld() *world {
	c := clock.NewManual(start)
	w := &world{
		clock: c, table: roster.NewTable(c), servers: map[string]*server{}, epoch: 1, entries: map[string]published{},
		backups: map[uint64]map[string]published{}, mustRead: true,
	}
	w.backups[0] = map[string]published{}
	return w
}

func (w *world) changed(c change) {
	w.revision++
	c.revision = w.revision
	if c.endpoint == nil {
		delete(w.entries, c.name)
	} else {
		w.entries[c.name] = published{endpoint: *c.endpoint, revision: w.revision}
	}
	w.pending = append(w.pending, c)
	w.backups[w.revision] = maps.Clone(w.entries)
}

// beat lets a server write its entry. A heartbeat alone does not change an entry that the platform has.
func (w *world) beat(name string) {
	s := w.servers[name]
	s.endpoint = s.endpoint.WithHeartbeats(s.endpoint.Heartbeats() + 1)
	if s.muted {
		return
	}
	e, ok := w.entries[name]
	if ok && e.endpoint.Started().Equal(s.endpoint.Started()) && e.endpoint.Leaving() == s.endpoint.Leaving() {
		e.ticks = 0
		w.entries[name] = e
		return
	}
	w.changed(change{name: name, endpoint: &s.endpoint})
}

// start starts a server, under a name that it may have had before.
func (w *world) start(name string) {
	w.starts++
	e := endpoint("desk", "10.0.0."+name, start.Add(time.Duration(w.starts)*time.Second))
	w.servers[name] = &server{endpoint: e, alive: true}
	w.beat(name)
}

// wait lets a part of a heartbeat interval pass.
func (w *world) wait() {
	w.clock.Advance(heartbeatInterval / waitsPerTick)
	w.waits++
	if w.waits == waitsPerTick {
		w.endInterval()
	}
}

// tick lets the rest of a heartbeat interval pass.
func (w *world) tick() {
	for w.wait(); w.waits > 0; {
		w.wait()
	}
}

// endInterval lets all servers send their heartbeats, after which the table sees all changes.
func (w *world) endInterval() {
	w.waits = 0
	for _, name := range slices.Sorted(maps.Keys(w.servers)) {
		if w.servers[name].alive {
			w.beat(name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.entries)) {
		e := w.entries[name]
		e.ticks++
		w.entries[name] = e
		if e.ticks >= leaseTicks {
			w.changed(change{name: name})
		}
	}
	w.sync()
}

// restore brings back the platform's state as it was last at a revision, of whatever epoch; leases run anew from there.
func (w *world) restore(revision uint64) {
	w.epoch++
	w.revision = revision
	w.entries = map[string]published{}
	for name, e := range w.backups[revision] {
		e.ticks = 0
		w.entries[name] = e
	}
	w.pending, w.mustRead = nil, true
}

func (w *world) read() {
	var all []roster.NamedEntry
	for name, e := range w.entries {
		all = append(all, roster.NewNamedEntry(name, e.endpoint, atEpoch(w.epoch, e.revision)))
	}
	w.table.Replace(all, atEpoch(w.epoch, w.revision))
	w.pending, w.mustRead = nil, false
}

func (w *world) deliver() {
	if w.mustRead || len(w.pending) == 0 {
		return
	}
	c := w.pending[0]
	w.pending = w.pending[1:]
	if c.endpoint == nil {
		w.table.Remove(c.name, atEpoch(w.epoch, c.revision))
		return
	}
	w.table.Put(c.name, *c.endpoint, atEpoch(w.epoch, c.revision))
}

func (w *world) sync() {
	if w.mustRead {
		w.read()
	}
	for len(w.pending) > 0 {
		w.deliver()
	}
}

// states returns live or leaving for each listed server by its name and start.
func (w *world) states(t *rapid.T) map[string]string {
	list, _, err := w.table.List()
	if err != nil {
		t.Fatal(err)
	}
	if list.Version() < w.version {
		t.Fatalf("version %d after %d", list.Version(), w.version)
	}
	w.version = list.Version()
	states := map[string]string{}
	for _, e := range list.Endpoints() {
		states[startOf(e)] = stateName(e)
	}
	return states
}

func startOf(e hosts.Endpoint) string { return fmt.Sprintf("%s at %d", e.Host(), e.Started().Unix()) }

func stateName(e hosts.Endpoint) string {
	if e.Leaving() {
		return "leaving"
	}
	return "live"
}

// check fails if a server that is leaving or gone is listed as live after the list has shown that, or if one that lives
// and always reached the platform is no longer.
func (w *world) check(t *rapid.T) {
	states := w.states(t)
	for name, s := range w.servers {
		state := states[startOf(s.endpoint)]
		s.listed = s.listed || state != ""
		mustBeListed := s.alive && !s.silenced && !s.endpoint.Leaving()
		if s.listed && mustBeListed && state != "live" {
			t.Fatalf("server %s is listed as %q", name, state)
		}
		if !s.listed || s.alive && !s.endpoint.Leaving() {
			continue
		}
		if s.dropped && state == "live" {
			t.Fatalf("server %s is live again", name)
		}
		s.dropped = s.dropped || state != "live"
	}
}

// settle fails if the list differs from the truth after some time without a restoration.
func (w *world) settle(t *rapid.T) {
	for _, s := range w.servers {
		s.muted = false
	}
	for range settleTicks {
		w.tick()
		w.check(t)
	}
	want := map[string]string{}
	for _, s := range w.servers {
		if s.alive {
			want[startOf(s.endpoint)] = stateName(s.endpoint)
		}
	}
	if got := w.states(t); !maps.Equal(got, want) {
		t.Fatalf("listed %v, want %v", got, want)
	}
}
