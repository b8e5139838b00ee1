package picker

import (
	"slices"
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/hosts"
)

const (
	failuresToEject = 3
	firstEjection   = time.Second
	longestEjection = 10 * time.Second
	// If less than minHealthyFraction of the endpoints that are not leaving are healthy, all of them are used: so many
	// failures at once are unlikely to be faults of the endpoints.
	minHealthyFraction   = 0.5
	rampUpTime           = 2 * time.Second
	rampUpMinProbability = 0.1
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
	tieBreakCost       = 0.01
	// latencyScale is the latency above that of the fastest endpoint that costs as much as having all slots in use.
	latencyScale = 800 * time.Millisecond
	// Rates of refusals and of unanswered requests are smoothed over the last answers and decay with a half-life.
	refusalSmoothing = 0.1
	refusalHalfLife  = time.Second
	failureSmoothing = 0.05
	failureHalfLife  = 2 * time.Second
	// failureCost is the surcharge for an endpoint that answers nothing while another endpoint of its service answers
	// everything.
	failureCost = 8.0
	// failureNoise is the difference between the endpoints' failure rates that is put down to chance.
	failureNoise = 0.1
	leavingTime  = time.Second
	// An endpoint counts as silent once it has answered nothing for the longer of two times: timeoutFactor times the
	// smoothed latency of all endpoints, at least minTimeout, and timeoutFactor times the endpoint's smoothed latency,
	// at most maxEndpointTimeout.
	minTimeout         = 500 * time.Millisecond
	maxEndpointTimeout = 3 * time.Second
	timeoutFactor      = 4
	latencySmoothing   = 0.05
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
	now, fastest := t.clock.Now(), t.lowestLatency(usable)
	lowestFailure := t.lowestFailureRate(usable, now)
	mean := t.meanUtilization(usable, slots, now)
	stride := (len(usable) + maxCompared - 1) / maxCompared
	best, least := "", 0.0
	for i := t.randomIndex(stride); i < len(usable); i += stride {
		state := t.endpoint(usable[i].RPCAddr())
		latencyCost := float64(max(0, state.latency-fastest)) / float64(latencyScale)
		unansweredCost := failureCost * max(0, state.failureRate.current(now, failureHalfLife)-lowestFailure-failureNoise)
		cost := t.cost(usable[i], slots, mean, now) + latencyCost + unansweredCost
		if best == "" || cost < least {
			best, least = usable[i].RPCAddr(), cost
		}
	}
	return best, true
}

// lowestLatency returns the lowest smoothed latency among the endpoints that have answered, zero if none has.
func (t *Table) lowestLatency(usable []hosts.Endpoint) time.Duration {
	least := time.Duration(0)
	for _, member := range usable {
		latency := t.endpoint(member.RPCAddr()).latency
		if latency > 0 && (least == 0 || latency < least) {
			least = latency
		}
	}
	return least
}

// lowestFailureRate returns the lowest rate of unanswered requests among the endpoints; Pick adds cost only for the
// excess over it.
func (t *Table) lowestFailureRate(usable []hosts.Endpoint, now time.Time) float64 {
	least := 1.0
	for _, member := range usable {
		least = min(least, t.endpoint(member.RPCAddr()).failureRate.current(now, failureHalfLife))
	}
	return least
}

// cost returns the expected fraction of the endpoint's slots in use, with surcharges for crowding, another zone and
// refusals; mean is the mean utilization of the service.
func (t *Table) cost(member hosts.Endpoint, slots int, mean float64, now time.Time) float64 {
	capacity := slotsOf(member, slots)
	if now.Before(member.WarmAt()) {
		capacity *= coldFraction
	}
	e := t.endpoint(member.RPCAddr())
	utilization := (e.load(mean*capacity, now) + 1) / capacity
	cost := utilization + crowdCost*max(0, utilization-crowdedUtilization) +
		refusalCost*e.refusalRate.current(now, refusalHalfLife) + tieBreakCost*t.random()
	if member.Zone() != t.zone {
		cost += remoteZoneCost
	}
	return cost
}

func (t *Table) randomIndex(n int) int { return min(n-1, int(t.random()*float64(n))) }

// usable returns the members without those that are excluded, leaving, ejected or silent. Leaving ones are used if no
// others are left, ejected and silent ones if less than minHealthyFraction is healthy.
func (t *Table) usable(members []hosts.Endpoint, without []string) []hosts.Endpoint {
	now := t.clock.Now()
	staying := slices.DeleteFunc(slices.Clone(members), func(e hosts.Endpoint) bool {
		return e.Leaving() || slices.Contains(without, e.RPCAddr()) || now.Before(t.endpoint(e.RPCAddr()).leavingUntil)
	})
	if len(staying) == 0 {
		return slices.DeleteFunc(slices.Clone(members), func(e hosts.Endpoint) bool {
			return slices.Contains(without, e.RPCAddr())
		})
	}
	healthy := slices.DeleteFunc(slices.Clone(staying), func(e hosts.Endpoint) bool {
		state := t.endpoint(e.RPCAddr())
		return now.Before(state.ejectedUntil) || t.isSilent(state, now)
	})
	if float64(len(healthy)) < minHealthyFraction*float64(len(staying)) {
		return staying
	}
	return t.applyRampUp(healthy, now)
}

// applyRampUp leaves out each endpoint that became usable within rampUpTime at random, less often as time passes.
func (t *Table) applyRampUp(healthy []hosts.Endpoint, now time.Time) []hosts.Endpoint {
	picked := slices.DeleteFunc(slices.Clone(healthy), func(e hosts.Endpoint) bool {
		age := now.Sub(t.endpoint(e.RPCAddr()).rampUpStart)
		return age < rampUpTime && t.random() > max(rampUpMinProbability, age.Seconds()/rampUpTime.Seconds())
	})
	if len(picked) == 0 {
		return healthy
	}
	return picked
}

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

// isSilent reports whether the endpoint is marked silent, or has answered nothing within the answer timeout while
// requests are in flight.
func (t *Table) isSilent(e *endpoint, now time.Time) bool {
	return e.markedSilent || (e.inFlight > 0 && now.Sub(e.waitingSince) >= max(t.timeout(), e.timeout()))
}

// timeout follows the latency of this endpoint, which may be higher than that of others.
func (e *endpoint) timeout() time.Duration { return min(maxEndpointTimeout, timeoutFactor*e.latency) }

// timeout follows the latency of all endpoints.
func (t *Table) timeout() time.Duration { return max(minTimeout, timeoutFactor*t.latency) }

// IsSilent reports whether the endpoint is marked silent, or has answered nothing within its answer timeout while
// requests are in flight.
func (t *Table) IsSilent(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isSilent(t.endpoint(addr), t.clock.Now())
}

// AnswerTimeout returns how long an attempt may take before its endpoint is checked for silence and another one may be
// tried.
func (t *Table) AnswerTimeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.timeout()
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

func (e *endpoint) eject(now time.Time) {
	span := min(longestEjection, firstEjection<<min(e.ejections, 8))
	e.ejectedUntil = now.Add(span)
	e.rampUpStart = e.ejectedUntil
	e.ejections++
	e.failures = 0
}

// MarkSilent marks an endpoint silent because a request to it could not be delivered or got no answer; the mark stays until
// an answer or a heartbeat reply of the endpoint arrives.
func (t *Table) MarkSilent(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpoint(addr).markedSilent = true
}

// MarkAlive clears the silent mark and any ejection after the endpoint has replied to a heartbeat; the endpoint then ramps
// up. Without the mark nothing changes.
func (t *Table) MarkAlive(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, found := t.endpoints[addr]
	if !found || !e.markedSilent {
		return
	}
	now := t.clock.Now()
	e.markedSilent, e.failures, e.ejectedUntil, e.rampUpStart, e.waitingSince = false, 0, now, now, now
}

// MarkedSilent returns the addresses that are marked silent, sorted, without the endpoints that only have overdue
// answers.
func (t *Table) MarkedSilent() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var silent []string
	for addr, e := range t.endpoints {
		if e.markedSilent {
			silent = append(silent, addr)
		}
	}
	slices.Sort(silent)
	return silent
}

// MarkLeaving records that the endpoint reported itself as leaving, which holds for leavingTime.
func (t *Table) MarkLeaving(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpoint(addr).leavingUntil = t.clock.Now().Add(leavingTime)
}

// IsHealthy reports whether the endpoint is neither leaving, nor ejected, nor silent.
func (t *Table) IsHealthy(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, now := t.endpoint(addr), t.clock.Now()
	return !now.Before(e.leavingUntil) && !now.Before(e.ejectedUntil) && !t.isSilent(e, now)
}

// Ejected returns the addresses that are ejected, sorted.
func (t *Table) Ejected() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var ejected []string
	for addr, e := range t.endpoints {
		if now.Before(e.ejectedUntil) {
			ejected = append(ejected, addr)
		}
	}
	slices.Sort(ejected)
	return ejected
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
