package fanout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/fanout"
)

// run is a running request with its remaining work and calls.
type run struct {
	run     *fanout.Run
	work    time.Duration
	calls   int
	calling time.Duration
}

// load is the rate of requests per second by route, and the number of calls that the called service runs at once.
type load struct {
	plain float64
	deep  float64
	slots int
}

// simulate simulates requests of two routes that arrive at random: "deep" makes four calls one after another, "plain"
// makes none. Calls wait while the called service has no free slot.
func simulate(c *clock.Manual, table *fanout.Table, seconds int, l load) {
	random := rand.New(rand.NewPCG(7, 7))
	const step = time.Millisecond
	const callTime = 12 * step
	var open []*run
	for range seconds * 1000 {
		c.Advance(step)
		if random.Float64() < l.plain/1000 {
			open = append(open, &run{run: table.Started("plain"), work: time.Duration(100+random.IntN(100)) * step})
		}
		if random.Float64() < l.deep/1000 {
			open = append(open, &run{run: table.Started("deep"), work: 15 * step, calls: 4})
		}
		busy := 0
		for _, r := range open {
			if r.calling > 0 {
				busy++
			}
		}
		left := open[:0]
		for _, r := range open {
			switch {
			case r.calling > 0:
				r.calling -= step
			case r.work > 0:
				r.work -= step
				if r.work == 0 && r.calls > 0 {
					table.Called("scale")
				}
			case r.calls > 0 && busy < l.slots:
				busy++
				r.calling = callTime
				r.calls--
				if r.calls > 0 {
					r.work = step
				}
			}
			if r.calling <= 0 && r.work <= 0 && r.calls == 0 {
				table.Ended(r.run)
				continue
			}
			left = append(left, r)
		}
		open = left
	}
}

// count returns the estimated calls of the route, zero if there are none.
func count(calls []fanout.Call, route string) float64 {
	for _, c := range calls {
		if c.Route() == route {
			return c.Count()
		}
	}
	return 0
}

// TestCallsAreAttributed keeps requests of both routes running at all times, so that each call could belong to either.
func TestCallsAreAttributed(t *testing.T) {
	tests := []struct {
		name string
		load load
	}{
		{"called service has room", load{plain: 90, deep: 450, slots: 1000}},
		{"called service is full", load{plain: 90, deep: 450, slots: 21}},
		{"called service has too little room", load{plain: 90, deep: 450, slots: 20}},
		{"few requests", load{plain: 10, deep: 30, slots: 1000}},
		{"as many of both", load{plain: 200, deep: 200, slots: 1000}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := clock.NewManual(time.Unix(1_800_000_000, 0))
			table := fanout.NewTable(c)
			simulate(c, table, 8, test.load)
			deep, plain := count(table.Calls("deep"), "scale"), count(table.Calls("plain"), "scale")
			t.Logf("deep %.2f, plain %.2f", deep, plain)
			is.True(deep > 3 && deep < 5)
			is.True(plain < 0.6)
		})
	}
}

// TestNoRouteCallsItself has a service run both a route and the route that calls it, so that the two always run
// together.
func TestNoRouteCallsItself(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_800_000_000, 0))
	table := fanout.NewTable(c)
	random := rand.New(rand.NewPCG(3, 3))
	for range 2000 {
		c.Advance(5 * time.Millisecond)
		if random.Float64() < 0.3 {
			outer, inner := table.Started("outer"), table.Started("inner")
			table.Called("inner")
			c.Advance(10 * time.Millisecond)
			table.Ended(inner)
			table.Ended(outer)
		}
	}
	is.Equal(count(table.Calls("inner"), "inner"), 0.0)
	outer := count(table.Calls("outer"), "inner")
	is.True(outer > 0.8 && outer < 1.2)
}

// TestRareRoutesGetNoEstimate has one request and one call in 250 be of rare routes: too few for an estimate, as
// sources or as targets.
func TestRareRoutesGetNoEstimate(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_800_000_000, 0))
	table := fanout.NewTable(c)
	for i := range 2000 {
		c.Advance(5 * time.Millisecond)
		run := table.Started("usual")
		table.Called("scale")
		c.Advance(5 * time.Millisecond)
		if i%250 == 0 {
			rare := table.Started("rare")
			table.Called("probe")
			c.Advance(5 * time.Millisecond)
			table.Ended(rare)
		}
		table.Ended(run)
	}
	is.Equal(len(table.Calls("rare")), 0)
	is.Equal(count(table.Calls("usual"), "probe"), 0.0)
	is.True(count(table.Calls("usual"), "scale") > 0.9)
}
