package limit

import (
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
)

const (
	window           = 100 * time.Millisecond
	minSamples       = 5
	latencyTolerance = 2.0
	backoff          = 0.8
	shedBackoff      = 0.7
	// improvementRatio is the fraction of the earlier latency that a trial must not exceed for the lower limit to be
	// kept.
	improvementRatio = 0.9
	// trialLatencies is the length of a trial, in mean latencies.
	trialLatencies = 2
)

// Limit is the adaptive concurrency limit of one backend server.
type Limit struct {
	clock       clock.Clock
	mu          sync.Mutex
	slots       float64
	current     float64
	baseLatency time.Duration
	routes      map[string]*estimate
	windowStart time.Time
	latencySum  time.Duration
	samples     int
	busy        bool
	shed        bool
	trial       trial
}

// trial is a lowered limit whose effect on the latency is being measured.
type trial struct {
	active        bool
	until         time.Time
	latencyBefore time.Duration
	limitBefore   float64
}

// New returns a limit that starts at the published slots.
func New(c clock.Clock, slots int) *Limit {
	return &Limit{clock: c, slots: float64(slots), current: float64(slots), windowStart: c.Now(), routes: map[string]*estimate{}}
}

// SetSlots sets the published slots, the upper bound of the limit; a higher value raises the limit only step by step.
func (l *Limit) SetSlots(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slots == float64(slots) {
		return
	}
	l.slots = float64(slots)
	l.current = min(l.current, l.slots)
	if l.current < 1 {
		l.current = 1
	}
}

// Current returns the number of requests that may run at once, at least 1.
func (l *Limit) Current() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.current)
}

// Estimate returns the time within which most requests of a route end, downstream calls included, and zero for a
// route without samples. AllRoutes stands for the requests of all routes.
func (l *Limit) Estimate(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.routes[route]
	if !ok {
		return 0
	}
	return e.current(l.clock.Now())
}

// Sample records a finished request of a route: its total time, its self time (without downstream calls), and the
// number of requests in flight when it began, itself included.
func (l *Limit) Sample(route string, total, self time.Duration, inFlight int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range []string{route, AllRoutes} {
		if l.routes[name] == nil {
			l.routes[name] = &estimate{mean: total}
		}
		l.routes[name].sample(total, l.clock.Now())
	}
	l.latencySum += self
	l.samples++
	l.busy = l.busy || float64(inFlight) >= l.current/2
	l.closeWindow()
}

// RecordShed records that the backend server refused a request for load.
func (l *Limit) RecordShed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shed = true
	l.closeWindow()
}

// closeWindow adjusts the limit and starts a new window, once the window has passed and has enough samples or a
// refusal.
func (l *Limit) closeWindow() {
	now := l.clock.Now()
	if now.Sub(l.windowStart) < window || (l.samples < minSamples && !l.shed) {
		return
	}
	mean := time.Duration(0)
	if l.samples > 0 {
		mean = l.latencySum / time.Duration(l.samples)
	}
	l.adjust(mean, now)
	l.windowStart, l.latencySum, l.samples, l.busy, l.shed = now, 0, 0, false, false
}

// adjust moves the limit once, given the mean self time in the window.
func (l *Limit) adjust(mean time.Duration, now time.Time) {
	if mean > 0 && (l.baseLatency == 0 || mean < l.baseLatency) {
		l.baseLatency = mean
	}
	switch {
	case l.shed:
		l.current = max(1, l.current*shedBackoff)
	case l.trial.active && now.Before(l.trial.until):
	case l.trial.active && float64(mean) > improvementRatio*float64(l.trial.latencyBefore):
		// Latency did not fall with the limit: the backend server is slow, not overloaded, and a lower limit would only
		// reduce its throughput.
		l.current, l.baseLatency, l.trial = l.trial.limitBefore, mean, trial{}
	case l.busy && float64(mean) > latencyTolerance*float64(l.baseLatency):
		l.trial = trial{active: true, until: now.Add(trialLatencies * mean), latencyBefore: mean, limitBefore: l.current}
		l.current = max(1, l.current*backoff)
	default:
		l.trial = trial{}
		l.current = min(l.slots, l.current+max(1, l.slots/20))
	}
}
