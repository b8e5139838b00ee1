package opsapi

import (
	"time"

	"tamarackrudder.org/lib/node"
)

// ClassCount is the number of requests of one class in a state that the field in Status names.
type ClassCount struct {
	Class string `json:"class"`
	Count int64  `json:"count"`
}

// Lease is the state of an endpoint's lease, without which it runs no non-idempotent requests that have keys.
type Lease struct {
	// List is the version of the newest list of hosts that the lease protocol has received.
	List uint64 `json:"list"`
	// Informed means that the endpoint has recovered, from its peers' replies, the lists, releases and refusals on which
	// an earlier incarnation may have granted leases.
	Informed bool `json:"informed"`
	// Active means that the ownership period under the newest list has begun.
	Active bool `json:"active"`
	// Leased means that a majority of the service's endpoints grants the lease now.
	Leased bool `json:"leased"`
	// Granting means that the endpoint has run long enough to grant leases to its peers.
	Granting bool `json:"granting"`
	// Released means that the endpoint has released its keys, so that others may own them.
	Released bool `json:"released"`
	// Since is when the newest ownership period began, the zero time before the first.
	Since time.Time `json:"since,omitzero"`
}

// Takes is what the backend server is thought to take well: Count concurrent requests, of the Limit that it is given.
type Takes struct {
	Count float64 `json:"count"`
	// Cause is why: slots, slower (at a higher concurrency), refusals or starting.
	Cause string    `json:"cause"`
	Since time.Time `json:"since,omitzero"`
	// Slowdown is how long work takes there now, as a multiple of the usual time, 1 where the backend server does not say.
	Slowdown float64 `json:"slowdown"`
}

// Status is the state of a node.
//
// RulesFault and ListFault state why the last refused rules or list of hosts were refused; they are empty after a newer
// version was accepted. Keys counts the remembered idempotency keys. Limit is how many requests the node sends to its
// backend server at once. Shed counts the requests refused for overload since the node's start, by class.
type Status struct {
	Node          string       `json:"node"`
	Service       string       `json:"service"`
	Zone          string       `json:"zone"`
	Ready         bool         `json:"ready"`
	Leaving       bool         `json:"leaving"`
	RulesVersion  uint64       `json:"rulesVersion"`
	RulesFault    string       `json:"rulesFault,omitempty"`
	ListVersion   uint64       `json:"listVersion"`
	ListFault     string       `json:"listFault,omitempty"`
	Endpoints     int          `json:"endpoints"`
	Lease         Lease        `json:"lease"`
	Keys          int          `json:"keys"`
	Limit         int          `json:"limit"`
	Takes         Takes        `json:"takes"`
	Running       int          `json:"running"`
	InFlight      int          `json:"inFlight"`
	Queued        []ClassCount `json:"queued"`
	Shed          []ClassCount `json:"shed"`
	Ejected       []string     `json:"ejected"`
	CrashSuspects int          `json:"crashSuspects"`
}

// ReasonCount is the number of requests with one reason since the node's start.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int64  `json:"count"`
}

// Histogram holds the verdicts and latency percentiles of one organisation and class since the node's start; times are in
// milliseconds. Reasons covers the requests that did not run or may have run.
type Histogram struct {
	Organisation string        `json:"tenant"`
	Class        string        `json:"class"`
	Ran          int64         `json:"ran"`
	NotRun       int64         `json:"notRun"`
	MayHaveRun   int64         `json:"mayHaveRun"`
	P50Ms        float64       `json:"p50Ms"`
	P99Ms        float64       `json:"p99Ms"`
	P999Ms       float64       `json:"p999Ms"`
	Reasons      []ReasonCount `json:"reasons"`
}

// Quota is what a node has granted of an organisation's quota within the last window, and how many tokens it has left. At
// the organisation's home these are the figures of all nodes; elsewhere those of the time in which the node stood in for it.
type Quota struct {
	Organisation string  `json:"organisation"`
	Home         string  `json:"home"`
	Rate         float64 `json:"rate"`
	Burst        float64 `json:"burst"`
	Left         float64 `json:"left"`
	Used         float64 `json:"used"`
	Refused      float64 `json:"refused"`
}

// NewQuotas returns the quotas that a node has granted from, those with the most refusals first.
func NewQuotas(n *node.Node) []Quota {
	rows := []Quota{}
	for _, u := range n.QuotaUsage() {
		rows = append(rows, Quota{
			Organisation: u.Organisation(), Home: n.QuotaHome(u.Organisation()), Rate: u.Limits().Rate(), Burst: u.Limits().Burst(),
			Left: u.Level(), Used: u.Used(), Refused: u.Refused(),
		})
	}
	return rows
}

// Rules holds the rules in force as published; version 0 means that there are none yet.
type Rules struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// Explanation describes what a node would do with a request, one step per line.
type Explanation struct {
	Lines []string `json:"lines"`
}

// NewStatus reads the state of a node. Fields are read one after the other, so they may be of slightly different moments.
func NewStatus(n *node.Node) Status {
	s := Status{
		Node: n.Self(), Service: n.Service(), Zone: n.Zone(), Ready: n.Ready(), Leaving: n.Leaving(),
		RulesFault: n.RulesFault(), ListFault: n.HostsFault(), Keys: n.Claims(), Limit: n.Limit(),
		Running: n.Running(), InFlight: n.InFlight(), Ejected: n.Ejected(), CrashSuspects: n.Marks(),
	}
	if set := n.Rules(); set != nil {
		s.RulesVersion = set.Version()
	}
	if list := n.Hosts(); list != nil {
		s.ListVersion, s.Endpoints = list.Version(), len(list.Endpoints())
	}
	l := n.Lease()
	s.Lease = Lease{
		List: l.List(), Informed: l.Informed(), Active: l.Active(), Leased: l.Leased(),
		Granting: l.Granting(),
		Released: l.Released(), Since: l.Since(),
	}
	t := n.Takes()
	s.Takes = Takes{Count: t.Count(), Cause: string(t.Cause()), Since: t.Since(), Slowdown: n.Slowdown()}
	for _, d := range n.Depths() {
		s.Queued = append(s.Queued, ClassCount{Class: d.Class(), Count: int64(d.Count())})
	}
	s.Shed = countShedByClass(n)
	return s
}

// countShedByClass sums the requests refused for overload over all organisations.
func countShedByClass(n *node.Node) []ClassCount {
	byClass := map[string]int64{}
	var order []string
	for _, row := range n.Summaries() {
		for _, c := range row.Reasons() {
			if !isShed(string(c.Reason())) {
				continue
			}
			if _, seen := byClass[row.Class()]; !seen {
				order = append(order, row.Class())
			}
			byClass[row.Class()] += c.Count()
		}
	}
	counts := make([]ClassCount, 0, len(order))
	for _, class := range order {
		counts = append(counts, ClassCount{Class: class, Count: byClass[class]})
	}
	return counts
}

// isShed reports whether a reason is that of a request refused for overload.
func isShed(reason string) bool {
	switch reason {
	case "queueFull", "shedEarly", "backendShed":
		return true
	}
	return false
}

// NewHistograms returns one Histogram per organisation and class, sorted by both.
func NewHistograms(n *node.Node) []Histogram {
	summaries := n.Summaries()
	rows := make([]Histogram, 0, len(summaries))
	for _, s := range summaries {
		row := Histogram{
			Organisation: s.Organisation(), Class: s.Class(), Ran: s.Ran(), NotRun: s.NotRun(), MayHaveRun: s.MayHaveRun(),
			P50Ms: milliseconds(s.P50()), P99Ms: milliseconds(s.P99()), P999Ms: milliseconds(s.P999()),
		}
		for _, c := range s.Reasons() {
			row.Reasons = append(row.Reasons, ReasonCount{Reason: string(c.Reason()), Count: c.Count()})
		}
		rows = append(rows, row)
	}
	return rows
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
