package retry

import "sync"

// repeatWeight smooths the share of retries over the last runs.
const repeatWeight = 0.02

// Repeats follows how many of the requests that a backend server runs are retries: its calls carry no word of the request
// that they are sent for, so each counts as a retry in that part.
type Repeats struct {
	mu    sync.Mutex
	share float64
}

// Note takes in a run, with the likelihood that it is a retry.
func (r *Repeats) Note(again float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share += repeatWeight * (again - r.share)
}

// Share returns the share of the last runs that were retries, 0 to 1.
func (r *Repeats) Share() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.share
}
