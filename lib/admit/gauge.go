package admit

import (
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
)

const (
	tick = 100 * time.Millisecond
	// maxCatchUpTicks bounds the ticks that one update makes up for.
	maxCatchUpTicks = 5
	// delayHigh is the queueing delay of a new request above which the level falls; below delayLow the level rises.
	delayHigh = 30 * time.Millisecond
	delayLow  = 15 * time.Millisecond
	// highUtilization is the fraction of the concurrency limit in use from which the level rises only slowly.
	highUtilization = 0.9
	// dropPerDelaySecond is the drop of the level per tick for each second of queueing delay above delayHigh.
	dropPerDelaySecond = 0.5
	minDrop            = 0.01
	maxDrop            = 0.15
	normalRise         = 0.04
	// idleRise applies while less than idleUtilization of the concurrency limit is in use.
	idleRise        = 0.1
	idleUtilization = 0.5
	slowRise        = 0.01
	// acceptedRise is the rise per tick of the accepted fraction, so that requests are not admitted again all at once.
	acceptedRise = 0.1
	minLevel     = 0.02
	maxLevel     = 1.0
	// sendHalfLife is the half-life of the counts of sent and of rejected requests.
	sendHalfLife = 150 * time.Millisecond
	// assumedSends is a number of accepted requests that is added to the counts, so that a few rejections among few requests
	// change little.
	assumedSends = 4.0
)

// Gauge derives the admit level of one backend server from its queueing delay and utilization, and beside it, the fraction of
// the requests sent to the server that it accepts. The latter shows a server that rejects requests although its queue is short
// and many of its slots are free.
type Gauge struct {
	clock          clock.Clock
	mu             sync.Mutex
	level          float64
	tickStart      time.Time
	accumulatedAt  time.Time
	utilizationSum float64 // integral over time since tickStart, in seconds
	delaySum       float64 // integral over the same time
	current        load
	accepted       float64 // fraction of the requests sent, falls at once and rises slowly
	sent           float64 // decayed count of the requests sent to the backend server
	rejected       float64 // decayed count of those that it rejected
	decayedAt      time.Time
}

// load is the fraction of the concurrency limit in use and the queueing delay of a new request in seconds.
type load struct {
	utilization float64
	delay       float64
}

// NewGauge returns a gauge whose level starts at 1.
func NewGauge(c clock.Clock) *Gauge {
	return &Gauge{
		clock: c, level: maxLevel, accepted: maxLevel, tickStart: c.Now(), accumulatedAt: c.Now(),
		decayedAt: c.Now(),
	}
}

// RecordSend records that a request was sent to the backend server, and whether it rejected it without running it.
func (g *Gauge) RecordSend(rejected bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decaySends()
	g.sent++
	if rejected {
		g.rejected++
	}
}

func (g *Gauge) decaySends() {
	now := g.clock.Now()
	decay := clock.Decay(now.Sub(g.decayedAt), sendHalfLife)
	g.sent *= decay
	g.rejected *= decay
	g.decayedAt = now
}

// acceptedFraction returns the fraction of the requests lately sent that the backend server did not reject, 0 to 1.
func (g *Gauge) acceptedFraction() float64 {
	g.decaySends()
	return 1 - g.rejected/(g.sent+assumedSends)
}

// Observe records the numbers of running and waiting requests, the concurrency limit, and the mean run time of a
// request.
func (g *Gauge) Observe(running, waiting, limit int, runTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.accumulate()
	slots := float64(max(1, limit))
	g.current = load{utilization: float64(running) / slots, delay: runTime.Seconds() * float64(waiting) / slots}
	g.updateLevel()
}

// Level returns the fraction of the offered load for which the backend server has room, 0 to 1.
func (g *Gauge) Level() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.accumulate()
	g.updateLevel()
	return g.level
}

// Accepted returns the fraction of the requests sent to the backend server that it accepts, 0 to 1.
func (g *Gauge) Accepted() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.accumulate()
	g.updateLevel()
	g.accepted = min(g.accepted, g.acceptedFraction())
	return g.accepted
}

// accumulate adds the load since the last call to the sums of the current tick.
func (g *Gauge) accumulate() {
	now := g.clock.Now()
	passed := now.Sub(g.accumulatedAt).Seconds()
	g.utilizationSum += passed * g.current.utilization
	g.delaySum += passed * g.current.delay
	g.accumulatedAt = now
}

// updateLevel moves the level by the mean load, once per tick that has passed, at most maxCatchUpTicks times.
func (g *Gauge) updateLevel() {
	passed := g.accumulatedAt.Sub(g.tickStart)
	if passed < tick {
		return
	}
	mean := load{utilization: g.utilizationSum / passed.Seconds(), delay: g.delaySum / passed.Seconds()}
	for range min(maxCatchUpTicks, passed/tick) {
		g.accepted = min(g.acceptedFraction(), g.accepted+acceptedRise)
		g.level = min(maxLevel, max(minLevel, g.level+mean.levelChange()))
	}
	g.tickStart, g.utilizationSum, g.delaySum = g.accumulatedAt, 0, 0
}

// levelChange returns the change of the level in one tick under this load.
func (l load) levelChange() float64 {
	over := l.delay - delayHigh.Seconds()
	switch {
	case over > 0:
		return -min(maxDrop, minDrop+dropPerDelaySecond*over)
	case l.delay > delayLow.Seconds():
		return 0
	case l.utilization < idleUtilization:
		return idleRise
	case l.utilization < highUtilization:
		return normalRise
	}
	return slowRise
}
