package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/limit"
)

const slots = 20

// feed samples 100 requests per second, each with the latency that the backend server has at the current limit.
func feed(c *clock.Manual, l *limit.Limit, seconds int, latency func(inFlight int) time.Duration) {
	for range seconds * 100 {
		c.Advance(10 * time.Millisecond)
		d := latency(l.Current())
		l.Sample("GET /x", d, d, l.Current())
	}
}

func TestLimit(t *testing.T) {
	const calm = 10 * time.Millisecond
	tests := []struct {
		name    string
		latency func(inFlight int) time.Duration
		least   int
		most    int
	}{
		{"calm", func(int) time.Duration { return calm }, slots, slots},
		{"slow at any number", func(int) time.Duration { return 5 * calm }, slots * 3 / 4, slots},
		{"crowded above a quarter of the slots", func(n int) time.Duration {
			if n > slots/4 {
				return 10 * calm
			}
			return calm
		}, 1, slots},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := clock.NewManual(time.Unix(1_800_000_000, 0))
			l := limit.New(c, slots)
			feed(c, l, 2, func(int) time.Duration { return calm })
			feed(c, l, 20, test.latency)
			is.True(l.Current() >= test.least)
			is.True(l.Current() <= test.most)
		})
	}
}

// TestEstimateDecays guards against an estimate that causes all requests to be refused: it gets no samples, so
// it must decay by itself.
func TestEstimateDecays(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_800_000_000, 0))
	l := limit.New(c, slots)
	feed(c, l, 2, func(int) time.Duration { return 2 * time.Second })
	is.True(l.Estimate("GET /x") > time.Second)
	l.Sample("GET /short", time.Millisecond, time.Millisecond, 1)
	is.True(l.Estimate("GET /short") < 10*time.Millisecond) // each route has its own estimate
	c.Advance(3 * time.Second)
	is.True(l.Estimate(limit.AllRoutes) < 500*time.Millisecond)
}

// TestLimitFollowsRefusalsAndLatency checks that refusals lower the limit, that low latency raises it to the slots again, and
// that fewer slots lower it at once.
func TestLimitFollowsRefusalsAndLatency(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_800_000_000, 0))
	l := limit.New(c, slots)
	for range 5 {
		c.Advance(200 * time.Millisecond)
		l.RecordShed()
	}
	is.True(l.Current() < slots/2)
	feed(c, l, 10, func(int) time.Duration { return time.Millisecond })
	is.Equal(l.Current(), slots)
	l.SetSlots(5)
	is.Equal(l.Current(), 5)
}
