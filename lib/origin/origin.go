package origin

import (
	"maps"
	"math"
	"slices"
	"sync"
)

const (
	// enough is how many requests must have entered beside a service for it to count.
	enough = 2
	// nearlyAll is the part of the services beside which a route of callers enters.
	nearlyAll = 0.9
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 4096
	// mostListed bounds the routes that are listed.
	mostListed = 16
)

// Table knows the routes that callers use.
type Table struct {
	mu       sync.Mutex
	services int
	entered  map[string]map[string]int // by route and by the service beside which requests entered
	callers  map[string]bool
}

// NewTable returns a table that takes every route for one that only backend servers call.
func NewTable() *Table {
	return &Table{entered: map[string]map[string]int{}, callers: map[string]bool{}}
}

// SetServices notes how many services have endpoints; fewer than before may only be out of reach.
func (t *Table) SetServices(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services = max(t.services, count)
}

// Ran notes a request that is run here and entered beside a service.
func (t *Table) Ran(route, beside string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.callers[route] || beside == "" {
		return
	}
	counts, known := t.entered[route]
	if !known {
		if len(t.entered) >= maxRoutes {
			return
		}
		counts = map[string]int{}
		t.entered[route] = counts
	}
	counts[beside]++
	if counts[beside] == enough {
		t.judge(route, counts)
	}
}

func (t *Table) judge(route string, counts map[string]int) {
	from := 0
	for _, count := range counts {
		if count >= enough {
			from++
		}
	}
	if from > 1 && from >= int(math.Ceil(nearlyAll*float64(t.services))) {
		t.callers[route] = true
		delete(t.entered, route)
	}
}

// Told notes that a node which runs a route has found it to be one of callers.
func (t *Table) Told(route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.callers) < maxRoutes {
		t.callers[route] = true
	}
}

// IsCallers reports whether callers use a route.
func (t *Table) IsCallers(route string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.callers[route]
}

// Routes returns some of the routes that callers use, in order.
func (t *Table) Routes() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	routes := slices.Sorted(maps.Keys(t.callers))
	return routes[:min(mostListed, len(routes))]
}
