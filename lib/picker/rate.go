package picker

import (
	"time"

	"tamarackrudder.org/lib/clock"
)

// decayingRate is an exponentially weighted rate of events among the last answers; without new samples it decays by a
// half-life.
type decayingRate struct {
	value     float64
	updatedAt time.Time
}

// current returns the rate, decayed by the time since the last sample.
func (f *decayingRate) current(now time.Time, halfLife time.Duration) float64 {
	if f.value == 0 {
		return 0
	}
	return f.value * clock.Decay(now.Sub(f.updatedAt), halfLife)
}

// sample moves the rate towards the target, 1 for an answer with the event and 0 for one without.
func (f *decayingRate) sample(target, weight float64, halfLife time.Duration, now time.Time) {
	current := f.current(now, halfLife)
	f.value, f.updatedAt = current+weight*(target-current), now
}
