package takes

import (
	"math"
	"time"

	"tamarackrudder.org/lib/clock"
)

const (
	// levels is the number of ranges of concurrency that are distinguished, up to the slots.
	levels = 16
	// maxWeight is the number of samples that a range remembers; newer ones displace older ones.
	maxWeight = 32.0
	// memory is the half-life of the samples of a range that gets no new ones.
	memory = 5 * time.Second
	// minSlower is the ratio of run times from which a concurrency counts as too high.
	minSlower = 1.2
	// minDeviations is the difference of the means, in its standard errors, that is not put down to chance.
	minDeviations = 4.0
	// minWeight is the number of samples that each side of a comparison needs.
	minWeight = 8.0
)

// sums are decayed sums of run times relative to the usual ones.
type sums struct {
	weight  float64
	total   float64
	squares float64
}

func (s sums) plus(other sums) sums {
	return sums{weight: s.weight + other.weight, total: s.total + other.total, squares: s.squares + other.squares}
}

func (s sums) times(factor float64) sums {
	return sums{weight: factor * s.weight, total: factor * s.total, squares: factor * s.squares}
}

func (s sums) minus(other sums) sums {
	return sums{weight: s.weight - other.weight, total: s.total - other.total, squares: s.squares - other.squares}
}

func (s sums) mean() float64 { return s.total / s.weight }

// variance returns the variance of the mean.
func (s sums) variance() float64 {
	return max(0, s.squares/s.weight-s.mean()*s.mean()) / s.weight
}

// curve holds the run times by the concurrency at which they began, as a fraction of the slots.
type curve struct {
	ranges  [levels]sums
	fadedAt time.Time
}

func (c *curve) add(fraction, relative float64) {
	i := min(levels-1, int(fraction*levels))
	r := c.ranges[i]
	if r.weight > maxWeight-1 {
		r = r.times((maxWeight - 1) / r.weight)
	}
	c.ranges[i] = r.plus(sums{weight: 1, total: relative, squares: relative * relative})
}

func (c *curve) fade(now time.Time) {
	factor := clock.Decay(now.Sub(c.fadedAt), memory)
	for i, r := range c.ranges {
		c.ranges[i] = r.times(factor)
	}
	c.fadedAt = now
}

// bend returns the fraction of the slots above which run times are longer than below, 1 if there is none. Among several
// it is the one where the difference is clearest.
func (c *curve) bend() float64 {
	var all, below sums
	for _, r := range c.ranges {
		all = all.plus(r)
	}
	bend, clearest := 1.0, minDeviations
	for i, r := range c.ranges[:levels-1] {
		below = below.plus(r)
		above := all.minus(below)
		if below.weight < minWeight || above.weight < minWeight || above.mean() < minSlower*below.mean() {
			continue
		}
		deviations := (above.mean() - below.mean()) / math.Sqrt(max(1e-9, above.variance()+below.variance()))
		if deviations > clearest {
			bend, clearest = float64(i+1)/levels, deviations
		}
	}
	return bend
}
