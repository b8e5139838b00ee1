package picker

import (
	"time"

	"tamarackrudder.org/lib/clock"
)

// fading is a smoothed share of the last answers that is forgotten while none come.
type fading struct {
	share float64
	at    time.Time
}

// now returns the share as it counts at a time.
func (f *fading) now(now time.Time, halfLife time.Duration) float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * clock.Fade(now.Sub(f.at), halfLife)
}

// sample moves the share towards a new answer's, 0 or 1.
func (f *fading) sample(goal, weight float64, halfLife time.Duration, now time.Time) {
	known := f.now(now, halfLife)
	f.share, f.at = known+weight*(goal-known), now
}
