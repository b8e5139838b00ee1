package limit

import (
	"time"

	"tamarackrudder.org/lib/clock"
)

// AllRoutes names the estimate over the requests of all routes.
const AllRoutes = ""

const (
	estimateSmoothing = 0.1
	deviations        = 2
	// estimateHalfLife is the half-life of an estimate without samples. Without decay, an estimate so high that all
	// requests are refused would never get a sample that lowers it.
	estimateHalfLife = 500 * time.Millisecond
)

// estimate is the smoothed duration of a route's requests with its smoothed mean deviation (Jacobson, "Congestion
// Avoidance and Control", 1988).
type estimate struct {
	mean      time.Duration
	deviation time.Duration
	sampledAt time.Time
}

func (e *estimate) sample(duration time.Duration, now time.Time) {
	difference := duration - e.mean
	e.mean += time.Duration(estimateSmoothing * float64(difference))
	e.deviation += time.Duration(estimateSmoothing * float64(difference.Abs()-e.deviation))
	e.sampledAt = now
}

// current returns the mean plus the weighted deviation, decayed by the time since the last sample.
func (e *estimate) current(now time.Time) time.Duration {
	return time.Duration(float64(e.mean+deviations*e.deviation) * clock.Decay(now.Sub(e.sampledAt), estimateHalfLife))
}
