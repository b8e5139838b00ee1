package clock

import (
	"math"
	"time"
)

// Decay returns the fraction, 0 to 1, that remains of a value at an age, given its half-life; 1 for a negative age.
func Decay(age, halfLife time.Duration) float64 {
	return min(1, math.Exp2(-float64(age)/float64(halfLife)))
}
