package retry

import "sync"

// retrySmoothing is the weight of one run in the smoothed fraction.
const retrySmoothing = 0.02

// Fraction is the smoothed fraction of a backend server's requests that are retries. The backend server's calls do not
// carry the request that they are made for, so each call counts as this fraction of a retry.
type Fraction struct {
	mu       sync.Mutex
	fraction float64
}

// Record records a run, and the probability that it is a retry.
func (f *Fraction) Record(retryFraction float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fraction += retrySmoothing * (retryFraction - f.fraction)
}

// Value returns the fraction of recent runs that were retries, 0 to 1.
func (f *Fraction) Value() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fraction
}
