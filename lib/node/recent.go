package node

import (
	"sync"

	"tamarackrudder.org/lib/recent"
)

// maxRecent bounds each of the two generations of remembered keys.
const maxRecent = 50_000

// recentKeys remembers the idempotency keys of requests that entered at this node, so that a resend gets no new retry
// allowance.
type recentKeys struct {
	mu   sync.Mutex
	keys *recent.Set[string]
}

func newRecentKeys() *recentKeys { return &recentKeys{keys: recent.NewSet[string](maxRecent)} }

// seenBefore reports whether a key has entered here before, and remembers it.
func (k *recentKeys) seenBefore(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	seen := k.keys.Has(key)
	k.keys.Add(key)
	return seen
}
