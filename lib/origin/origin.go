package origin

import "sync"

const (
	// enough is how many requests must enter beside the service that runs them.
	enough = 3
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 4096
)

// Table knows the routes that callers use.
type Table struct {
	mu      sync.Mutex
	entered map[string]int
	callers map[string]bool
}

// NewTable returns a table that takes every route for one that only backend servers call.
func NewTable() *Table { return &Table{entered: map[string]int{}, callers: map[string]bool{}} }

// Entered notes a request that entered here and is run by the own service.
func (t *Table) Entered(route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.callers[route] || len(t.entered) >= maxRoutes {
		return
	}
	t.entered[route]++
	if t.entered[route] >= enough {
		t.callers[route] = true
		delete(t.entered, route)
	}
}

// Told notes that a node beside the service of a route knows it as one of callers.
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
