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
	// waitingHigh is the share of the limit that may wait before the level falls, and busyHigh the share that runs below
	// which it rises.
	waitingHigh = 0.08
	busyHigh    = 0.92
	fallGain    = 0.25
	fastestFall = 0.08
	rise        = 0.02
	slowRise    = 0.004
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
	waiting float64
	now     load
}

type load struct {
	running float64
	waiting float64
}

// NewGauge returns a gauge that lets everything through.
func NewGauge(c clock.Clock) *Gauge {
	return &Gauge{clock: c, level: fullLevel, opened: c.Now(), since: c.Now()}
}

// Observe takes in how many requests run and wait, and how many may run.
func (g *Gauge) Observe(running, waiting, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account()
	room := float64(max(1, limit))
	g.now = load{running: float64(running) / room, waiting: float64(waiting) / room}
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
	g.waiting += passed * g.now.waiting
	g.since = now
}

// roll moves the level once for each tick that has passed.
func (g *Gauge) roll() {
	passed := g.since.Sub(g.opened)
	if passed < tick {
		return
	}
	mean := load{running: g.running / passed.Seconds(), waiting: g.waiting / passed.Seconds()}
	for range min(mostTicks, passed/tick) {
		g.level = min(fullLevel, max(lowestLevel, g.level+mean.move()))
	}
	g.opened, g.running, g.waiting = g.since, 0, 0
}

// move returns by how much the level moves in one tick.
func (l load) move() float64 {
	switch {
	case l.waiting > waitingHigh:
		return -min(fastestFall, fallGain*l.waiting)
	case l.running < busyHigh && l.waiting < waitingHigh/2:
		return rise
	}
	return slowRise
}
