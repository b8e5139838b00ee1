package clock

import (
	"math"
	"time"
)

// Fade returns the part, 0 to 1, that is left of a value after an age, given its half-life.
func Fade(age, halfLife time.Duration) float64 {
	return min(1, math.Exp2(-float64(age)/float64(halfLife)))
}
