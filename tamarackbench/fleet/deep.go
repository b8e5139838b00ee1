package fleet

import (
	"fmt"
	"strings"
)

const (
	deepServices    = 15
	deepEndpoints   = 3
	deepSlots       = 60
	bottleneckSlots = 10
)

// Deep returns a chain of fifteen services, the longest that is planned for. Its last service is the bottleneck.
func Deep() Topology {
	t := Topology{
		name: "deep", zones: []string{"a", "b", "c"}, capacity: 100,
		requestKinds: []RequestKind{
			{class: "lookup", method: "GET", path: "/look/a/", fraction: 0.6},
			{class: "deed", method: "POST", path: "/deed/a", fraction: 0.4},
		},
	}
	var rules strings.Builder
	rules.WriteString("class lookup priority=10 # asked by: bench\nclass deed priority=100 # asked by: bench\n")
	for i := range deepServices {
		s := deepService(i)
		t.services = append(t.services, s)
		fmt.Fprintf(&rules, "service %s slots=%d conns=300 queue=%d # asked by: bench\n", s.name, s.slots, s.slots)
		fmt.Fprintf(&rules, "route GET /look/%s/{id} service=%s kind=idempotent class=lookup timeout=2s retries=1 # asked by: bench\n",
			s.name, s.name)
		fmt.Fprintf(&rules, "route POST /deed/%s service=%s kind=nonIdempotent class=deed timeout=2s retries=1 # asked by: bench\n",
			s.name, s.name)
	}
	t.rules = rules.String()
	return t
}

// deepService returns the service at position i of the chain. Every service except the last calls the next one.
func deepService(i int) Service {
	name, next := string(rune('a'+i)), string(rune('a'+i+1))
	if i == deepServices-1 {
		return Service{name: name, endpoints: deepEndpoints, slots: bottleneckSlots, plans: []string{
			"GET /look/" + name + "/ 300ms", "POST /deed/" + name + " 300ms",
		}}
	}
	return Service{name: name, endpoints: deepEndpoints, slots: deepSlots, plans: []string{
		"GET /look/" + name + "/ 2ms GET:/look/" + next + "/1", "POST /deed/" + name + " 2ms POST:/deed/" + next,
	}}
}
