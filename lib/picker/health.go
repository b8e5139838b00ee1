package picker

import (
	"slices"
	"time"

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
	leavingTime          = time.Second
	// An endpoint counts as silent once it has answered nothing for the longer of two times: timeoutFactor times the
	// smoothed latency of all endpoints, at least minTimeout, and timeoutFactor times the endpoint's smoothed latency,
	// at most maxEndpointTimeout.
	minTimeout         = 500 * time.Millisecond
	maxEndpointTimeout = 3 * time.Second
	timeoutFactor      = 4
)

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
