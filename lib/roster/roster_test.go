package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/roster"
)

var start = time.Unix(1_800_000_000, 0)

func endpoint(service, ip string, started time.Time) hosts.Endpoint {
	return hosts.NewEndpoint(service, ip, "z0", ip+":1", false).WithInstance(service+ip, started)
}

// outage is an outage of the platform in which entries can expire.
const outage = 2 * time.Second

// at returns the position of a revision in the first epoch.
func at(revision uint64) roster.Position { return atEpoch(0, revision) }

func atEpoch(epoch, revision uint64) roster.Position {
	p, err := roster.NewPosition(epoch, revision)
	if err != nil {
		panic(err)
	}
	return p
}

// listed returns the services of the list in force by address.
func listed(t *testing.T, table *roster.Table) map[string]string {
	t.Helper()
	list, _, err := table.List()
	if err != nil {
		t.Fatal(err)
	}
	services := map[string]string{}
	for _, e := range list.Endpoints() {
		services[e.Host()] = e.Service()
	}
	return services
}

func TestNewestStartAtAnAddressCounts(t *testing.T) {
	is := is.New(t)
	table := roster.NewTable(clock.NewManual(start))
	table.Put("b", endpoint("shop", "10.0.0.1", start.Add(time.Minute)), at(7))
	table.Put("a", endpoint("desk", "10.0.0.1", start), at(8)) // the older start's last heartbeat arrives late
	is.Equal(listed(t, table), map[string]string{"10.0.0.1": "shop"})
}

// TestChangeBetweenPagesIsNotHidden guards against a change that an entry of a later page, read with a later change, keeps out.
func TestChangeBetweenPagesIsNotHidden(t *testing.T) {
	is := is.New(t)
	table := roster.NewTable(clock.NewManual(start))
	first, second := endpoint("desk", "10.0.0.1", start), endpoint("desk", "10.0.0.2", start)
	table.Replace([]roster.NamedEntry{roster.NewNamedEntry("a", first, at(3)), roster.NewNamedEntry("b", second.WithLeaving(), at(9))}, at(5))
	version := func() uint64 {
		list, _, err := table.List()
		is.NoErr(err)
		return list.Version()
	}
	read := version()
	table.Put("a", first.WithLeaving(), at(7))
	changed := version()
	is.True(changed > read)
	table.Put("b", second.WithLeaving(), at(9)) // the watch reports what was read already
	is.True(version() > changed)
	table.Remove("a", at(11))
	is.Equal(listed(t, table), map[string]string{"10.0.0.2": "desk"})
}

// TestEntryOfUnknownServiceHidesNoEndpoint guards against an entry of another writer that takes the place of a living endpoint.
func TestEntryOfUnknownServiceHidesNoEndpoint(t *testing.T) {
	is := is.New(t)
	table := roster.NewTable(clock.NewManual(start))
	table.Put("a", endpoint("desk", "10.0.0.1", start), at(7))
	table.Put("b", endpoint("else", "10.0.0.1", start.Add(time.Minute)), at(8))
	list, _, err := table.List()
	is.NoErr(err)
	table.SetServices([]string{"desk", "shop"})
	is.Equal(listed(t, table), map[string]string{"10.0.0.1": "desk"})
	known, _, err := table.List()
	is.NoErr(err)
	is.True(known.Version() > list.Version())                                     // it comes into force
	table.Put("c", endpoint("shop", "10.0.0.1", start.Add(2*time.Minute)), at(9)) // the address is in use again
	is.Equal(listed(t, table), map[string]string{"10.0.0.1": "shop"})
}

func TestOlderEntryChangesNothing(t *testing.T) {
	is := is.New(t)
	table := roster.NewTable(clock.NewManual(start))
	e := endpoint("desk", "10.0.0.1", start)
	table.Put("a", e.WithLeaving(), at(7))
	table.Put("a", e, at(6))
	list, _, err := table.List()
	is.NoErr(err)
	is.True(list.Endpoints()[0].Leaving())
}

// TestRemoved removes an entry after an outage of the platform. An entry that may have expired because its heartbeats did
// not arrive counts until 2.2 s after the outage; one that is removed later than 1 s after the outage stops counting at
// once.
func TestRemoved(t *testing.T) {
	tests := []struct {
		name    string
		removed time.Duration // after the platform became reachable
		looked  time.Duration
		want    bool
	}{
		{"found missing at the end of the outage", 0, 1900 * time.Millisecond, true},
		{"still missing after two seconds", 0, 2300 * time.Millisecond, false},
		{"expiry reported shortly after", 500 * time.Millisecond, 1900 * time.Millisecond, true},
		{"expiry reported shortly after, still missing", 500 * time.Millisecond, 2300 * time.Millisecond, false},
		{"removed on purpose later", 1500 * time.Millisecond, 1500 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := clock.NewManual(start)
			table := roster.NewTable(c)
			table.Put("a", endpoint("desk", "10.0.0.1", start), at(7))
			table.MarkUnreachable()
			c.Advance(10 * time.Second)
			is.Equal(len(listed(t, table)), 1) // the last list stays in force while the platform is unreachable
			table.MarkReachable()
			c.Advance(test.removed)
			table.Remove("a", at(8))
			c.Advance(test.looked - test.removed)
			is.Equal(len(listed(t, table)) == 1, test.want)
		})
	}
}

// TestEndpointMissingFromBackupCountsForGracePeriod guards against dropping an endpoint that registered after the backup.
func TestEndpointMissingFromBackupCountsForGracePeriod(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(start)
	table := roster.NewTable(c)
	table.Replace(nil, atEpoch(1, 5))
	table.Put("a", endpoint("desk", "10.0.0.1", start), atEpoch(1, 7))
	table.Put("b", endpoint("desk", "10.0.0.2", start), atEpoch(1, 8))
	c.Advance(time.Minute)
	table.Replace(nil, atEpoch(2, 6))
	is.Equal(len(listed(t, table)), 2)
	c.Advance(time.Second)
	table.Put("a", endpoint("desk", "10.0.0.1", start), atEpoch(2, 7))
	c.Advance(time.Second)
	is.Equal(len(listed(t, table)), 2)
	c.Advance(time.Second)
	is.Equal(listed(t, table), map[string]string{"10.0.0.1": "desk"})
}

// TestReadingAgainDoesNotEndGracePeriod guards against an endpoint that is dropped early at a second reading.
func TestReadingAgainDoesNotEndGracePeriod(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(start)
	table := roster.NewTable(c)
	table.Put("a", endpoint("desk", "10.0.0.1", start), at(7))
	table.MarkUnreachable()
	c.Advance(outage)
	table.MarkReachable()
	table.Replace(nil, at(8))
	c.Advance(1500 * time.Millisecond)
	table.Replace(nil, at(9))
	is.Equal(len(listed(t, table)), 1)
	c.Advance(time.Second)
	is.Equal(len(listed(t, table)), 0)
}

// TestNoChangeIsDueDuringOutage guards against a watch that never sleeps when two outages follow each other closely.
func TestNoChangeIsDueDuringOutage(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(start)
	table := roster.NewTable(c)
	table.Put("a", endpoint("desk", "10.0.0.1", start), at(7))
	table.MarkUnreachable()
	c.Advance(outage)
	table.MarkReachable()
	table.Remove("a", at(8))
	table.MarkUnreachable()
	c.Advance(10 * time.Second)
	_, next, err := table.List()
	is.NoErr(err)
	is.True(next.IsZero())
	table.MarkReachable()
	_, next, err = table.List()
	is.NoErr(err)
	is.True(next.After(c.Now()))
}

func TestRemovedWithoutOutage(t *testing.T) {
	is := is.New(t)
	table := roster.NewTable(clock.NewManual(start))
	table.Put("a", endpoint("desk", "10.0.0.1", start), at(7))
	table.Put("b", endpoint("desk", "10.0.0.2", start), at(7))
	table.Remove("a", at(8))
	is.Equal(listed(t, table), map[string]string{"10.0.0.2": "desk"})
	table.Replace(nil, at(9))
	is.Equal(len(listed(t, table)), 0)
}

func TestVersionsGrow(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(start)
	table := roster.NewTable(c)
	last := uint64(0)
	grows := func() {
		list, _, err := table.List()
		is.NoErr(err)
		is.True(list.Version() > last)
		last = list.Version()
	}
	table.Put("a", endpoint("desk", "10.0.0.1", start), at(7))
	grows()
	table.MarkUnreachable()
	c.Advance(outage)
	table.MarkReachable()
	table.Remove("a", at(8))
	grows()
	c.Advance(3 * time.Second)
	grows() // the expired entry stopped counting without a change at the platform
	table.Put("b", endpoint("desk", "10.0.0.1", start), at(9))
	grows()
}
