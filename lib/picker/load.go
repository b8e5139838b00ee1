package picker

import (
	"math"
	"time"

	"tamarackrudder.org/lib/hosts"
)

const (
	// loadMaxAge is the age up to which an endpoint's last report of its load is used.
	loadMaxAge = time.Second
	// reportDecayTime is the time constant with which reports lose weight in the mean utilization of a service.
	reportDecayTime = time.Second
)

// slotsOf returns the number of requests that an endpoint runs at once, slots if the list of hosts gives no number for it.
func slotsOf(member hosts.Endpoint, slots int) float64 {
	if member.Slots() > 0 {
		slots = member.Slots()
	}
	return float64(max(1, slots))
}

// meanUtilization returns the mean fraction of what they take well that the endpoints have reported as in use, zero before the first
// report. Older reports have less weight.
func meanUtilization(members []hosts.Endpoint, states []*endpoint, slots int, now time.Time) float64 {
	sum, weights := 0.0, 0.0
	for i, e := range states {
		if e.reportedAt.IsZero() {
			continue
		}
		weight := math.Exp(-now.Sub(e.reportedAt).Seconds() / reportDecayTime.Seconds())
		sum += weight * float64(e.reportedLoad) / e.capacity(members[i], slots, now)
		weights += weight
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// load returns the number of requests that the endpoint is expected to have: its last report plus the requests sent since,
// or the given mean once the report is too old. An endpoint that nothing is known of is as busy as the others; taken for
// idle, it would get the requests of all nodes that know nothing of it.
func (e *endpoint) load(mean float64, now time.Time) float64 {
	known := mean
	if now.Sub(e.reportedAt) <= loadMaxAge {
		known = float64(e.reportedLoad + e.sentSinceReport)
	}
	return max(float64(e.inFlight), known)
}
