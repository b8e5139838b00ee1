package admit

import (
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
)

const (
	tick = 100 * time.Millisecond
	// mostTicks bounds the moves that are made up for at once.
	mostTicks = 5
	// delayHigh is the wait of a new request from which the level falls, and delayLow that below which it rises.
	delayHigh = 30 * time.Millisecond
	delayLow  = 15 * time.Millisecond
	// busyHigh is the share of the limit that runs from which the level rises slowly.
	busyHigh = 0.9
	// fallGain is by how much the level falls in a tick for each second of wait above the bound.
	fallGain    = 0.5
	slowestFall = 0.01
	fastestFall = 0.15
	rise        = 0.04
	// idleRise is for a backend server of whose limit less than idleLow runs.
	idleRise    = 0.1
	idleLow     = 0.5
	slowRise    = 0.01
	lowestLevel = 0.02
	fullLevel   = 1.0
)

// Gauge follows the load of one backend server.
type Gauge struct {
	clock   clock.Clock
	mu      sync.Mutex
	level   float64
	opened  time.Time
	since   time.Time
	running float64 // summed over time since opened, in seconds
	delay   float64 // the same
	now     load
}

// load is the share of the limit that runs, and how long a new request waits, in seconds.
type load struct {
	running float64
	delay   float64
}

// NewGauge returns a gauge that lets everything through.
func NewGauge(c clock.Clock) *Gauge {
	return &Gauge{clock: c, level: fullLevel, opened: c.Now(), since: c.Now()}
}

// Observe takes in how many requests run and wait, how many may run, and how long one runs.
func (g *Gauge) Observe(running, waiting, limit int, runs time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account()
	room := float64(max(1, limit))
	g.now = load{running: float64(running) / room, delay: runs.Seconds() * float64(waiting) / room}
	g.roll()
}

// Level returns the share for which there is room, 0 to 1.
func (g *Gauge) Level() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account()
	g.roll()
	return g.level
}

func (g *Gauge) account() {
	now := g.clock.Now()
	passed := now.Sub(g.since).Seconds()
	g.running += passed * g.now.running
	g.delay += passed * g.now.delay
	g.since = now
}

// roll moves the level once for each tick that has passed.
func (g *Gauge) roll() {
	passed := g.since.Sub(g.opened)
	if passed < tick {
		return
	}
	mean := load{running: g.running / passed.Seconds(), delay: g.delay / passed.Seconds()}
	for range min(mostTicks, passed/tick) {
		g.level = min(fullLevel, max(lowestLevel, g.level+mean.move()))
	}
	g.opened, g.running, g.delay = g.since, 0, 0
}

// move returns by how much the level moves in one tick.
func (l load) move() float64 {
	over := l.delay - delayHigh.Seconds()
	switch {
	case over > 0:
		return -min(fastestFall, slowestFall+fallGain*over)
	case l.delay > delayLow.Seconds():
		return 0
	case l.running < idleLow:
		return idleRise
	case l.running < busyHigh:
		return rise
	}
	return slowRise
}
