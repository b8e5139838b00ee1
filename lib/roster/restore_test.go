package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/roster"
)

// beating returns an endpoint of the service desk as it registers with the given heartbeat.
func beating(heartbeats int64) hosts.Endpoint {
	return endpoint("desk", "10.0.0.1", start).WithHeartbeats(heartbeats)
}

func named(e hosts.Endpoint, p roster.Position) []roster.NamedEntry {
	return []roster.NamedEntry{roster.NewNamedEntry("a", e, p)}
}

// stateOf returns live, leaving or gone for the one endpoint that the table may list.
func stateOf(t *testing.T, table *roster.Table) string {
	t.Helper()
	list, _, err := table.List()
	if err != nil {
		t.Fatal(err)
	}
	switch {
	case len(list.Endpoints()) == 0:
		return "gone"
	case list.Endpoints()[0].Leaving():
		return "leaving"
	}
	return "live"
}

// TestBackupBringsNoEndpointBack guards against a leaving or gone endpoint that a backup lists as live.
func TestBackupBringsNoEndpointBack(t *testing.T) {
	leave := func(table *roster.Table) { table.Put("a", beating(9).WithLeaving(), atEpoch(1, 9)) }
	remove := func(table *roster.Table) { table.Remove("a", atEpoch(1, 9)) }
	leaveAndRemove := func(table *roster.Table) {
		leave(table)
		table.Remove("a", atEpoch(1, 10))
	}
	nothing := func(*roster.Table) {}
	again := func(heartbeats int64) func(table *roster.Table) {
		return func(table *roster.Table) { table.Put("a", beating(heartbeats), atEpoch(3, 9)) }
	}
	restarted := beating(1).WithInstance("desk10.0.0.1", start.Add(time.Second))
	tests := []struct {
		name   string
		before func(table *roster.Table)
		backup hosts.Endpoint
		after  func(table *roster.Table)
		waited time.Duration
		want   string
	}{
		{"live", nothing, beating(1), nothing, 0, "live"},
		{"leaving", leave, beating(1), nothing, 0, "leaving"},
		{"leaving, a while later", leave, beating(1), nothing, 5 * time.Second, "leaving"},
		{"leaving, written again", leave, beating(1), again(12), 0, "live"},
		{"gone", remove, beating(1), nothing, 0, "gone"},
		{"left", leaveAndRemove, beating(1), nothing, 0, "gone"},
		{"gone, a while later", remove, beating(1), nothing, 5 * time.Second, "gone"},
		{"gone, written again", remove, beating(1), again(12), 0, "live"},
		{"gone, written again before the first read", remove, beating(12), nothing, 0, "live"},
		{"gone, but kept by the platform", remove, beating(1), nothing, 7 * time.Second, "live"},
		{"gone, started again under its name", remove, restarted, nothing, 0, "live"},
		{"left, started again under its name", leaveAndRemove, restarted, nothing, 0, "live"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := clock.NewManual(start)
			table := roster.NewTable(c)
			table.Replace(named(beating(1), atEpoch(1, 5)), atEpoch(1, 5))
			test.before(table)
			table.Replace(named(test.backup, atEpoch(2, 5)), atEpoch(2, 6))
			table.Replace(named(test.backup, atEpoch(3, 5)), atEpoch(3, 6))
			test.after(table)
			c.Advance(test.waited)
			is.Equal(stateOf(t, table), test.want)
		})
	}
}

// TestReusedAddressStaysWithItsNewEndpoint guards against an endpoint of a backup whose address another service has now.
func TestReusedAddressStaysWithItsNewEndpoint(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(start)
	table := roster.NewTable(c)
	table.Replace(named(beating(1), atEpoch(1, 5)), atEpoch(1, 5))
	table.Remove("a", atEpoch(1, 6))
	successor := endpoint("shop", "10.0.0.1", start.Add(time.Second)).WithHeartbeats(1)
	table.Put("b", successor, atEpoch(1, 7))
	table.Replace(named(beating(1), atEpoch(2, 5)), atEpoch(2, 5))
	is.Equal(listed(t, table), map[string]string{"10.0.0.1": "shop"})
	c.Advance(heartbeatInterval)
	table.Put("b", successor.WithHeartbeats(9), atEpoch(2, 6))
	c.Advance(time.Minute)
	is.Equal(listed(t, table), map[string]string{"10.0.0.1": "shop"})
}

// TestNextChangeAfterRestoration checks that the list names the time at which an outdated entry begins to count.
func TestNextChangeAfterRestoration(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(start)
	table := roster.NewTable(c)
	table.Replace(named(beating(1), atEpoch(1, 5)), atEpoch(1, 5))
	table.Remove("a", atEpoch(1, 6))
	table.Replace(named(beating(1), atEpoch(2, 5)), atEpoch(2, 5))
	before, next, err := table.List()
	is.NoErr(err)
	is.True(next.After(c.Now()))
	c.Advance(next.Sub(c.Now()))
	after, next, err := table.List()
	is.NoErr(err)
	is.True(next.IsZero())
	is.Equal(len(after.Endpoints()), 1)
	is.True(after.Version() > before.Version())
}

func TestOlderEpochChangesNothing(t *testing.T) {
	is := is.New(t)
	table := roster.NewTable(clock.NewManual(start))
	table.Replace(named(beating(1), atEpoch(2, 5)), atEpoch(2, 5))
	table.Replace(nil, atEpoch(1, 9))
	table.Remove("a", atEpoch(1, 10))
	table.Put("a", beating(4).WithLeaving(), atEpoch(1, 11))
	is.Equal(stateOf(t, table), "live")
}

func TestSequencesOrderEpochsFirst(t *testing.T) {
	is := is.New(t)
	const lastRevision = 1<<40 - 1
	is.True(atEpoch(2, 1).Sequence() > atEpoch(1, lastRevision).Sequence())
	is.True(atEpoch(2, 1).After(atEpoch(1, lastRevision)))
	_, err := roster.NewPosition(1, lastRevision+1)
	is.True(err != nil)
}

// TestLargeEpochIsUsable guards against a platform that is never read because its restorations are counted from a large number.
func TestLargeEpochIsUsable(t *testing.T) {
	is := is.New(t)
	const large = 1_796_000_000
	is.Equal(atEpoch(large, 5).Revision(), uint64(5))
	is.True(atEpoch(large+1, 1).After(atEpoch(large, 5)))
	is.True(atEpoch(large+1, 1).Sequence() > atEpoch(large, 5).Sequence())
}

// TestHistoriesWithRestorations guards against lists that show what has left, or miss what lives, in random histories.
func TestHistoriesWithRestorations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		names := rapid.SampledFrom([]string{"1", "2", "3"})
		// onAlive returns an action on a server that is alive.
		onAlive := func(act func(name string, s *server)) func(*rapid.T) {
			return func(t *rapid.T) {
				name := names.Draw(t, "name")
				if s := w.servers[name]; s != nil && s.alive {
					act(name, s)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) { w.start(names.Draw(t, "name")) },
			"drain": onAlive(func(name string, s *server) {
				s.endpoint = s.endpoint.WithLeaving()
				w.beat(name)
			}),
			"leave": onAlive(func(name string, s *server) {
				s.alive = false
				if _, ok := w.entries[name]; ok {
					w.changed(change{name: name})
				}
			}),
			"crash":   onAlive(func(_ string, s *server) { s.alive = false }),
			"mute":    onAlive(func(_ string, s *server) { s.muted, s.silenced = !s.muted, true }),
			"tick":    func(*rapid.T) { w.tick() },
			"wait":    func(*rapid.T) { w.wait() },
			"read":    func(*rapid.T) { w.read() },
			"deliver": func(*rapid.T) { w.deliver() },
			"restore": func(t *rapid.T) { w.restore(rapid.Uint64Range(0, uint64(len(w.backups)-1)).Draw(t, "revision")) },
			"settle":  w.settle,
			"":        w.check,
		})
		w.settle(t)
	})
}

// TestSecondBackupBringsNoEndpointBack guards against a gone endpoint that a second backup brings back.
func TestSecondBackupBringsNoEndpointBack(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(start)
	table := roster.NewTable(c)
	table.Replace(named(beating(9).WithLeaving(), atEpoch(1, 5)), atEpoch(1, 5))
	table.Replace(named(beating(1), atEpoch(2, 2)), atEpoch(2, 2))
	c.Advance(time.Minute)
	is.Equal(stateOf(t, table), "live")
	table.Remove("a", atEpoch(2, 3))
	table.Replace(named(beating(5), atEpoch(3, 3)), atEpoch(3, 3))
	is.Equal(stateOf(t, table), "gone")
}

// TestDrainWithoutANewHeartbeatCounts guards against a drain that is ignored since its heartbeat was known.
func TestDrainWithoutANewHeartbeatCounts(t *testing.T) {
	is := is.New(t)
	table := roster.NewTable(clock.NewManual(start))
	table.Replace(named(beating(9), atEpoch(1, 5)), atEpoch(1, 5))
	table.Replace(named(beating(9).WithLeaving(), atEpoch(2, 2)), atEpoch(2, 2))
	is.Equal(stateOf(t, table), "leaving")
}

// TestListOfTheNodeThatKnowsMoreWins guards against a fresh node's list from a backup that replaces what others know.
func TestListOfTheNodeThatKnowsMoreWins(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(start)
	veteran, fresh := roster.NewTable(c), roster.NewTable(c)
	veteran.Replace(named(beating(1), atEpoch(1, 5)), atEpoch(1, 5))
	veteran.Remove("a", atEpoch(1, 6))
	for _, table := range []*roster.Table{veteran, fresh} {
		table.Replace(named(beating(1), atEpoch(2, 5)), atEpoch(2, 5))
	}
	checkWins := func() {
		t.Helper()
		known, _, err := veteran.List()
		is.NoErr(err)
		naive, _, err := fresh.List()
		is.NoErr(err)
		is.Equal(len(known.Endpoints()), len(naive.Endpoints())-1)
		is.True(known.Version() > naive.Version())
	}
	checkWins()
	other := endpoint("desk", "10.0.0.2", start).WithHeartbeats(3)
	for _, table := range []*roster.Table{veteran, fresh} {
		table.Put("b", other, atEpoch(2, 6))
	}
	checkWins()
}
