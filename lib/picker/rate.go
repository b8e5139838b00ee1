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
func (r *decayingRate) current(now time.Time, halfLife time.Duration) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * clock.Decay(now.Sub(r.updatedAt), halfLife)
}

// sample moves the rate towards the target, 1 for an answer with the event and 0 for one without.
func (r *decayingRate) sample(target, weight float64, halfLife time.Duration, now time.Time) {
	current := r.current(now, halfLife)
	r.value, r.updatedAt = current+weight*(target-current), now
}
