package node

import (
	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/rules"
	"tamarackrudder.org/lib/verd"
)

// identify returns a caller's request with the organisation whose key it carries, whatever organisation the caller named. It
// returns a verdict if the route needs a key and the request's is unknown. A downstream call with a parent token gets the
// organisation of its parent request instead.
func (n *Node) identify(set *rules.Set, route rules.Route, r call.Request) (call.Request, *verd.Verdict) {
	if !set.NeedsKeys() || r.ParentToken() != "" {
		return r, nil
	}
	if route.Open() {
		return r.WithOrganisation(""), nil
	}
	o, ok := set.OrganisationOf(r.Credential())
	if ok {
		if n.settings.untraced {
			n.origin.MarkEntryRoute(route.Name())
		}
		return r.WithOrganisation(o.Name()), nil
	}
	if n.rulesMayBeOutdated() {
		return r.WithOrganisation(""), notRun(verd.ReasonNoRules)
	}
	return r.WithOrganisation(""), notRun(verd.ReasonUnknownKey)
}

// rulesMayBeOutdated reports whether newer rules than those in force may exist that this node cannot know yet: it is
// fetching newer ones, or reaches neither its peers nor the platform.
func (n *Node) rulesMayBeOutdated() bool {
	n.mu.Lock()
	fetching := n.fetching[NameRules]
	n.mu.Unlock()
	return fetching || (n.unansweredFor(isolatedAfter) && n.seams.PlatformLost != nil && n.seams.PlatformLost())
}
