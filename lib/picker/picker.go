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
	ejectableShare  = 0.5
	rampTime        = 2 * time.Second
	rampFloor       = 0.1
	loadAge         = time.Second
	// mostCompared bounds the endpoints that one choice looks at.
	mostCompared = 16
	// zoneCost is the share of slots by which an endpoint of another zone must be less taken.
	zoneCost = 0.4
	// coldRoom is the part of its slots that an endpoint can use shortly after its start.
	coldRoom    = 0.4
	refusalCost = 1.0
	// Above this share of its slots an endpoint's cost grows faster, before requests wait there.
	crowded   = 0.8
	crowdCost = 3.0
	tieBreak  = 0.01
	// slowScale is by how much longer an endpoint takes than the quickest for its cost to grow by all of its slots.
	slowScale = 800 * time.Millisecond
	// Refusals and failures count by their share of the last answers, and are forgotten with a half-life.
	refusalWeight   = 0.1
	refusalHalfLife = time.Second
	failureWeight   = 0.05
	failureHalfLife = 2 * time.Second
	// failureCost is for an endpoint that leaves all without an answer, while another one of its service leaves none.
	failureCost = 8.0
	// usualFailures is by how much the shares of failures differ by chance.
	usualFailures = 0.1
	leavingAge    = time.Second
	// An endpoint counts as silent after several times the smoothed latency of all answers.
	shortestPatience = 500 * time.Millisecond
	longestPatience  = 3 * time.Second
	patienceSpans    = 4
	latencyWeight    = 0.05
)

// Outcome is what the end of a request tells of the endpoint that it was sent to.
type Outcome int

// The outcomes.
const (
	// Served is the end of a request that ran.
	Served Outcome = iota
	// Refused is a refusal for load, which says nothing about how quick the endpoint is.
	Refused
	// Declined is any other refusal.
	Declined
	// Broken says that the endpoint or its backend server left a request without an answer.
	Broken
)

type endpoint struct {
	inFlight     int
	reported     int
	reportedAt   time.Time
	sentSince    int
	refused      fading
	broken       fading
	failures     int
	ejections    int
	ejectedUntil time.Time
	readyAt      time.Time
	leavingUntil time.Time
	waitingSince time.Time
	latency      time.Duration
	lost         bool // a request got no answer, and nothing has been heard since
}

// Table holds what this node knows of the endpoints it sends to.
type Table struct {
	clock     clock.Clock
	random    func() float64
	zone      string
	mu        sync.Mutex
	endpoints map[string]*endpoint
	latency   time.Duration
}

// NewTable returns an empty table for a node in a zone; random returns numbers from 0 to below 1.
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

// Pick chooses the member with the lowest cost, leaving out the named addresses; slots is what one endpoint runs at once
// where the list does not say so.
func (t *Table) Pick(members []hosts.Endpoint, without []string, slots int) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usable := t.usable(members, without)
	if len(usable) == 0 {
		return "", false
	}
	now, quickest := t.clock.Now(), t.quickest(usable)
	soundest := t.soundest(usable, now)
	step := (len(usable) + mostCompared - 1) / mostCompared
	best, least := "", 0.0
	for i := t.index(step); i < len(usable); i += step {
		known := t.endpoint(usable[i].RPCAddr())
		late := float64(max(0, known.latency-quickest)) / float64(slowScale)
		failing := failureCost * max(0, known.broken.now(now, failureHalfLife)-soundest-usualFailures)
		cost := t.cost(usable[i], slots, now) + late + failing
		if best == "" || cost < least {
			best, least = usable[i].RPCAddr(), cost
		}
	}
	return best, true
}

// quickest returns the least smoothed latency among endpoints that have answered.
func (t *Table) quickest(usable []hosts.Endpoint) time.Duration {
	least := time.Duration(0)
	for _, member := range usable {
		latency := t.endpoint(member.RPCAddr()).latency
		if latency > 0 && (least == 0 || latency < least) {
			least = latency
		}
	}
	return least
}

// soundest returns the least share of lost answers: what all endpoints of a service lose is not the fault of one.
func (t *Table) soundest(usable []hosts.Endpoint, now time.Time) float64 {
	least := 1.0
	for _, member := range usable {
		least = min(least, t.endpoint(member.RPCAddr()).broken.now(now, failureHalfLife))
	}
	return least
}

// cost is the share of an endpoint's slots that is taken, with surcharges for another zone and for refusals.
func (t *Table) cost(member hosts.Endpoint, slots int, now time.Time) float64 {
	if member.Slots() > 0 {
		slots = member.Slots()
	}
	room := float64(max(1, slots))
	if now.Before(member.WarmAt()) {
		room *= coldRoom
	}
	e := t.endpoint(member.RPCAddr())
	taken := (t.load(member) + 1) / room
	cost := taken + crowdCost*max(0, taken-crowded) + refusalCost*e.refused.now(now, refusalHalfLife) + tieBreak*t.random()
	if member.Zone() != t.zone {
		cost += zoneCost
	}
	return cost
}

func (t *Table) index(n int) int { return min(n-1, int(t.random()*float64(n))) }

// usable leaves out leaving and ejected endpoints while enough others are left.
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
	sound := slices.DeleteFunc(slices.Clone(staying), func(e hosts.Endpoint) bool {
		known := t.endpoint(e.RPCAddr())
		return now.Before(known.ejectedUntil) || t.isSilent(known, now)
	})
	if float64(len(sound)) < ejectableShare*float64(len(staying)) {
		return staying
	}
	return t.ramped(sound, now)
}

// ramped leaves out most of the time the endpoints that have just come back.
func (t *Table) ramped(sound []hosts.Endpoint, now time.Time) []hosts.Endpoint {
	warm := slices.DeleteFunc(slices.Clone(sound), func(e hosts.Endpoint) bool {
		age := now.Sub(t.endpoint(e.RPCAddr()).readyAt)
		return age < rampTime && t.random() > max(rampFloor, age.Seconds()/rampTime.Seconds())
	})
	if len(warm) == 0 {
		return sound
	}
	return warm
}

// load is what this node has in flight there, or what the endpoint last reported if that is more and fresh.
func (t *Table) load(member hosts.Endpoint) float64 {
	e := t.endpoint(member.RPCAddr())
	if t.clock.Now().Sub(e.reportedAt) > loadAge {
		return float64(e.inFlight)
	}
	return float64(max(e.inFlight, e.reported+e.sentSince))
}

// Sent notes a request on its way to an endpoint.
func (t *Table) Sent(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoint(addr)
	if e.inFlight == 0 {
		e.waitingSince = t.clock.Now()
	}
	e.inFlight++
	e.sentSince++
}

// isSilent reports whether an endpoint owes answers and has sent none for far longer than they usually take.
func (t *Table) isSilent(e *endpoint, now time.Time) bool {
	return e.lost || (e.inFlight > 0 && now.Sub(e.waitingSince) >= max(t.patience(), e.patience()))
}

// patience follows the endpoint's own answers, which may take longer than those of others.
func (e *endpoint) patience() time.Duration { return min(longestPatience, patienceSpans*e.latency) }

func (t *Table) patience() time.Duration { return max(shortestPatience, patienceSpans*t.latency) }

// IsSilent reports whether an endpoint owes answers and has sent none for longer than is waited for.
func (t *Table) IsSilent(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isSilent(t.endpoint(addr), t.clock.Now())
}

// Patience returns how long an attempt is waited for before another endpoint is tried.
func (t *Table) Patience() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.patience()
}

// Answered notes the end of a request after a time, with what the endpoint reported to have in flight.
func (t *Table) Answered(addr string, took time.Duration, reported int, outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoint(addr)
	e.inFlight--
	now := t.clock.Now()
	if outcome == Broken {
		e.sentSince = max(0, e.sentSince-1)
		e.broken.sample(1, failureWeight, failureHalfLife, now)
		e.failures++
		if e.failures >= failuresToEject && !now.Before(e.ejectedUntil) {
			e.eject(now)
		}
		return
	}
	switch outcome {
	case Served:
		t.latency += time.Duration(latencyWeight * float64(took-t.latency))
		e.latency += time.Duration(latencyWeight * float64(took-e.latency))
		e.refused.sample(0, refusalWeight, refusalHalfLife, now)
		e.broken.sample(0, failureWeight, failureHalfLife, now)
	case Refused:
		e.refused.sample(1, refusalWeight, refusalHalfLife, now)
	}
	e.reported, e.sentSince, e.reportedAt, e.waitingSince = reported, 0, now, now
	e.failures, e.lost = 0, false
	if now.Sub(e.readyAt) > longestEjection {
		e.ejections = 0
	}
}

func (e *endpoint) eject(now time.Time) {
	span := min(longestEjection, firstEjection<<min(e.ejections, 8))
	e.ejectedUntil = now.Add(span)
	e.readyAt = e.ejectedUntil
	e.ejections++
	e.failures = 0
}

// Lost notes that an endpoint left a request without any answer; it counts as silent until it is heard again.
func (t *Table) Lost(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpoint(addr).lost = true
}

// Heard notes a sign of life from an endpoint that was silent.
func (t *Table) Heard(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.endpoints[addr]
	if !known || !e.lost {
		return
	}
	now := t.clock.Now()
	e.lost, e.failures, e.ejectedUntil, e.readyAt, e.waitingSince = false, 0, now, now, now
}

// Silent returns the addresses that left a request without an answer and have not been heard since.
func (t *Table) Silent() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var silent []string
	for addr, e := range t.endpoints {
		if e.lost {
			silent = append(silent, addr)
		}
	}
	slices.Sort(silent)
	return silent
}

// Leaving notes that an endpoint said it is leaving.
func (t *Table) Leaving(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpoint(addr).leavingUntil = t.clock.Now().Add(leavingAge)
}

// IsSound reports whether an endpoint is neither leaving, nor set aside, nor silent.
func (t *Table) IsSound(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, now := t.endpoint(addr), t.clock.Now()
	return !now.Before(e.leavingUntil) && !now.Before(e.ejectedUntil) && !t.isSilent(e, now)
}

// Ejected returns the addresses that are set aside.
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

// Forget drops what is known of endpoints that are on no list any more.
func (t *Table) Forget(list *hosts.List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for addr, e := range t.endpoints {
		if _, listed := list.Find(addr); !listed && e.inFlight == 0 {
			delete(t.endpoints, addr)
		}
	}
}
