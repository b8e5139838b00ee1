package quota

import (
	"context"
	"errors"
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
)

const (
	// askTimeout bounds how long a node waits for a home.
	askTimeout = 250 * time.Millisecond
	// deadTime is how long a home that did not listen is not asked, silentTime one that did not answer.
	deadTime   = 300 * time.Millisecond
	silentTime = time.Second
	// maxAsked is how many homes that are not dead a node asks for one request.
	maxAsked = 3
	// maxReturns is how many organisations may wait for their tokens to be given back; those of further ones are lost.
	maxReturns = 256
)

// EntrySeams are the functions of the node that requests enter.
type EntrySeams struct {
	// Ask sends an ask to a home. The error wraps ErrNotListening if no process listens at the address.
	Ask func(ctx context.Context, addr string, a Ask) (Grant, error)
	// Fallback grants tokens of this node's own share.
	Fallback func(organisation string, want int, l Limits) Grant
	// Random returns a random number in [0, 1).
	Random func() float64
}

// Entry gets the tokens for requests that enter at this node.
type Entry struct {
	clock   clock.Clock
	self    string
	bounds  Bounds
	ranking *Ranking
	seams   EntrySeams
	mu      sync.Mutex
	askers  map[string]*asker
	skipped map[string]time.Time // until when a home is not asked
	returns chan string          // organisations whose tokens are to be given back
}

// asker gets the tokens of one organisation.
type asker struct {
	turn     chan struct{} // full while an ask is under way
	open     *batch        // the requests for which the next ask will be, nil if there are none
	holdTill time.Time
	next     time.Time // when the next refused request may come back
	spacing  time.Duration
	refused  int
	returned int
	homeless bool
}

// batch is a number of requests served by one ask.
type batch struct {
	size    int
	done    chan struct{}
	granted int
	askedAt time.Time
}

// Token is the right to run one request.
type Token struct {
	organisation string
	askedAt      time.Time
}

// Refusal says why there is no token for a request.
type Refusal struct {
	retryAfter time.Duration
	homeless   bool
}

// RetryAfter returns when the request may come back.
func (r Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Homeless reports whether no home that knows the whole fleet's use could be asked.
func (r Refusal) Homeless() bool { return r.homeless }

// NewEntry returns an entry without tokens for the node at the address self. Its worker, which gives tokens back, ends with the
// context.
func NewEntry(ctx context.Context, c clock.Clock, self string, b Bounds, ranking *Ranking, seams EntrySeams) *Entry {
	e := &Entry{
		clock: c, self: self, bounds: b, ranking: ranking, seams: seams,
		askers: map[string]*asker{}, skipped: map[string]time.Time{}, returns: make(chan string, maxReturns),
	}
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case organisation := <-e.returns:
				e.giveBack(organisation)
			}
		}
	}()
	return e
}

// Take gets a token for a request of an organisation, or a refusal.
func (e *Entry) Take(ctx context.Context, organisation string, l Limits) (t Token, r Refusal, ok bool) {
	s, b, first := e.join(organisation)
	switch {
	case b == nil:
		return Token{}, e.refuse(s), false
	case first:
		e.ask(organisation, l, s, b)
	}
	select {
	case <-b.done:
	case <-ctx.Done():
		return Token{}, Refusal{}, false
	}
	if e.claim(b) {
		return Token{organisation: organisation, askedAt: b.askedAt}, Refusal{}, true
	}
	return Token{}, e.refuse(s), false
}

// claim takes one of the tokens that a batch got.
func (e *Entry) claim(b *batch) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.granted == 0 {
		return false
	}
	b.granted--
	return true
}

// GiveBack returns the token of a request that did not run. It does not wait for the home.
func (e *Entry) GiveBack(t Token) {
	if e.clock.Now().Sub(t.askedAt) >= returnTime {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.askerOf(t.organisation).returned++
	select {
	case e.returns <- t.organisation:
	default:
	}
}

// giveBack tells the home of an organisation of the tokens given back, unless an ask has done so.
func (e *Entry) giveBack(organisation string) {
	e.mu.Lock()
	s := e.askerOf(organisation)
	a := NewAsk(organisation, e.self, 0).WithReturned(s.returned)
	s.returned = 0
	e.mu.Unlock()
	if a.returned > 0 {
		e.askHomes(a)
	}
}

// join adds a request to the next ask, and reports whether it is the first of it, which then has to ask. There is no batch while
// the home must not be asked.
func (e *Entry) join(organisation string) (s *asker, b *batch, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s = e.askerOf(organisation)
	if e.clock.Now().Before(s.holdTill) {
		s.refused++
		return s, nil, false
	}
	if s.open == nil {
		s.open, first = &batch{done: make(chan struct{})}, true
	}
	s.open.size++
	return s, s.open, first
}

func (e *Entry) askerOf(organisation string) *asker {
	s, ok := e.askers[organisation]
	if !ok {
		if len(e.askers) >= maxBuckets {
			clear(e.askers)
		}
		s = &asker{turn: make(chan struct{}, 1)}
		e.askers[organisation] = s
	}
	return s
}

func (e *Entry) refuse(s *asker) Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Refusal{retryAfter: e.appointment(s), homeless: s.homeless}
}

// appointment returns when the next refused request may come back. Those that the window does not hold are spread over its
// second half.
func (e *Entry) appointment(s *asker) time.Duration {
	now := e.clock.Now()
	s.next = later(s.next, now).Add(s.spacing)
	if wait := s.next.Sub(now); wait <= e.bounds.window {
		return wait
	}
	s.next = now.Add(e.bounds.window)
	return time.Duration((1 + e.seams.Random()) / 2 * float64(e.bounds.window))
}

// ask gets the tokens for a batch, after the ask before it has ended.
func (e *Entry) ask(organisation string, l Limits, s *asker, b *batch) {
	s.turn <- struct{}{}
	defer func() { <-s.turn }()
	e.mu.Lock()
	s.open = nil
	a := NewAsk(organisation, e.self, b.size).WithRefused(s.refused).WithReturned(s.returned)
	s.refused, s.returned = 0, 0
	e.mu.Unlock()
	askedAt := e.clock.Now()
	g := e.askHomes(a)
	if missing := a.want - g.granted; missing > 0 && !g.full {
		g = e.seams.Fallback(organisation, missing, l).plus(g.granted)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	b.granted, b.askedAt = g.granted, askedAt
	if g.granted < a.want {
		s.holdTill = now.Add(g.hold)
		s.spacing = g.spacing
		s.next = later(s.next, now.Add(g.wait-g.spacing))
	}
	s.homeless = !g.full
	close(b.done)
}

// askHomes asks the homes of an organisation one after the other, until one knows the whole fleet's use.
func (e *Entry) askHomes(a Ask) Grant {
	p, ok := e.ranking.Place(a.organisation)
	if !ok {
		return Grant{}
	}
	var total Grant
	asked := 0
	for _, addr := range p.homes {
		if asked == maxAsked || e.isSkipped(addr) {
			continue
		}
		g, err := e.askHome(addr, a)
		switch {
		case errors.Is(err, ErrNotListening):
			e.skip(addr, deadTime)
			continue
		case err != nil:
			e.skip(addr, silentTime)
			asked++
			continue
		}
		asked++
		total = g.plus(total.granted)
		a.want -= g.granted
		if g.full || a.want == 0 {
			break
		}
	}
	return total
}

func (e *Entry) askHome(addr string, a Ask) (Grant, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	return e.seams.Ask(ctx, addr, a)
}

func (e *Entry) isSkipped(addr string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Now().Before(e.skipped[addr])
}

func (e *Entry) skip(addr string, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for other, until := range e.skipped {
		if !now.Before(until) {
			delete(e.skipped, other)
		}
	}
	e.skipped[addr] = now.Add(d)
}
