package doors

import (
	"sync"
	"sync/atomic"
	"time"

	"tamarackrudder.org/lib/budget"
	"tamarackrudder.org/lib/clock"
)

// Limits are the bounds of an account.
type Limits struct {
	connections int
	heads       int64
	answers     *budget.Budget
	bodies      *budget.Budget
}

// NewLimits returns the bounds of an account: the number of connections, the bytes of all heads, and the memory of answers and
// of bodies.
func NewLimits(connections int, heads int64, answers, bodies *budget.Budget) Limits {
	return Limits{connections: connections, heads: heads, answers: answers, bodies: bodies}
}

// Reasons for which callers were closed or refused, as keys of a report.
const (
	closedNoRoom  = "noRoom"       // a new connection, with nobody to give way
	closedWaiting = "waiting"      // without a request, for a new connection
	closedHeads   = "headsFull"    // the longest head, for others
	closedBody    = "slowBody"     // a body without progress, where room was short
	closedAnswer  = "slowAnswer"   // an answer without progress, where room was short
	closedUnread  = "unreadAnswer" // an answer of which nothing was read for a long time
	closedAnswers = "answersFull"  // an answer without room
)

const sweepInterval = 500 * time.Millisecond

// Table is the account of all callers of a process.
type Table struct {
	clock   clock.Clock
	limits  Limits
	answers *budget.Budget
	heads   atomic.Int64 // bytes
	mu      sync.Mutex
	callers map[*Caller]struct{}
	closed  map[string]int64
	// refusedBodies is how often bodies had been refused for want of room when that was last looked at, and shortUntil how long
	// room counts as short after that.
	refusedBodies int64
	shortUntil    time.Time
}

// New returns an account without callers, and starts its regular look at them.
func New(c clock.Clock, limits Limits) *Table {
	t := &Table{clock: c, limits: limits, answers: limits.answers, callers: map[*Caller]struct{}{}, closed: map[string]int64{}}
	go t.keepSweeping()
	return t
}

func (t *Table) keepSweeping() {
	for {
		<-t.clock.After(sweepInterval)
		t.Sweep()
	}
}

// Admit returns the account of a new connection, and false if there is no room for it and nobody who gives way. The function
// end makes a connection end that is in the given phase; it is called once at most.
func (t *Table) Admit(end func(Phase)) (*Caller, bool) {
	now := t.clock.Now()
	c := &Caller{table: t, end: end, view: view{at: now, changedAt: now}}
	t.mu.Lock()
	full := len(t.callers) >= t.limits.connections
	var victim *Caller
	if full {
		victim = t.replaceable()
	}
	if full && victim == nil {
		t.closed[closedNoRoom]++
		t.mu.Unlock()
		return nil, false
	}
	t.callers[c] = struct{}{}
	t.mu.Unlock()
	if victim != nil {
		victim.end(Waiting)
	}
	return c, true
}

func (t *Table) remove(c *Caller) {
	c.giveBack()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.callers, c)
}

func (t *Table) refused(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed[reason]++
}

// addHead adds to what a head takes. If all heads together exceed their bound, the longest that is still arriving gives way.
func (t *Table) addHead(c *Caller, n int64) {
	c.head.Add(n)
	held := t.heads.Add(n)
	if c.left.Load() {
		c.giveBack()
	}
	if held <= t.limits.heads {
		return
	}
	t.mu.Lock()
	var longest *Caller
	for other := range t.callers {
		if phaseOf(other.state.Load()) == Head && (longest == nil || other.head.Load() > longest.head.Load()) {
			longest = other
		}
	}
	ended := longest != nil && t.giveWay(longest, longest.state.Load(), closedHeads)
	t.mu.Unlock()
	if ended {
		longest.end(Head)
	}
}

// replaceable marks the caller that gives way to a new connection, and returns nil if there is none; the caller of it holds the
// lock.
func (t *Table) replaceable() *Caller {
	var slowest, idlest *Caller
	for c := range t.callers {
		state := c.state.Load()
		switch p := phaseOf(state); {
		case state&endingBit != 0:
		case (p == Body || p == Answer) && c.view.slow && c.view.state == state:
			slowest = c.longer(slowest)
		case p == Waiting:
			idlest = c.longer(idlest)
		}
	}
	reasons := map[Phase]string{Body: closedBody, Answer: closedAnswer, Waiting: closedWaiting}
	for _, c := range []*Caller{slowest, idlest} {
		if c == nil {
			continue
		}
		state := c.state.Load()
		if reason := reasons[phaseOf(state)]; reason != "" && t.giveWay(c, state, reason) {
			return c
		}
	}
	return nil
}

// longer returns the one of two callers that has made no progress for longer; other may be nil.
func (c *Caller) longer(other *Caller) *Caller {
	if other == nil || c.view.changedAt.Before(other.view.changedAt) {
		return c
	}
	return other
}

// giveWay marks a caller that was seen in a state, unless that has changed since; the caller of it holds the lock.
func (t *Table) giveWay(c *Caller, state uint64, reason string) bool {
	if state&endingBit != 0 || phaseOf(state) == Served || !c.state.CompareAndSwap(state, state|endingBit) {
		return false
	}
	t.closed[reason]++
	return true
}
