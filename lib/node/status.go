package node

import (
	"fmt"
	"strings"
	"time"

	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/lease"
	"tamarackrudder.org/lib/press"
	"tamarackrudder.org/lib/queue"
	"tamarackrudder.org/lib/rules"
	"tamarackrudder.org/lib/stats"
)

// Self returns the address at which the node listens for peers.
func (n *Node) Self() string { return n.settings.self }

// Service returns the service of the node's backend server.
func (n *Node) Service() string { return n.settings.service }

// Zone returns the node's availability zone.
func (n *Node) Zone() string { return n.settings.zone }

// Ready reports whether the node serves: rules and a list of hosts are in force, and peers were asked for newer ones.
func (n *Node) Ready() bool { return n.ready.Load() }

// Leaving reports whether the node refuses new work because it drains.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Stopping reports whether Stop has been called.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// The locations of a peer as seen from this node.
const (
	LocationOwnZone   = "ownZone"
	LocationOtherZone = "otherZone"
	LocationUnknown   = "unknown"
)

// Locate returns whether the host with an IP address is in this node's availability zone, as one of the locations.
func (n *Node) Locate(ip string) string {
	list := n.hosts.Load()
	if list == nil {
		return LocationUnknown
	}
	zone, ok := list.ZoneOf(ip)
	switch {
	case !ok:
		return LocationUnknown
	case zone == n.settings.zone:
		return LocationOwnZone
	}
	return LocationOtherZone
}

// Rules returns the rules in force, nil before the first.
func (n *Node) Rules() *rules.Set { return n.rules.Load() }

// MaxBody returns the size in bytes of the largest request body that any service accepts, 0 before rules are in force.
func (n *Node) MaxBody() int64 {
	set := n.rules.Load()
	if set == nil {
		return 0
	}
	return int64(set.MaxBody())
}

// RulesText returns the rules in force as they were published.
func (n *Node) RulesText() []byte { return n.rulesStore.Current().Text() }

// RulesFault returns the error of the last rules that were refused, empty if newer ones were accepted since.
func (n *Node) RulesFault() string { return n.rulesStore.Fault() }

// Hosts returns the list of hosts in force, nil before the first.
func (n *Node) Hosts() *hosts.List { return n.hosts.Load() }

// HostsFault returns the error of the last list that was refused, empty if a newer one was accepted since.
func (n *Node) HostsFault() string { return n.hostsStore.Fault() }

// Lease returns the lease status of this endpoint.
func (n *Node) Lease() lease.Status { return n.group.Status() }

// Limit returns the number of requests that the backend server is given at once.
func (n *Node) Limit() int { return n.concurrencyLimit() }

// Running returns the number of requests that the backend server runs now.
func (n *Node) Running() int { return n.queue.Running() }

// Depths returns the number of waiting requests by class.
func (n *Node) Depths() []queue.Depth { return n.queue.Depths() }

// Claims returns the number of idempotency keys for which this endpoint stores a claim.
func (n *Node) Claims() int { return n.claims.Len() }

// Ejected returns the addresses of the endpoints that this node has ejected for failures.
func (n *Node) Ejected() []string { return n.picker.Ejected() }

// Marks returns the number of crash marks: the fingerprints that were in flight when a backend server crashed.
func (n *Node) Marks() int { return n.crashes.Len() }

// Summaries returns verdicts and latencies by tenant and class.
func (n *Node) Summaries() []stats.Summary { return n.stats.Summaries() }

// InFlight returns the number of requests in flight at this node, those that entered here plus those for its backend
// server; one request may count several times.
func (n *Node) InFlight() int { return n.serving.len() + n.executing.len() }

// Explain returns what this node would decide on a request, one line for each step; a host name may precede the path.
func (n *Node) Explain(method, path, key string) []string {
	host, rest, _ := strings.Cut(path, "/")
	path = "/" + rest
	set := n.rules.Load()
	if set == nil {
		return []string{"no rules are in force: refused as not run (noRules)"}
	}
	route, ok := set.Match(host, method, path)
	if !ok {
		return []string{fmt.Sprintf("no route in rules version %d matches: refused as not run (unknownRoute)", set.Version())}
	}
	class, _ := set.Class(route.Class())
	lines := []string{
		fmt.Sprintf("route %q, asked by %s, in rules version %d", route.Name(), route.AskedBy(), set.Version()),
		fmt.Sprintf("class %s with priority %d, timeout %s, %d retries over the whole chain",
			class.Name(), class.Priority(), route.Timeout(), route.Retries()),
		fmt.Sprintf("admission probability at entry: %.2f", n.admissionProbability(route.Name(), class.Name())),
	}
	return append(lines, n.explainTarget(route, key)...)
}

func (n *Node) explainTarget(route rules.Route, key string) []string {
	list := n.hosts.Load()
	if list == nil || (len(route.Split()) == 0 && len(list.Members(route.Service())) == 0) {
		return []string{fmt.Sprintf("no endpoint of service %s is listed: refused as not run (noEndpoint)", route.Service())}
	}
	if !route.Keyed() {
		return n.explainUnkeyed(route, list)
	}
	if key == "" {
		return []string{"non-idempotent without an Idempotency-Key: refused as not run (keyMissing)"}
	}
	lines := []string{"non-idempotent: runs at most once, only at the key's owner"}
	for i, addr := range list.Ranked(route.Service(), key) {
		lines = append(lines, fmt.Sprintf("rank %d for the key in list version %d: %s", i+1, list.Version(), addr))
	}
	if route.Service() == n.settings.service {
		lines = append(lines, n.explainPermit(key))
	}
	return lines
}

// admissionProbability returns the probability with which a route's requests are admitted at this node, 0 to 1.
func (n *Node) admissionProbability(route, class string) float64 {
	if n.settings.untraced {
		return n.gate.AdmissionProbability(route)
	}
	return n.press.AdmissionProbability(press.NewFlow(route, class))
}

// explainUnkeyed explains at which endpoints a request without an owner may run, and the slot demand of its route.
func (n *Node) explainUnkeyed(route rules.Route, list *hosts.List) []string {
	kind := "idempotent"
	if route.NonIdempotent() {
		kind = "non-idempotent without a key: sent again only if it provably did not run"
	}
	var lines []string
	for _, service := range route.Services() {
		lines = append(lines, fmt.Sprintf("%s: one of %d endpoints of service %s, by load and availability zone",
			kind, len(list.Members(service)), service))
	}
	for _, demand := range n.gate.Demands(route.Name()) {
		lines = append(lines, fmt.Sprintf("takes %s of slot time in %.1f calls at service %s, whose admit level is %.2f "+
			"and whose backend servers accept %.2f", demand.Cost().Round(time.Millisecond), demand.Calls(), demand.Service(),
			demand.Level(), demand.Accepted()))
	}
	return lines
}

func (n *Node) explainPermit(key string) string {
	permit := n.group.Permit(key)
	if !permit.Allowed() {
		return fmt.Sprintf("this endpoint would refuse the key as not run (%s)", permit.Reason())
	}
	return fmt.Sprintf("this endpoint would run the key if it was created after %s",
		permit.Cutoff().UTC().Format(time.RFC3339Nano))
}
