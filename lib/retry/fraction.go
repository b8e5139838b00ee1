package retry

import "sync"

// retrySmoothing is the weight of one run in the smoothed fraction.
const retrySmoothing = 0.02

// Fraction is the smoothed retry fraction of a backend server: the fraction of the requests that it runs that are
// retries. The backend server's calls do not carry the request that they are made for, so each call counts as a retry
// by this fraction.
type Fraction struct {
	mu       sync.Mutex
	fraction float64
}

// Record records a run, and the probability that it is a retry.
func (r *Fraction) Record(retryFraction float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fraction += retrySmoothing * (retryFraction - r.fraction)
}

// Value returns the fraction of recent runs that were retries, 0 to 1.
func (r *Fraction) Value() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fraction
}
