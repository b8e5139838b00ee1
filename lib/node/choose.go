package node

import (
	"cmp"
	"slices"
)

// chooseEndpoint returns the endpoint for the next attempt.
func (n *Node) chooseEndpoint(e *entry) (string, bool) {
	list := n.hosts.Load()
	if list == nil {
		return "", false
	}
	members := list.Members(e.request.Service())
	if len(members) == 0 {
		return "", false
	}
	if e.request.Deduped() {
		ranked := list.Ranked(e.request.Service(), e.request.Key())
		return n.chooseOwner(ranked, e.tried), true
	}
	if addr, ok := n.picker.Pick(members, e.tried, e.slots); ok {
		return addr, true
	}
	e.tried = nil
	return n.picker.Pick(members, nil, e.slots)
}

// chooseOwner returns the endpoint that ranks first, or after refusals the next in turn; endpoints that are leaving, set
// aside or silent come last.
func (n *Node) chooseOwner(ranked, tried []string) string {
	slices.SortStableFunc(ranked, func(a, b string) int {
		return cmp.Compare(n.healthRank(a), n.healthRank(b))
	})
	fewest := ranked[0]
	for _, addr := range ranked {
		if countOf(tried, addr) < countOf(tried, fewest) {
			fewest = addr
		}
	}
	return fewest
}

func (n *Node) healthRank(addr string) int {
	if n.picker.IsSound(addr) {
		return 0
	}
	return 1
}

func countOf(all []string, one string) int {
	n := 0
	for _, s := range all {
		if s == one {
			n++
		}
	}
	return n
}
