package admit_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/admit"
	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/clock"
)

var start = time.Unix(1_800_000_000, 0)

// admitted offers 1000 requests of the route within one second and returns the admitted fraction.
func admitted(c *clock.Manual, g *admit.Gate, route string, rank admit.Rank) float64 {
	const requests = 1000
	in := 0
	for range requests {
		c.Advance(time.Millisecond)
		if g.Admit(route, rank).Admitted() {
			in++
		}
	}
	return float64(in) / requests
}

// TestAdmittedFractionFollowsLevel checks the admitted fraction of each class at several admit levels of one service.
func TestAdmittedFractionFollowsLevel(t *testing.T) {
	const only, lower, higher = "only", "lower", "higher"
	ranks := map[string]admit.Rank{only: admit.NewRank(0, 1), higher: admit.NewRank(0, 2), lower: admit.NewRank(1, 2)}
	tests := []struct {
		name  string
		rank  string
		level float64
		want  float64
	}{
		{"room for all", only, 1, 1},
		{"nearly room for all", only, 0.999, 0.999},
		{"room for nine in ten", only, 0.9, 0.9},
		{"room for six in ten", only, 0.6, 0.6},
		{"room for three in ten", only, 0.3, 0.3},
		{"lower class gives way", lower, 0.65, 0.5},
		{"higher class does not", higher, 0.65, 1},
		{"higher class gives way when the lower has", higher, 0.15, 0.5},
		{"some are always admitted", lower, 0.02, 0.08},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := clock.NewManual(start)
			g := admit.NewGate(c)
			for range 50 {
				g.RecordDemands("r", []call.Demand{call.NewDemand("desk", 10*time.Millisecond, test.level)})
			}
			fraction := admitted(c, g, "r", ranks[test.rank])
			t.Logf("admitted %.3f", fraction)
			is.True(math.Abs(fraction-test.want) < 0.02)
		})
	}
}

// TestCostlyRoutesAreShedMore checks that, of two routes of one class, the one that costs the scarce service three times as
// much is shed more, but does not starve.
func TestCostlyRoutesAreShedMore(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(start)
	g := admit.NewGate(c)
	rank := admit.NewRank(0, 1)
	for range 50 {
		g.RecordDemands("cheap", []call.Demand{call.NewDemand("desk", 10*time.Millisecond, 0.5)})
		g.RecordDemands("dear", []call.Demand{call.NewDemand("desk", 30*time.Millisecond, 0.5)})
		g.RecordDemands("other", []call.Demand{call.NewDemand("shop", 30*time.Millisecond, 1)})
	}
	in := map[string]int{}
	for range 1000 {
		for _, route := range []string{"cheap", "dear", "other"} {
			if g.Admit(route, rank).Admitted() {
				in[route]++
			}
		}
	}
	is.True(in["cheap"] > 2*in["dear"]*9/10)
	is.True(in["dear"] > 200)
	is.Equal(in["other"], 1000) // a route that does not use the scarce service is admitted in full
}

// TestLevel checks the level under constant loads of one backend server, and that it recovers after each.
func TestLevel(t *testing.T) {
	tests := []struct {
		name    string
		running int
		waiting int
		low     float64
		high    float64
	}{
		{"idle", 3, 0, 1, 1},
		{"busy without a queue", 20, 0, 1, 1},
		{"a few short waits", 20, 5, 1, 1},
		{"a queue that lasts", 20, 200, 0, 0.1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := clock.NewManual(start)
			g := admit.NewGauge(c)
			for range 200 {
				c.Advance(10 * time.Millisecond)
				g.Observe(test.running, test.waiting, 20, 15*time.Millisecond)
			}
			is.True(g.Level() >= test.low)
			is.True(g.Level() <= test.high)
			for range 200 {
				c.Advance(10 * time.Millisecond)
				g.Observe(1, 0, 20, 15*time.Millisecond)
			}
			is.Equal(g.Level(), 1.0) // recovers within two seconds
		})
	}
}
