package takes

import (
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
)

const (
	// window is the time between two estimates.
	window = 100 * time.Millisecond
	// usualWeight is the weight of a new sample in the usual run time of a route, once there are enough for it. It is small,
	// since a usual run time that followed the concurrency would hide its effect.
	usualWeight = 0.002
	// maxRelative bounds what a single long run counts for.
	maxRelative = 4
	// minSamples is the number of samples from which a usual run time is compared with.
	minSamples = 8
	// maxRoutes bounds the routes whose usual run time is kept.
	maxRoutes = 64
	// maxSlowdown bounds the slowdown that an endpoint can report.
	maxSlowdown = 100
	// minFraction is the least fraction of the slots that an estimate falls to.
	minFraction = 0.25
	// fallWeight and riseWeight are the part of a change that one window makes.
	fallWeight = 0.5
	riseWeight = 0.2
	// runTimeWeight is the weight of a new sample in the smoothed run time.
	runTimeWeight = 0.05
	// slowdownHorizon is how long a reported slowdown is expected to last; longer runs are slowed down for a part of their time.
	slowdownHorizon = 150 * time.Millisecond
	// refusalHalfLife is the half-life of the fraction of refused requests.
	refusalHalfLife = 400 * time.Millisecond
	// failureHalfLife is the half-life of the fraction of failed runs; failureSamples keeps few runs from counting much.
	failureHalfLife = time.Second
	failureSamples  = 10
	// An endpoint starts with startFraction of its slots, and has all of them after startTime.
	startFraction = 0.4
	startTime     = 3 * time.Second
)

// usual is the usual run time of a route.
type usual struct {
	mean    time.Duration
	samples int
}

// Cause is why an estimate is what it is.
type Cause string

// The causes of an estimate.
const (
	// Slots means that nothing speaks against all slots.
	Slots Cause = "slots"
	// Slower means that run times are longer at a higher concurrency.
	Slower Cause = "slower"
	// Refusals means that the endpoint refuses requests.
	Refusals Cause = "refusals"
	// Starting means that the endpoint has just started.
	Starting Cause = "starting"
)

// Estimate is the number of concurrent requests that an endpoint takes well.
type Estimate struct {
	count float64
	cause Cause
	since time.Time
}

// Count returns the number of concurrent requests, zero while the slots are not known.
func (e Estimate) Count() float64 { return e.count }

// Cause returns the cause that lowers the count the most.
func (e Estimate) Cause() Cause { return e.cause }

// Since returns when the cause began.
func (e Estimate) Since() time.Time { return e.since }

// Learner learns what one endpoint takes well.
type Learner struct {
	clock       clock.Clock
	mu          sync.Mutex
	slots       float64
	instance    string
	startedAt   time.Time // zero for an endpoint that ran before this learner began
	usual       map[string]usual
	curve       curve
	fraction    float64 // of the slots, by the curve
	slowdown    float64 // as last reported
	reports     bool    // it has reported one
	served      float64 // decayed counts
	refused     float64
	succeeded   float64
	failed      float64
	estimatedAt time.Time
	estimate    Estimate
	runTime     time.Duration // smoothed, of the runs that succeeded
}

// New returns a learner that knows nothing of the endpoint.
func New(c clock.Clock) *Learner {
	return &Learner{clock: c, usual: map[string]usual{}, fraction: 1, curve: curve{fadedAt: c.Now()}, estimatedAt: c.Now()}
}

// SetEndpoint sets the endpoint's slots and its instance; all that was learned of another instance is forgotten. A new
// instance starts with a part of its slots.
func (l *Learner) SetEndpoint(slots int, instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.instance != "" && l.instance != instance {
		now := l.clock.Now()
		l.usual, l.curve, l.fraction = map[string]usual{}, curve{fadedAt: now}, 1
		l.served, l.refused, l.succeeded, l.failed, l.runTime = 0, 0, 0, 0, 0
		l.startedAt, l.estimatedAt = now, now
	}
	l.instance, l.slots = instance, float64(slots)
	l.update(l.clock.Now())
}

// Record records a run of a route that took so long, with the number of requests that ran when it began, itself included,
// and the slowdown that the endpoint reported at its end, zero where it reported none. Run times are compared without what
// the endpoint itself puts down to its machine.
func (l *Learner) Record(route string, took time.Duration, running int, slowdown float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.slowdown
	l.setSlowdown(slowdown)
	if before > 0 && l.slowdown > 0 {
		took = time.Duration(float64(took) / max(1, (before+l.slowdown)/2))
	}
	if l.slots == 0 || took <= 0 {
		return
	}
	u, known := l.usual[route]
	if !known && len(l.usual) >= maxRoutes {
		return
	}
	took = min(took, maxRelative*max(u.mean, took/maxRelative))
	u.samples++
	u.mean += time.Duration(max(usualWeight, 1/float64(u.samples)) * float64(took-u.mean))
	l.usual[route] = u
	if u.samples >= minSamples {
		l.curve.add(float64(running)/l.slots, float64(took)/float64(u.mean))
	}
	l.updateIfDue()
}

// RecordSlowdown records the slowdown that the endpoint reported, zero where it reported none.
func (l *Learner) RecordSlowdown(slowdown float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setSlowdown(slowdown)
}

func (l *Learner) setSlowdown(slowdown float64) {
	l.slowdown = min(maxSlowdown, slowdown)
	l.reports = l.reports || slowdown > 0
}

// Slowdown returns how long work takes at the endpoint as a multiple of the usual time, as it last reported, 1 if it reports
// none.
func (l *Learner) Slowdown() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slowdown == 0 {
		return 1
	}
	return l.slowdown
}

// ReportsSlowdown reports whether the endpoint has ever reported a slowdown.
func (l *Learner) ReportsSlowdown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reports
}

// RecordServed records that the endpoint ran a request for so long, whatever its route, and whether it succeeded.
func (l *Learner) RecordServed(took time.Duration, succeeded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served++
	switch {
	case !succeeded: // its duration says nothing about how long a request takes
	case l.runTime == 0:
		l.runTime = took
	default:
		l.runTime += time.Duration(runTimeWeight * float64(took-l.runTime))
	}
	l.updateIfDue()
}

// Pace returns how long a request is expected to run at this moment, over all routes, zero while nothing is known.
func (l *Learner) Pace() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	slower := l.slowdown - 1
	if l.slowdown == 0 {
		slower = 0
	}
	return l.runTime + time.Duration(slower*float64(min(l.runTime, slowdownHorizon)))
}

// RecordOutcome records whether a run succeeded that no other service had a part in.
func (l *Learner) RecordOutcome(succeeded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if succeeded {
		l.succeeded++
	} else {
		l.failed++
	}
	l.updateIfDue()
}

// Failing returns the fraction of the last runs that failed.
func (l *Learner) Failing() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateIfDue()
	return l.failed / (l.succeeded + l.failed + failureSamples)
}

// RecordRefusal records that the endpoint refused a request.
func (l *Learner) RecordRefusal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
	l.updateIfDue()
}

// Estimate returns what the endpoint is thought to take well.
func (l *Learner) Estimate() Estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateIfDue()
	return l.estimate
}

func (l *Learner) updateIfDue() {
	if now := l.clock.Now(); now.Sub(l.estimatedAt) >= window {
		l.update(now)
	}
}

// update makes a new estimate.
func (l *Learner) update(now time.Time) {
	l.curve.fade(now)
	decay := clock.Decay(now.Sub(l.estimatedAt), refusalHalfLife)
	l.served, l.refused = l.served*decay, l.refused*decay
	decay = clock.Decay(now.Sub(l.estimatedAt), failureHalfLife)
	l.succeeded, l.failed, l.estimatedAt = l.succeeded*decay, l.failed*decay, now
	weight, bend := riseWeight, l.curve.bend()
	if bend < l.fraction {
		weight = fallWeight
	}
	l.fraction += weight * (bend - l.fraction)
	least, cause := 1.0, Slots
	for _, limit := range []struct {
		fraction float64
		cause    Cause
	}{{l.fraction, Slower}, {1 - l.refusedFraction(), Refusals}, {l.startedFraction(now), Starting}} {
		if limit.fraction < 0.99 && limit.fraction < least {
			least, cause = limit.fraction, limit.cause
		}
	}
	if cause != l.estimate.cause {
		l.estimate.cause, l.estimate.since = cause, now
	}
	l.estimate.count = max(1, max(minFraction, least)*l.slots)
	if l.slots == 0 {
		l.estimate.count = 0
	}
}

// refusedFraction returns the fraction of the last requests that the endpoint refused; few requests count less.
func (l *Learner) refusedFraction() float64 { return l.refused / (l.served + l.refused + 4) }

// startedFraction returns the fraction of its slots that the endpoint has for its age.
func (l *Learner) startedFraction(now time.Time) float64 {
	age := now.Sub(l.startedAt)
	if l.startedAt.IsZero() || age >= startTime {
		return 1
	}
	return startFraction + (1-startFraction)*age.Seconds()/startTime.Seconds()
}
