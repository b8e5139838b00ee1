package node

import (
	"fmt"
	"strings"
	"time"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/press"
	"tamarackrudder.org/lib/rules"
)

// Explain returns what this node would decide on a request, one line for each step. A host name may precede the path; the
// organisation is the one that the request's key belongs to.
func (n *Node) Explain(r call.Request) []string {
	host, rest, _ := strings.Cut(r.Path(), "/")
	path := "/" + rest
	set := n.rules.Load()
	if set == nil {
		return []string{"no rules are in force: refused as not run (noRules)"}
	}
	route, ok := set.Match(host, r.Method(), path)
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
	lines = append(lines, n.explainOrganisation(set, route, r.Organisation())...)
	return append(lines, n.explainTarget(route, r.Key())...)
}

// explainOrganisation explains what callers of the route need, and the quota and priority of an organisation, empty for none.
func (n *Node) explainOrganisation(set *rules.Set, route rules.Route, name string) []string {
	if name == "" {
		if set.NeedsKeys() && !route.Open() {
			return []string{"needs the key of one of the organisations: without a known one it is refused (keyUnknown)"}
		}
		return nil
	}
	o, ok := set.Organisation(name)
	if !ok {
		return []string{fmt.Sprintf("organisation %s is not in rules version %d", name, set.Version())}
	}
	quota := "no quota"
	if o.Rate() > 0 {
		quota = fmt.Sprintf("a quota of %g requests a second over all nodes, and bursts of %g, granted by %s",
			o.Rate(), o.Burst(), n.QuotaHome(name))
	}
	return []string{fmt.Sprintf("organisation %s has %d keys, priority %d before that of the class, and %s",
		name, len(o.Keys()), o.Priority(), quota)}
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
