package retry

import "sync"

// Ledger is the allowance of one open request, shared by its deeper attempts.
type Ledger struct {
	mu     sync.Mutex
	left   int
	failed map[uint64]int
}

// NewLedger returns a ledger with the given allowance.
func NewLedger(allowance int) *Ledger {
	return &Ledger{left: max(0, allowance), failed: map[uint64]int{}}
}

// Hand takes a part of the allowance out for one attempt and keeps the rest.
func (l *Ledger) Hand() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	part := l.left / 2
	l.left -= part
	return part
}

// Return gives back what an answer says was unspent, at most what was handed out.
func (l *Ledger) Return(handed, unspent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left += min(handed, max(0, unspent))
}

// Spend takes one retry and reports whether there was one.
func (l *Ledger) Spend() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.left == 0 {
		return false
	}
	l.left--
	return true
}

// Left returns the unspent allowance.
func (l *Ledger) Left() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.left
}

// Failed notes that a deeper attempt failed, so that the same request again counts as a retry.
func (l *Ledger) Failed(fingerprint uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed[fingerprint]++
}

// Begin admits a deeper request of a backend server; one that repeats a failed one spends a retry.
func (l *Ledger) Begin(fingerprint uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed[fingerprint] == 0 {
		return true
	}
	if l.left == 0 {
		return false
	}
	l.left--
	l.failed[fingerprint]--
	return true
}
