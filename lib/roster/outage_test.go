package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/roster"
)

// pair is two tables that have followed the platform for a while, with the endpoints a and b at revisions 5 and 6. The
// platform was then away for one of them, and reachable for the other all the while.
type pair struct {
	clock       *clock.Manual
	cut, steady *roster.Table
}

func newPair(outage time.Duration) pair {
	c := clock.NewManual(start)
	p := pair{clock: c, cut: roster.NewTable(c), steady: roster.NewTable(c)}
	for _, table := range []*roster.Table{p.cut, p.steady} {
		table.MarkReachable()
		table.Replace([]roster.NamedEntry{
			roster.NewNamedEntry("a", endpoint("desk", "10.0.0.1", start), at(5)),
			roster.NewNamedEntry("b", endpoint("desk", "10.0.0.2", start), at(6)),
		}, at(6))
	}
	c.Advance(time.Minute)
	p.cut.MarkReachable()
	p.cut.MarkUnreachable()
	c.Advance(outage)
	return p
}

func listOf(t *testing.T, table *roster.Table) *hosts.List {
	t.Helper()
	list, _, err := table.List()
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// TestRemovalSeenByPeersStays guards against an endpoint that has left and is brought back everywhere by a node that alone was
// cut off from the platform.
func TestRemovalSeenByPeersStays(t *testing.T) {
	remove := func(table *roster.Table) { table.Remove("a", at(7)) }
	put := func(table *roster.Table) { table.Put("c", endpoint("desk", "10.0.0.3", start), at(8)) }
	read := func(table *roster.Table) { // at a later position, since the configuration has changed
		table.Replace([]roster.NamedEntry{roster.NewNamedEntry("b", endpoint("desk", "10.0.0.2", start), at(6))}, at(9))
	}
	tests := []struct {
		name   string
		cut    func(*roster.Table) // what the table sees that was cut off
		steady func(*roster.Table)
		after  time.Duration // from the end of the outage to the removal
	}{
		{"removed in the outage", remove, remove, 0},
		{"removed just after the outage", remove, remove, 900 * time.Millisecond},
		{"another change after the removal", func(t *roster.Table) { remove(t); put(t) }, func(t *roster.Table) { remove(t); put(t) }, 0},
		{"whole platform read", read, remove, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(3 * time.Second)
			p.cut.MarkReachable()
			p.clock.Advance(test.after)
			test.steady(p.steady)
			test.cut(p.cut)
			for range 30 {
				is.True(listOf(t, p.cut).Version() < listOf(t, p.steady).Version())
				p.clock.Advance(100 * time.Millisecond)
			}
			_, listed := listOf(t, p.steady).Find("10.0.0.1:1")
			is.True(!listed)
		})
	}
}

// TestConfirmedRemovalCountsAtOnce checks which lists of peers end the grace period of a removed entry.
func TestConfirmedRemovalCountsAtOnce(t *testing.T) {
	tests := []struct {
		name string
		peer func(p pair) *roster.Table
		want bool
	}{
		{"a peer that has followed the platform", func(p pair) *roster.Table {
			p.steady.Remove("a", at(7))
			return p.steady
		}, true},
		{"a peer that does not know it yet", func(p pair) *roster.Table { return p.steady }, false},
		{"a peer that has just been started", func(p pair) *roster.Table {
			fresh := roster.NewTable(p.clock)
			fresh.Replace([]roster.NamedEntry{roster.NewNamedEntry("b", endpoint("desk", "10.0.0.2", start), at(6))}, at(7))
			return fresh
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(3 * time.Second)
			p.cut.MarkReachable()
			is.True(p.cut.Remove("a", at(7)))
			p.cut.Confirm(listOf(t, test.peer(p)))
			_, listed := listOf(t, p.cut).Find("10.0.0.1:1")
			is.Equal(listed, !test.want)
		})
	}
}

// TestShortOutagesKeepNothing guards against watches that are cut again and again, each of which began the grace period anew.
func TestShortOutagesKeepNothing(t *testing.T) {
	is := is.New(t)
	p := newPair(100 * time.Millisecond)
	for range 5 {
		p.cut.MarkReachable()
		p.clock.Advance(time.Second)
		p.cut.MarkUnreachable()
		p.clock.Advance(100 * time.Millisecond)
	}
	p.cut.MarkReachable()
	is.True(!p.cut.Remove("a", at(7)))
	is.Equal(len(listed(t, p.cut)), 1)
}

// TestQuietTimeIsNoOutage guards against an outage that is counted from the last answer, and not from the first failed call.
func TestQuietTimeIsNoOutage(t *testing.T) {
	const quiet = 27 * time.Second
	tests := []struct {
		outage time.Duration
		want   bool // removals are doubtful
	}{
		{100 * time.Millisecond, false},
		{1400 * time.Millisecond, false},
		{1500 * time.Millisecond, true},
		{5 * time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.outage.String(), func(t *testing.T) {
			is := is.New(t)
			p := newPair(0)
			p.cut.MarkReachable()
			p.clock.Advance(quiet)
			p.cut.MarkUnreachable()
			p.clock.Advance(test.outage)
			p.cut.MarkUnreachable() // a later failure of the same outage
			p.cut.MarkReachable()
			is.Equal(p.cut.Remove("a", at(7)), test.want)
		})
	}
}

// TestOneUnansweredCallIsNoOutage guards against one broken connection that is taken for an outage.
func TestOneUnansweredCallIsNoOutage(t *testing.T) {
	is := is.New(t)
	p := newPair(0)
	p.cut.MarkReachable()
	is.True(!p.cut.RecordUnanswered())
	is.True(p.cut.IsFailing())
	is.True(!p.cut.IsUnreachable())
	p.clock.Advance(5 * time.Second) // the next call is answered late
	is.Equal(p.cut.MarkReachable(), time.Duration(0))
	is.True(!p.cut.RecordUnanswered())
	p.clock.Advance(time.Second)
	is.True(p.cut.RecordUnanswered())
	is.True(p.cut.IsUnreachable())
	p.clock.Advance(time.Second)
	is.Equal(p.cut.MarkReachable(), 2*time.Second)
	is.True(p.cut.Remove("a", at(7))) // it may have expired
}

// TestOutageOfThePlatformKeepsEndpoints checks that entries which expired in an outage count everywhere, also at a node that was
// started in it.
func TestOutageOfThePlatformKeepsEndpoints(t *testing.T) {
	is := is.New(t)
	p := newPair(5 * time.Second)
	p.steady.MarkUnreachable()
	p.clock.Advance(5 * time.Second)
	fresh := roster.NewTable(p.clock)
	fresh.Replace(nil, at(8))
	for _, table := range []*roster.Table{p.cut, p.steady} {
		table.MarkReachable()
		table.Remove("a", at(7))
		table.Remove("b", at(8))
		is.Equal(len(listed(t, table)), 2)
		is.True(listOf(t, table).Version() > listOf(t, fresh).Version())
	}
}

// TestManyRemovalsAtOnceAreAnOutage guards against a list without endpoints after an outage of the platform that no watch showed.
func TestManyRemovalsAtOnceAreAnOutage(t *testing.T) {
	const endpoints = 8
	tests := []struct {
		name    string
		removed int
		whole   bool // everything is read, in place of the changes
		want    int
	}{
		{"all expire", endpoints, false, endpoints},
		{"most expire", 5, false, endpoints},
		{"half of them leave", 4, false, 4},
		{"all are missing when everything is read", endpoints, true, endpoints},
		{"half of them are missing when everything is read", 4, true, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := clock.NewManual(start)
			table := roster.NewTable(c)
			var all []roster.NamedEntry
			var names []string
			for i := range endpoints {
				name := fmt.Sprint(i)
				names = append(names, name)
				all = append(all, roster.NewNamedEntry(name, endpoint("desk", "10.0.0."+name, start), at(1)))
			}
			table.Replace(all, at(5))
			c.Advance(time.Minute)
			if test.whole {
				table.Replace(all[test.removed:], at(9))
			} else {
				table.DetectOutage(names[:test.removed])
				for i, name := range names[:test.removed] {
					table.Remove(name, at(uint64(6+i)))
				}
			}
			is.Equal(len(listed(t, table)), test.want)
			c.Advance(2500 * time.Millisecond)
			is.Equal(len(listed(t, table)), endpoints-test.removed) // still missing, so they have left
		})
	}
}
