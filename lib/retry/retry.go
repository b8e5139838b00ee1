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

// Buckets holds a token bucket for each service; a success earns a share of a retry.
type Buckets struct {
	share  float64
	size   float64
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBuckets returns full buckets of a size in retries; share is what a success earns.
func NewBuckets(share, size float64) *Buckets {
	return &Buckets{share: share, size: size, tokens: map[string]float64{}}
}

// SetSize changes how many retries may be saved up; a bucket begins with as many.
func (b *Buckets) SetSize(size float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.size = size
}

// most is how many retries may be saved up; a part of one would never become one.
func (b *Buckets) most() float64 { return max(1, b.size) }

// Earn notes a request that earns its share of a retry at a service.
func (b *Buckets) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.most(), b.level(service)+b.share)
}

// Take takes a retry at a service and reports whether there was one.
func (b *Buckets) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	level := b.level(service)
	if level < 1 {
		return false
	}
	b.tokens[service] = level - 1
	return true
}

func (b *Buckets) level(service string) float64 {
	level, ok := b.tokens[service]
	if !ok {
		return b.size
	}
	return min(b.most(), level)
}
