package claims

import (
	"container/list"
	"sync"
	"time"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/verd"
)

// maxTableBytes bounds the memory of the claims of one table with their stored answers.
const maxTableBytes = 96 << 20

// claimOverheadBytes is the memory of one claim without its key and its answer.
const claimOverheadBytes = 320

// Claim is a key that may have run.
type Claim struct {
	key         string
	fingerprint uint64
	expires     time.Time
	done        bool
	answer      call.Answer
}

// NewClaim returns a claim. The answer of a claim that is not done is not known yet.
func NewClaim(key string, fingerprint uint64, expires time.Time, done bool, answer call.Answer) Claim {
	return Claim{key: key, fingerprint: fingerprint, expires: expires, done: done, answer: answer}
}

// Key returns the idempotency key.
func (c Claim) Key() string { return c.key }

// Fingerprint returns the fingerprint of the request that the key belongs to.
func (c Claim) Fingerprint() uint64 { return c.fingerprint }

// Expires returns the wall time from which the claim may be dropped, since its key is then refused because of its age.
func (c Claim) Expires() time.Time { return c.expires }

// Done reports whether the answer is known.
func (c Claim) Done() bool { return c.done }

// Answer returns the stored answer, which is empty unless the claim is done.
func (c Claim) Answer() call.Answer { return c.answer }

func (c Claim) bytes() int {
	size := claimOverheadBytes + len(c.key)
	if c.done {
		size += len(c.answer.Body())
	}
	return size
}

// entry is a claim in a table. local is false where it was imported, and settled closes when its request ends.
type entry struct {
	claim   Claim
	local   bool
	settled chan struct{}
	element *list.Element
}

// Bounds are the limits that the rules set for the keys of a service.
type Bounds struct {
	horizon time.Duration
	maxKeys int
	future  time.Duration
	skew    time.Duration
}

// NewBounds returns bounds with the age at which unclaimed keys are refused, the number of claims that a table holds, how
// far in the future a key's creation time may lie, and the bound on the skew between the clocks of two hosts.
func NewBounds(horizon time.Duration, maxKeys int, future, skew time.Duration) Bounds {
	return Bounds{horizon: horizon, maxKeys: maxKeys, future: future, skew: skew}
}

// Table holds the claims of one endpoint.
type Table struct {
	clock      clock.Clock
	mu         sync.Mutex
	frozen     bool
	validAfter time.Time
	entries    map[string]*entry
	order      *list.List
	bytes      int
}

// NewTable returns an empty table.
func NewTable(c clock.Clock) *Table {
	return &Table{clock: c, entries: map[string]*entry{}, order: list.New()}
}

// Permission is the permission to claim a key: when the lease was checked, and the key cutoff before which a key may have
// run elsewhere.
type Permission struct {
	at     time.Time
	cutoff time.Time
}

// NewPermission returns the permission that a lease check at the given time gave.
func NewPermission(at, cutoff time.Time) Permission { return Permission{at: at, cutoff: cutoff} }

// Freeze refuses all new claims, so that the handover of the existing ones is complete.
func (t *Table) Freeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.frozen = true
}

// Thaw accepts new claims again, but only with permissions that are given after this call.
func (t *Table) Thaw() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.frozen, t.validAfter = false, t.clock.Now()
}

// ExportAndRevoke returns all claims and invalidates all permissions given before, so that no claim that is missing from
// the returned ones can be added later with such a permission.
func (t *Table) ExportAndRevoke() []Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.validAfter = t.clock.Now()
	return t.claims()
}

// Outcome is how a request with a key proceeds.
type Outcome int

// The outcomes of Claim.
const (
	// Fresh means that the claim is new: the caller runs the request and must settle the claim.
	Fresh Outcome = iota
	// Answered means that the request ends with the answer of the result.
	Answered
	// Running means that the same request is running here: the caller waits until it is settled.
	Running
)

// Result is the result of a claim or of the look-up of a key.
type Result struct {
	outcome Outcome
	answer  call.Answer
	settled <-chan struct{}
}

// Outcome returns how the request proceeds.
func (r Result) Outcome() Outcome { return r.outcome }

// Answer returns the answer with which the request ends, an empty one if it is to run or is running.
func (r Result) Answer() call.Answer { return r.answer }

// Settled returns a channel that closes when the running request ends, nil unless the outcome is Running.
func (r Result) Settled() <-chan struct{} { return r.settled }

func answered(v verd.Verdict) Result { return Result{outcome: Answered, answer: call.Refusal(v)} }

// Lookup returns the result for a key that is claimed already, false for any other key.
func (t *Table) Lookup(key string, fingerprint uint64) (Result, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	if !ok {
		return Result{}, false
	}
	return e.result(fingerprint), true
}

// Claim records a key before its request is sent, or returns the result for a key that is claimed already. An unclaimed
// key that was created before the permission's key cutoff is refused. So is one whose creation time is too far after the
// time of the lease check, even if the call comes later, since a later owner may run the key too.
func (t *Table) Claim(key string, fingerprint uint64, permission Permission, b Bounds) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := permission.at.Round(0)
	t.expire(t.clock.Now().Round(0))
	if e, ok := t.entries[key]; ok {
		return e.result(fingerprint)
	}
	if t.frozen || !permission.at.After(t.validAfter) {
		return answered(verd.NotRun(verd.ReasonLeaving))
	}
	created, readable := CreatedAt(key)
	if v, ok := checkCreated(now, created, readable, permission.cutoff, b); !ok {
		return answered(v)
	}
	if len(t.entries) >= b.maxKeys || t.bytes >= maxTableBytes {
		return Result{outcome: Answered, answer: call.Refusal(verd.NotRun(verd.ReasonKeyTableFull)).WithProvenNotRun(true)}
	}
	if !readable {
		created = now
	}
	expires := created.Add(b.horizon + b.future + b.skew)
	t.add(NewClaim(key, fingerprint, expires, false, call.Answer{}), true)
	return Result{outcome: Fresh}
}

// checkCreated checks the creation time of an unclaimed key. A key without one is accepted once the cutoff is older than
// the horizon.
func checkCreated(now, created time.Time, readable bool, cutoff time.Time, b Bounds) (verd.Verdict, bool) {
	if !readable {
		if now.Before(cutoff.Add(b.horizon)) {
			return verd.MayHaveRun(verd.ReasonKeyUnreadable), false
		}
		return verd.Verdict{}, true
	}
	switch {
	case created.After(now.Add(b.future)):
		return verd.NotRun(verd.ReasonKeyInFuture), false
	case created.Before(cutoff):
		return verd.MayHaveRun(verd.ReasonBeforeOwnership), false
	case !now.Before(created.Add(b.horizon)):
		return verd.MayHaveRun(verd.ReasonKeyExpired), false
	}
	return verd.Verdict{}, true
}

// result returns how a request with a claimed key proceeds.
func (e *entry) result(fingerprint uint64) Result {
	switch {
	case e.claim.fingerprint != fingerprint:
		return answered(verd.NotRun(verd.ReasonKeyReused))
	case e.claim.done:
		return Result{outcome: Answered, answer: e.claim.answer}
	case !e.local:
		return answered(verd.MayHaveRun(verd.ReasonAnswerLost))
	}
	return Result{outcome: Running, settled: e.settled}
}

func (t *Table) add(c Claim, local bool) {
	e := &entry{claim: c, local: local, settled: make(chan struct{})}
	e.element = t.order.PushBack(c.key)
	t.entries[c.key] = e
	t.bytes += c.bytes()
}

func (t *Table) remove(e *entry) {
	t.order.Remove(e.element)
	delete(t.entries, e.claim.key)
	t.bytes -= e.claim.bytes()
}

// expire drops expired claims in the order in which they were added, up to the first that has not expired or whose request
// is running.
func (t *Table) expire(now time.Time) {
	for front := t.order.Front(); front != nil; front = t.order.Front() {
		e := t.entries[front.Value.(string)]
		running := e.local && !e.claim.done
		if running || now.Before(e.claim.expires) {
			return
		}
		t.remove(e)
	}
}

// Settle stores the answer of a claimed request. The claim of one that provably did not run is removed.
func (t *Table) Settle(key string, a call.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	if !ok || e.claim.done {
		return
	}
	defer close(e.settled)
	if a.Verdict().IsNotRun() {
		t.remove(e)
		return
	}
	t.bytes -= e.claim.bytes()
	e.claim.done, e.claim.answer = true, a.WithUnspentRetries(0).WithBackpressure(nil)
	t.bytes += e.claim.bytes()
}

// Answer returns the stored answer of a key, false if none is known.
func (t *Table) Answer(key string) (call.Answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	if !ok || !e.claim.done {
		return call.Answer{}, false
	}
	return e.claim.answer, true
}

// Claims returns all claims, oldest first.
func (t *Table) Claims() []Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.claims()
}

func (t *Table) claims() []Claim {
	claims := make([]Claim, 0, len(t.entries))
	for at := t.order.Front(); at != nil; at = at.Next() {
		claims = append(claims, t.entries[at.Value.(string)].claim)
	}
	return claims
}

// Import adds the claims of another endpoint. A claim with an answer replaces one without that was imported before.
func (t *Table) Import(claims []Claim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range claims {
		old, ok := t.entries[c.key]
		if !ok {
			t.add(c, false)
			continue
		}
		if c.done && !old.claim.done && !old.local {
			t.remove(old)
			t.add(c, false)
		}
	}
}

// Len returns the number of claims.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
