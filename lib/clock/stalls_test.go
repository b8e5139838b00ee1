package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/clock"
)

// TestStallDelay guards against a stop that counts its time from when a suspended process learns of it.
func TestStallDelay(t *testing.T) {
	tests := []struct {
		name     string
		advances []time.Duration
		want     time.Duration
	}{
		{"no time", nil, 0},
		{"between two checks", []time.Duration{150 * time.Millisecond}, 0},
		{"right after a stall", []time.Duration{3 * time.Second}, 3 * time.Second},
		{"shortly after a stall", []time.Duration{3 * time.Second, 50 * time.Millisecond}, 3050 * time.Millisecond},
		{"long after a stall", []time.Duration{3 * time.Second, 400 * time.Millisecond}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sinceBoot := time.Hour
			s := clock.NewStalls(t.Context(), clock.NewManual(time.Unix(1_800_000_000, 0)), func() time.Duration { return sinceBoot })
			delay := time.Duration(0)
			for _, a := range test.advances {
				sinceBoot += a
				delay = s.Delay()
			}
			is.Equal(delay, test.want)
		})
	}
}

// TestJumpOfTimeOfDayIsNoStall guards against a stop that is cut short because the time of day has jumped ahead before it.
func TestJumpOfTimeOfDayIsNoStall(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_800_000_000, 0))
	before := clock.SinceBoot()
	s := clock.NewStalls(t.Context(), c, clock.SinceBoot)
	c.Advance(3 * time.Second)
	is.Equal(s.Delay(), time.Duration(0))
	is.True(clock.SinceBoot() >= before)
}
