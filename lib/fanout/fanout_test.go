package fanout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/fanout"
)

// run is a request that is open: when it makes its calls and when it ends.
type run struct {
	route string
	calls []time.Duration
	end   time.Duration
}

// play lets requests of two routes come at random, of which one makes four calls and the other none.
func play(c *clock.Manual, table *fanout.Table, seconds int, perSecond map[string]float64) {
	random := rand.New(rand.NewPCG(7, 7))
	const step = time.Millisecond
	var open []run
	for range seconds * 1000 {
		c.Advance(step)
		for _, route := range []string{"plain", "deep"} {
			if random.Float64() > perSecond[route]/1000 {
				continue
			}
			table.Started(route)
			r := run{route: route, end: time.Duration(100+random.IntN(100)) * step}
			if route == "deep" {
				for i := range 4 {
					r.calls = append(r.calls, time.Duration(15+20*i)*step)
				}
				r.end = 100 * step
			}
			open = append(open, r)
		}
		left := open[:0]
		for _, r := range open {
			r.end -= step
			for i := range r.calls {
				r.calls[i] -= step
				if r.calls[i] == 0 {
					table.Called("scale")
				}
			}
			if r.end <= 0 {
				table.Ended(r.route)
				continue
			}
			left = append(left, r)
		}
		open = left
	}
}

func count(calls []fanout.Call, route string) float64 {
	for _, c := range calls {
		if c.Route() == route {
			return c.Count()
		}
	}
	return 0
}

// TestCallsAreAttributed has both routes open all the time, as on a busy day.
func TestCallsAreAttributed(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_800_000_000, 0))
	table := fanout.NewTable(c)
	play(c, table, 10, map[string]float64{"plain": 90, "deep": 450})
	deep, plain := count(table.Calls("deep"), "scale"), count(table.Calls("plain"), "scale")
	t.Logf("deep %.2f, plain %.2f", deep, plain)
	is.True(deep > 3 && deep < 5)
	is.True(plain < 1.5)
}
