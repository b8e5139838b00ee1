package retry

import "sync"

// Ledger is the retry allowance of one open request, which its downstream calls share.
type Ledger struct {
	mu     sync.Mutex
	left   int
	failed map[uint64]int
}

// NewLedger returns a ledger with the allowance, or with none if that is negative.
func NewLedger(allowance int) *Ledger {
	return &Ledger{left: max(0, allowance), failed: map[uint64]int{}}
}

// Reserve reserves half of the allowance, rounded down, to be sent with one attempt.
func (l *Ledger) Reserve() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	part := l.left / 2
	l.left -= part
	return part
}

// Refund adds the allowance that the attempt's answer reports as unspent, at most what was reserved for the attempt.
func (l *Ledger) Refund(reserved, unspent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left += min(reserved, max(0, unspent))
}

// Spend takes one retry off the allowance, and returns false if none is left.
func (l *Ledger) Spend() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.left == 0 {
		return false
	}
	l.left--
	return true
}

// Left returns the unspent allowance, without the reserved parts.
func (l *Ledger) Left() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.left
}

// RecordFailure records that a downstream call failed, so that the next call with the same fingerprint counts as a retry.
func (l *Ledger) RecordFailure(fingerprint uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed[fingerprint]++
}

// BeginCall reports whether a downstream call of the backend server may be sent; one that repeats a failed call spends a
// retry.
func (l *Ledger) BeginCall(fingerprint uint64) bool {
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
