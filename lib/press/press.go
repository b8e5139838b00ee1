package press

import (
	"math"
	"sync"
	"time"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/clock"
)

const (
	tick = 100 * time.Millisecond
	// maxCatchUpTicks bounds the ticks that one update makes up for on flows with few requests.
	maxCatchUpTicks = 3
	headroom        = 1.05
	growth          = 1.5
	growthStep      = 0.05
	// busyGrowth replaces growth while a service that the flow reaches reports that requests of the flow's class or of
	// higher ones wait there.
	busyGrowth     = 1.02
	maxProbability = 1.0
	// heldBackProbability applies while a service holds the class back: its back-pressure signals, not probes, show
	// when that ends.
	heldBackProbability = 0.002
	minProbability      = 0.02
	// Counts decay with a time constant that spans about decaySamples requests, within bounds, so that busy flows
	// react sooner.
	decaySamples = 40.0
	minDecayTime = 150 * time.Millisecond
	maxDecayTime = 400 * time.Millisecond
	// negligibleRefusals is the decayed count below which refusals no longer lower a flow's admission probability.
	negligibleRefusals = 0.3
	// probesPerSecond is the rate of requests that a refused flow still sends, as nothing else shows that the services
	// have recovered.
	probesPerSecond = 2.0
	// signalMaxAge is how long a back-pressure signal of a service stays valid.
	signalMaxAge      = 500 * time.Millisecond
	signalSmoothing   = 0.2
	heldBackThreshold = 0.5
	busyThreshold     = 0.5
)

// Flow identifies the requests of one route and class.
type Flow struct {
	route string
	class string
}

// NewFlow returns the flow of a route and a class, both by name.
func NewFlow(route, class string) Flow { return Flow{route: route, class: class} }

// flow holds the admission probability of one route and class and the counts that it follows; the counts decay
// exponentially.
type flow struct {
	probability float64
	tickStart   time.Time
	decayTime   time.Duration
	offered     float64
	accepted    float64
	refused     float64
	services    map[string]struct{}
}

// decay ages the counts by the time passed and adapts the time constant to the request rate.
func (f *flow) decay(passed time.Duration) {
	rate := f.offered / f.decayTime.Seconds()
	kept := math.Exp(-float64(passed) / float64(f.decayTime))
	f.offered *= kept
	f.accepted *= kept
	f.refused *= kept
	span := time.Duration(decaySamples / max(1, rate) * float64(time.Second))
	f.decayTime = min(maxDecayTime, max(minDecayTime, span))
}

// classState holds two smoothed signals, 0 to 1: whether the service holds the class back, and whether requests of
// the class or of higher ones wait there.
type classState struct {
	heldBack  float64
	busy      float64
	updatedAt time.Time
}

type serviceClass struct {
	service string
	class   string
}

// Table holds the admission probability of each flow and the back-pressure signals of the services.
type Table struct {
	clock      clock.Clock
	random     func() float64
	mu         sync.Mutex
	flows      map[Flow]*flow
	states     map[serviceClass]*classState
	reportedAt map[string]time.Time
}

// NewTable returns a table that admits everything; random returns numbers from 0 to below 1.
func NewTable(c clock.Clock, random func() float64) *Table {
	return &Table{
		clock: c, random: random, flows: map[Flow]*flow{},
		states: map[serviceClass]*classState{}, reportedAt: map[string]time.Time{},
	}
}

// Admit counts an offered request of the flow and reports whether it may be sent.
func (t *Table) Admit(name Flow) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.currentFlow(name)
	f.offered++
	return f.probability >= maxProbability || t.random() < f.probability
}

// Ended records the end of an admitted request. shed is set if a service refused it, or one of its downstream calls,
// for load; signals are the back-pressure signals that its answers carried.
func (t *Table) Ended(name Flow, shed bool, signals []call.Backpressure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.currentFlow(name)
	for _, p := range signals {
		f.services[p.Service()] = struct{}{}
	}
	t.recordSignals(signals)
	if shed {
		f.refused++
		return
	}
	f.accepted++
}

// recordSignals updates the class states from the signals of one answer. A service that is mentioned in them admits
// every class that no signal marks as held back.
func (t *Table) recordSignals(signals []call.Backpressure) {
	now := t.clock.Now()
	heldBack := map[serviceClass]bool{}
	for _, p := range signals {
		t.reportedAt[p.Service()] = now
		sc := serviceClass{service: p.Service(), class: p.Class()}
		l := t.states[sc]
		if l == nil {
			l = &classState{}
			t.states[sc] = l
		}
		if p.Admits() {
			l.busy += signalSmoothing * (indicator(p.Busy()) - l.busy)
		} else {
			heldBack[sc] = true
		}
	}
	for sc, l := range t.states {
		if !t.reportedAt[sc.service].Equal(now) {
			continue
		}
		l.heldBack += signalSmoothing * (indicator(heldBack[sc]) - l.heldBack)
		l.updatedAt = now
	}
}

func indicator(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// isHeldBack reports whether a service that the flow reaches holds the flow's class back.
func (t *Table) isHeldBack(name Flow, f *flow, now time.Time) bool {
	return t.anyServiceMatches(name, f, now, func(l *classState) bool { return l.heldBack > heldBackThreshold })
}

// isBusy reports whether requests of the flow's class or of higher ones wait at a service that the flow reaches.
func (t *Table) isBusy(name Flow, f *flow, now time.Time) bool {
	return t.anyServiceMatches(name, f, now, func(l *classState) bool { return l.busy > busyThreshold })
}

// anyServiceMatches reports whether a service that the flow reaches has a valid class state that matches.
func (t *Table) anyServiceMatches(name Flow, f *flow, now time.Time, matches func(*classState) bool) bool {
	for service := range f.services {
		l := t.states[serviceClass{service: service, class: name.class}]
		if l != nil && matches(l) && now.Sub(l.updatedAt) < signalMaxAge {
			return true
		}
	}
	return false
}

// AdmissionProbability returns the admission probability of the flow, 0 to 1, and 1 for a new one.
func (t *Table) AdmissionProbability(name Flow) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.currentFlow(name).probability
}

// currentFlow returns the flow, added if it is new, with probability and counts updated for the ticks that have
// passed.
func (t *Table) currentFlow(name Flow) *flow {
	now := t.clock.Now()
	f, ok := t.flows[name]
	if !ok {
		f = &flow{probability: maxProbability, tickStart: now, decayTime: maxDecayTime, services: map[string]struct{}{}}
		t.flows[name] = f
	}
	if passed := now.Sub(f.tickStart); passed >= tick {
		for range min(maxCatchUpTicks, passed/tick) {
			f.probability = t.nextProbability(name, f, now)
		}
		f.decay(passed)
		f.tickStart = now
	}
	return f
}

// nextProbability returns the admission probability after one more tick.
func (t *Table) nextProbability(name Flow, f *flow, now time.Time) float64 {
	switch {
	case t.isHeldBack(name, f, now):
		return heldBackProbability
	case f.refused < negligibleRefusals && t.isBusy(name, f, now):
		return min(maxProbability, f.probability*busyGrowth)
	case f.refused < negligibleRefusals:
		return min(maxProbability, f.probability*growth+growthStep)
	}
	target := headroom * f.accepted / max(1, f.offered)
	probe := probesPerSecond * f.decayTime.Seconds() / max(1, f.offered)
	return min(maxProbability, max(minProbability, probe, target))
}
