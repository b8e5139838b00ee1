package node

import (
	"cmp"
	"slices"
)

// chooseEndpoint returns the peer address for the next attempt: by rank for a request that must run at the owner of its
// key, otherwise the choice of the picker. It reports false if no endpoint of the service is listed.
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

// chooseOwner returns the highest ranked of the endpoints that were tried the fewest times. Endpoints that are leaving,
// ejected or silent rank behind all others.
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

// healthRank returns 0 for a healthy endpoint and 1 for one that is leaving, ejected or silent.
func (n *Node) healthRank(addr string) int {
	if n.picker.IsHealthy(addr) {
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
