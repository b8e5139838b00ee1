package origin

import (
	"maps"
	"math"
	"slices"
	"sync"
)

const (
	// minRequests is the number of requests that must have entered beside a service for the service to count.
	minRequests = 2
	// entryServiceRatio is the fraction of all services beside which requests of an entry route must have entered.
	entryServiceRatio = 0.9
	// maxRoutes bounds the routes that are kept.
	maxRoutes = 4096
	// maxListed bounds the result of Routes.
	maxListed = 16
)

// Table holds the entry routes that this node has found or that other nodes have reported.
type Table struct {
	mu          sync.Mutex
	services    int
	entryCounts map[string]map[string]int // number of requests, by route and by the service beside which they entered
	entryRoutes map[string]bool
}

// NewTable returns a table in which every route counts as internal.
func NewTable() *Table {
	return &Table{entryCounts: map[string]map[string]int{}, entryRoutes: map[string]bool{}}
}

// SetServices records how many services have endpoints; a lower count than before is ignored, since the missing
// services may only be unreachable.
func (t *Table) SetServices(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services = max(t.services, count)
}

// RecordRun records a request that runs on this node, and the service beside which it entered, empty if unknown.
func (t *Table) RecordRun(route, entryService string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entryRoutes[route] || entryService == "" {
		return
	}
	counts, found := t.entryCounts[route]
	if !found {
		if len(t.entryCounts) >= maxRoutes {
			return
		}
		counts = map[string]int{}
		t.entryCounts[route] = counts
	}
	counts[entryService]++
	if counts[entryService] == minRequests {
		t.classify(route, counts)
	}
}

// classify marks the route as an entry route once its requests have entered beside enough services.
func (t *Table) classify(route string, counts map[string]int) {
	services := 0
	for _, count := range counts {
		if count >= minRequests {
			services++
		}
	}
	if services > 1 && services >= int(math.Ceil(entryServiceRatio*float64(t.services))) {
		t.entryRoutes[route] = true
		delete(t.entryCounts, route)
	}
}

// MarkEntryRoute marks a route as an entry route, as reported in the answer of a node that runs it.
func (t *Table) MarkEntryRoute(route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entryRoutes) < maxRoutes {
		t.entryRoutes[route] = true
	}
}

// IsEntryRoute reports whether the route has been found or reported to be an entry route.
func (t *Table) IsEntryRoute(route string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entryRoutes[route]
}

// Routes returns at most maxListed of the entry routes, sorted by name.
func (t *Table) Routes() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	routes := slices.Sorted(maps.Keys(t.entryRoutes))
	return routes[:min(maxListed, len(routes))]
}
