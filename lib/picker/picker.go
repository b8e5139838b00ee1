package picker

import (
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/hosts"
)

const (
	// maxCompared bounds the endpoints that one choice compares; from larger services a sample is taken.
	maxCompared = 64
	// remoteZoneCost is the surcharge for an endpoint in another zone: by so much the utilization in the local zone, as
	// a fraction of the slots, must be higher before another zone is used.
	remoteZoneCost = 0.4
	// coldFraction is the fraction of its slots that an endpoint can use shortly after its start.
	coldFraction = 0.4
	refusalCost  = 1.0
	// Above crowdedUtilization an endpoint's cost grows faster by crowdCost, before requests queue there.
	crowdedUtilization = 0.8
	crowdCost          = 3.0
	// tieBreakCost is the bound of a random surcharge where endpoints are placed on by their slots.
	tieBreakCost = 0.01
	// randomCost is that bound where nodes are told what endpoints take well. Nodes that are told the same would else all choose
	// the same endpoint, until its next report.
	randomCost = 0.1
	// probeFraction times the mean utilization is the fraction of the requests that are then placed without regard to zones.
	// Without them nothing would be known of the endpoints in other zones when the local zone is crowded.
	probeFraction = 0.1
	// latencyScale is the latency above that of the fastest endpoint that costs as much as having all slots in use.
	latencyScale = 800 * time.Millisecond
	// Rates of refusals and of unanswered requests are smoothed over the last answers and decay with a half-life.
	refusalSmoothing = 0.1
	refusalHalfLife  = time.Second
	failureSmoothing = 0.05
	failureHalfLife  = 2 * time.Second
	// failureCost is the surcharge for an endpoint that answers nothing, or fails every run, while another endpoint of its
	// service answers everything.
	failureCost = 8.0
	// failureNoise is the difference between the endpoints' failure rates that is put down to chance.
	failureNoise     = 0.1
	latencySmoothing = 0.05
)

// Outcome is the way in which an attempt at an endpoint ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Served means that the request ran.
	Served Outcome = iota
	// Refused means a refusal for load; its latency is not sampled, as it says nothing about the speed of the
	// endpoint.
	Refused
	// Declined means any other refusal.
	Declined
	// Unanswered means that the endpoint or its backend server did not answer the request.
	Unanswered
)

type endpoint struct {
	inFlight        int
	reportedLoad    int
	reportedAt      time.Time
	sentSinceReport int
	refusalRate     decayingRate
	failureRate     decayingRate
	failures        int
	ejections       int
	ejectedUntil    time.Time
	rampUpStart     time.Time
	leavingUntil    time.Time
	waitingSince    time.Time
	latency         time.Duration
	learned         learned
	markedSilent    bool // a request got no answer; no answer or heartbeat reply has arrived since
}

// Table holds the state of the endpoints that this node sends requests to.
type Table struct {
	clock     clock.Clock
	random    func() float64
	zone      string
	mu        sync.Mutex
	endpoints map[string]*endpoint
	latency   time.Duration
	scratch   []*endpoint
}

// NewTable returns an empty table for a node in the zone; random returns numbers from 0 to below 1.
func NewTable(c clock.Clock, random func() float64, zone string) *Table {
	return &Table{
		clock: c, random: random, zone: zone,
		endpoints: map[string]*endpoint{},
	}
}

func (t *Table) endpoint(addr string) *endpoint {
	e, ok := t.endpoints[addr]
	if !ok {
		e = &endpoint{}
		t.endpoints[addr] = e
	}
	return e
}

// Pick returns the RPC address of the member with the lowest cost, and false if every member's address is in without.
// slots is the number of requests that an endpoint runs at once if the list of hosts gives no number for it.
func (t *Table) Pick(members []hosts.Endpoint, without []string, slots int) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usable := t.usable(members, without)
	if len(usable) == 0 {
		return "", false
	}
	now := t.clock.Now()
	states := t.states(usable)
	fastest := lowestLatency(states, now)
	lowestFailure, lowestFailing := lowestFailureRate(states, now), lowestFailing(states, now)
	mean := meanUtilization(usable, states, slots, now)
	stride := (len(usable) + maxCompared - 1) / maxCompared
	zoneCost, random := remoteZoneCost, randomCost
	switch {
	case isSlotsOnly(states, now):
		random = tieBreakCost
	case t.random() < probeFraction*min(1, mean):
		zoneCost = 0
	}
	best, least := "", 0.0
	for i := t.randomIndex(stride); i < len(usable); i += stride {
		state := states[i]
		latencyCost := float64(max(0, state.expectedLatency(now)-fastest)) / float64(latencyScale)
		unansweredCost := failureCost * max(0, state.failureRate.current(now, failureHalfLife)-lowestFailure-failureNoise)
		failingCost := failureCost * max(0, state.failing(now)-lowestFailing-failureNoise)
		cost := baseCost(usable[i], state, slots, mean, now) + random*t.random() + latencyCost + unansweredCost + failingCost
		if usable[i].Zone() != t.zone {
			cost += zoneCost
		}
		if best == "" || cost < least {
			best, least = usable[i].RPCAddr(), cost
		}
	}
	return best, true
}

// states returns the states of the members in their order; the slice is valid until the next call.
func (t *Table) states(members []hosts.Endpoint) []*endpoint {
	t.scratch = t.scratch[:0]
	for _, member := range members {
		t.scratch = append(t.scratch, t.endpoint(member.RPCAddr()))
	}
	return t.scratch
}

// lowestLatency returns the lowest expected latency among the endpoints that have answered, zero if none has.
func lowestLatency(states []*endpoint, now time.Time) time.Duration {
	least := time.Duration(0)
	for _, e := range states {
		latency := e.expectedLatency(now)
		if latency > 0 && (least == 0 || latency < least) {
			least = latency
		}
	}
	return least
}

// lowestFailureRate returns the lowest rate of unanswered requests among the endpoints; Pick adds cost only for the
// excess over it.
func lowestFailureRate(states []*endpoint, now time.Time) float64 {
	least := 1.0
	for _, e := range states {
		least = min(least, e.failureRate.current(now, failureHalfLife))
	}
	return least
}

// baseCost returns the expected fraction in use of what the endpoint takes well, with surcharges for crowding and refusals; mean
// is the mean utilization of the service.
func baseCost(member hosts.Endpoint, e *endpoint, slots int, mean float64, now time.Time) float64 {
	capacity := e.capacity(member, slots, now)
	utilization := (e.load(mean*capacity, now) + 1) / capacity
	return utilization + crowdCost*max(0, utilization-crowdedUtilization) +
		refusalCost*e.refusalRate.current(now, refusalHalfLife)
}

func (t *Table) randomIndex(n int) int { return min(n-1, int(t.random()*float64(n))) }

// RecordSent records that a request is being sent to the endpoint.
func (t *Table) RecordSent(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoint(addr)
	if e.inFlight == 0 {
		e.waitingSince = t.clock.Now()
	}
	e.inFlight++
	e.sentSinceReport++
}

// RecordAnswer records the end of an attempt: how long it took, the number of requests in flight that the endpoint
// reported, and the outcome.
func (t *Table) RecordAnswer(addr string, took time.Duration, reported int, outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoint(addr)
	e.inFlight--
	now := t.clock.Now()
	if outcome == Unanswered {
		e.sentSinceReport = max(0, e.sentSinceReport-1)
		e.failureRate.sample(1, failureSmoothing, failureHalfLife, now)
		e.failures++
		if e.failures >= failuresToEject && !now.Before(e.ejectedUntil) {
			e.eject(now)
		}
		return
	}
	switch outcome {
	case Served:
		t.latency += time.Duration(latencySmoothing * float64(took-t.latency))
		e.latency += time.Duration(latencySmoothing * float64(took-e.latency))
		e.refusalRate.sample(0, refusalSmoothing, refusalHalfLife, now)
		e.failureRate.sample(0, failureSmoothing, failureHalfLife, now)
	case Refused:
		e.refusalRate.sample(1, refusalSmoothing, refusalHalfLife, now)
	}
	e.reportedLoad, e.sentSinceReport, e.reportedAt, e.waitingSince = reported, 0, now, now
	e.failures, e.markedSilent = 0, false
	if now.Sub(e.rampUpStart) > longestEjection {
		e.ejections = 0
	}
}

// RemoveUnlisted removes the state of endpoints that are not on the list and have no requests in flight.
func (t *Table) RemoveUnlisted(list *hosts.List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for addr, e := range t.endpoints {
		if _, listed := list.Find(addr); !listed && e.inFlight == 0 {
			delete(t.endpoints, addr)
		}
	}
}
