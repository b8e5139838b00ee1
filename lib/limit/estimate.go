package limit

import (
	"time"

	"tamarackrudder.org/lib/clock"
)

// AllRoutes names the estimate over the requests of all routes.
const AllRoutes = ""

const (
	estimateWeight = 0.1
	deviations     = 2
	// estimateLife is the half-life of an estimate without samples; else one that keeps all requests away would last.
	estimateLife = 500 * time.Millisecond
)

// estimate is the smoothed time of a route's requests with its smoothed deviation (Jacobson, "Congestion Avoidance and
// Control", 1988).
type estimate struct {
	mean    time.Duration
	spread  time.Duration
	sampled time.Time
}

func (e *estimate) sample(whole time.Duration, now time.Time) {
	off := whole - e.mean
	e.mean += time.Duration(estimateWeight * float64(off))
	e.spread += time.Duration(estimateWeight * float64(off.Abs()-e.spread))
	e.sampled = now
}

// now returns the estimate, faded by the time since its last sample.
func (e *estimate) now(now time.Time) time.Duration {
	return time.Duration(float64(e.mean+deviations*e.spread) * clock.Fade(now.Sub(e.sampled), estimateLife))
}
