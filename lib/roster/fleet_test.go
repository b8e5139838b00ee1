package roster_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/roster"
)

// follower is a node that follows the platform, with the changes that it has not seen yet.
type follower struct {
	table    *roster.Table
	cut      bool
	pending  []change
	followed time.Time // since when it follows without a break
}

// fleet is a platform and nodes that follow it; the newest list that any of them makes is in force at all.
type fleet struct {
	clock     *clock.Manual
	revision  uint64
	entries   map[string]published
	followers []*follower
	inForce   *hosts.List
	left      map[string]bool // starts of endpoints whose removal a node saw that had followed the platform for long
}

func newFleet() *fleet {
	f := &fleet{clock: clock.NewManual(start), revision: 1, entries: map[string]published{}, left: map[string]bool{}}
	for range 3 {
		f.followers = append(f.followers, f.newFollower())
	}
	return f
}

// newFollower starts a node, which reads everything.
func (f *fleet) newFollower() *follower {
	n := &follower{table: roster.NewTable(f.clock), followed: f.clock.Now()}
	n.table.MarkReachable()
	f.readAll(n)
	return n
}

func (f *fleet) readAll(n *follower) {
	var all []roster.NamedEntry
	for name, e := range f.entries {
		all = append(all, roster.NewNamedEntry(name, e.endpoint, at(e.revision)))
	}
	n.table.Replace(all, at(f.revision))
	n.pending = nil
}

func (f *fleet) change(c change) {
	f.revision++
	c.revision = f.revision
	delete(f.entries, c.name)
	if c.endpoint != nil {
		f.entries[c.name] = published{endpoint: *c.endpoint, revision: f.revision}
	}
	for _, n := range f.followers {
		n.pending = append(n.pending, c)
		if !n.cut && c.endpoint == nil && f.clock.Now().Sub(n.followed) > time.Minute {
			f.left[c.name] = true
		}
	}
}

func (f *fleet) follow(n *follower) {
	if n.cut {
		return
	}
	n.table.MarkReachable()
	for _, c := range n.pending {
		if c.endpoint == nil {
			n.table.Remove(c.name, at(c.revision))
		} else {
			n.table.Put(c.name, *c.endpoint, at(c.revision))
		}
	}
	n.pending = nil
}

// sync lets the list of each node come into force if it is the newest, in the order of the nodes.
func (f *fleet) sync(t *rapid.T) {
	for _, n := range f.followers {
		f.follow(n)
		n.table.Confirm(f.inForce)
		list, _, err := n.table.List()
		if err != nil {
			t.Fatal(err)
		}
		if f.inForce == nil || list.Version() > f.inForce.Version() {
			f.inForce = list
		}
	}
}

// check fails if an endpoint is listed that a node, which has followed the platform all the while, has seen leave.
func (f *fleet) check(t *rapid.T) {
	f.sync(t)
	f.sync(t)
	for _, e := range f.inForce.Endpoints() {
		if f.left[e.Host()] {
			t.Fatalf("%s is listed again in version %d", e.Host(), f.inForce.Version())
		}
	}
}

// TestHistoriesOfCutOffNodes guards against endpoints that a node which was cut off from the platform brings back, in random
// histories. One node follows the platform all the while.
func TestHistoriesOfCutOffNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		started := 0
		cutOff := func(t *rapid.T) *follower { return f.followers[rapid.IntRange(1, len(f.followers)-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"start": func(*rapid.T) {
				started++
				name := fmt.Sprintf("10.0.0.%d", started)
				e := endpoint("desk", name, start)
				f.change(change{name: name, endpoint: &e})
			},
			"remove": func(t *rapid.T) {
				if len(f.entries) > 0 {
					f.change(change{name: rapid.SampledFrom(slices.Sorted(maps.Keys(f.entries))).Draw(t, "name")})
				}
			},
			"configure": func(*rapid.T) { f.revision++ },
			"cut": func(t *rapid.T) {
				n := cutOff(t)
				n.cut = true
				n.table.MarkUnreachable()
			},
			"heal": func(t *rapid.T) {
				n := cutOff(t)
				n.followed, n.cut = f.clock.Now(), false
			},
			"read": func(t *rapid.T) {
				if n := cutOff(t); !n.cut {
					n.table.MarkReachable()
					f.readAll(n)
				}
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(1, len(f.followers)-1).Draw(t, "node")
				f.followers[i] = f.newFollower()
			},
			"wait": func(t *rapid.T) {
				f.clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"wait long": func(*rapid.T) { f.clock.Advance(2 * time.Minute) },
			"":          f.check,
		})
	})
}
