package queue

import (
	"slices"
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/fair"
)

// begunShare is how many times as much run time goes to tickets that have begun as to others while both wait. What has begun is
// to be finished, but not at the price of starving others, which may be more urgent.
const begunShare = 3

// minRunTime is the run time that is assumed at least for a ticket.
const minRunTime = time.Millisecond

// sweepInterval bounds how long a ticket that can no longer finish in time stays in the queue.
const sweepInterval = 20 * time.Millisecond

// Outcome is the result of Put.
type Outcome int

// The outcomes of Put.
const (
	// Queued means that the ticket waits.
	Queued Outcome = iota
	// Full means that the queue is at its capacity and holds no ticket of a lower priority.
	Full
	// TooLate means that the ticket cannot finish before its deadline, or not while an answer has its full value.
	TooLate
	// Closed means that the queue takes no more tickets.
	Closed
)

// Seams are the functions that a queue depends on. They are called under its lock and must not call it.
type Seams struct {
	// Capacity returns how many tickets may wait.
	Capacity func() int
	// Limit returns how many tickets may run at once.
	Limit func() int
	// Estimate returns the estimated run time of a request, over all routes.
	Estimate func() time.Duration
}

// Queue holds waiting tickets by priority, and within a priority by the fair shares of their flows. Of one flow, those whose
// answers lose their value first come first, else the order is that of arrival; those for which it is too late come last.
type Queue struct {
	clock    clock.Clock
	seams    Seams
	mu       sync.Mutex
	runnable *sync.Cond // signalled when a ticket may be able to run
	nonEmpty *sync.Cond // signalled when a ticket has been queued
	waiting  []*Ticket
	flows    map[int]*fair.Table // by priority
	paces    map[int]*pace       // by priority
	// begunDue is the run time that tickets that have begun get before another one's turn.
	begunDue time.Duration
	running  int
	closed   bool
}

// New returns a queue with a fixed number of worker goroutines, each of which runs one ticket at a time.
func New(c clock.Clock, seams Seams, workers int) *Queue {
	q := &Queue{clock: c, seams: seams, flows: map[int]*fair.Table{}, paces: map[int]*pace{}}
	q.runnable, q.nonEmpty = sync.NewCond(&q.mu), sync.NewCond(&q.mu)
	go q.sweep()
	for range workers {
		go func() {
			for q.serve() {
			}
		}()
	}
	return q
}

// sweep drops expired tickets that the workers do not reach, since tickets of higher priority are served first.
func (q *Queue) sweep() {
	for {
		q.mu.Lock()
		for len(q.waiting) == 0 && !q.closed {
			q.nonEmpty.Wait()
		}
		if q.closed {
			q.mu.Unlock()
			return
		}
		expired := q.removeExpired()
		q.mu.Unlock()
		for _, t := range expired {
			t.drop()
		}
		<-q.clock.After(sweepInterval)
	}
}

// removeExpired removes and returns the waiting tickets that can no longer finish in time, or of which the answers would come too
// late for their full value.
func (q *Queue) removeExpired() []*Ticket {
	var expired []*Ticket
	kept := make([]*Ticket, 0, len(q.waiting))
	for i, t := range q.waiting {
		if q.isViable(t, 0) && !q.waitsInVain(t) && !q.willBeLate(t, i) {
			kept = append(kept, t)
			continue
		}
		q.leave(t)
		expired = append(expired, t)
	}
	q.waiting = kept
	return expired
}

// serve runs at most one ticket and reports whether the worker should go on.
func (q *Queue) serve() bool {
	t, expired := q.take()
	for _, e := range expired {
		e.drop()
	}
	if t == nil {
		return len(expired) > 0
	}
	defer q.done()
	t.run()
	return true
}

// take waits for a ticket that may run. It also returns the tickets before it that can no longer finish in time, for
// the caller to drop without the lock.
func (q *Queue) take() (next *Ticket, expired []*Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiting) == 0 || q.running >= q.seams.Limit() {
		if q.closed && len(q.waiting) == 0 {
			return nil, nil
		}
		q.runnable.Wait()
	}
	for len(q.waiting) > 0 {
		t := q.removeNext()
		if q.canFinish(t, 0) || (len(q.waiting) == 0 && q.beforeDeadline(t)) {
			q.flows[t.priority].Served(t.slot)
			q.running++
			return t, expired
		}
		q.leave(t)
		expired = append(expired, t)
	}
	return nil, expired
}

// firstIndex returns the index of the first waiting ticket, or of the first one that has not begun if it is their turn.
func (q *Queue) firstIndex() int {
	if q.begunDue > 0 {
		return 0
	}
	return max(0, slices.IndexFunc(q.waiting, func(t *Ticket) bool { return !t.begun }))
}

// removeNext removes and returns the ticket whose turn it is: the first one, or the first one of the same priority that is not
// late, if any.
func (q *Queue) removeNext() *Ticket {
	first := q.firstIndex()
	next := first
	for i, t := range q.waiting[first:] {
		if t.priority != q.waiting[first].priority {
			break
		}
		if !q.isLate(t, 0) {
			next = first + i
			break
		}
	}
	t := q.waiting[next]
	runTime := max(minRunTime, t.estimate)
	switch {
	case t.begun:
		q.begunDue = max(0, q.begunDue-runTime)
	case q.waiting[0].begun:
		q.begunDue = begunShare * runTime
	}
	q.waiting = slices.Delete(q.waiting, next, next+1)
	t.queued = false
	if p, ok := q.paces[t.priority]; ok {
		p.started(q.clock.Now())
	}
	return t
}

func (q *Queue) done() {
	q.mu.Lock()
	q.running--
	q.mu.Unlock()
	q.runnable.Signal()
}

// canFinish reports whether, by the estimates, a ticket with so many others ahead can finish before its deadline.
func (q *Queue) canFinish(t *Ticket, ahead int) bool {
	wait := time.Duration(0)
	if ahead > 0 {
		wait = q.seams.Estimate() * time.Duration(ahead) / time.Duration(max(1, q.seams.Limit()))
	}
	return !q.clock.Now().Add(wait + t.estimate).After(t.deadline)
}

// startsBefore returns how many of the tickets before the index start before a ticket there.
func (q *Queue) startsBefore(t *Ticket, index int) int {
	if t.begun {
		return index
	}
	others := 0
	for _, before := range q.waiting[:index] {
		if !before.begun {
			others++
		}
	}
	return min(index, (begunShare+1)*(others+1))
}

func (q *Queue) beforeDeadline(t *Ticket) bool { return q.clock.Now().Before(t.deadline) }

// isViable reports whether a ticket with so many others ahead is worth running. While slots are free, every ticket before
// its deadline is: it delays no other ticket, and an estimate that is too high is lowered only by requests that run.
func (q *Queue) isViable(t *Ticket, ahead int) bool {
	if q.running < q.seams.Limit() {
		return q.beforeDeadline(t)
	}
	return q.canFinish(t, ahead)
}

// Put queues a ticket. A full queue drops the newest ticket of the lowest priority if that is below the new ticket's.
func (q *Queue) Put(t *Ticket) Outcome {
	outcome, dropped := q.put(t)
	if dropped != nil {
		dropped.drop()
	}
	return outcome
}

func (q *Queue) put(t *Ticket) (Outcome, *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return Closed, nil
	}
	index := q.enter(t)
	if !q.isViable(t, q.startsBefore(t, index)) || q.willBeLate(t, index) {
		q.leave(t)
		return TooLate, nil
	}
	var dropped *Ticket
	if len(q.waiting) >= q.seams.Capacity() {
		last := len(q.waiting) - 1
		if last < 0 || q.waiting[last].priority >= t.priority {
			q.leave(t)
			return Full, nil
		}
		dropped = q.waiting[last]
		q.leave(dropped)
		q.waiting = q.waiting[:last]
	}
	t.queuedAt = q.clock.Now()
	if !q.waitsAny(t.priority) {
		q.paces[t.priority] = newPace(t.queuedAt)
	}
	q.waiting = slices.Insert(q.waiting, min(index, len(q.waiting)), t)
	q.runnable.Signal()
	q.nonEmpty.Signal()
	return Queued, dropped
}

// insertIndex returns the index behind all waiting tickets of the same or a higher priority.
func (q *Queue) insertIndex(priority int) int {
	for i, t := range q.waiting {
		if t.priority < priority {
			return i
		}
	}
	return len(q.waiting)
}

// waitsAny reports whether a ticket of the priority waits.
func (q *Queue) waitsAny(priority int) bool {
	index := q.insertIndex(priority)
	return index > 0 && q.waiting[index-1].priority == priority
}

// Withdraw removes a ticket whose caller is gone, without calling drop, and reports whether it was still waiting.
func (q *Queue) Withdraw(t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !t.queued {
		return false
	}
	q.leave(t)
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Ticket) bool { return other == t })
	return true
}

// Flush drops all waiting tickets.
func (q *Queue) Flush() {
	q.mu.Lock()
	dropped := q.waiting
	q.waiting = nil
	for _, t := range dropped {
		q.leave(t)
	}
	q.mu.Unlock()
	for _, t := range dropped {
		t.drop()
	}
}

// Wake makes the workers check the limit again, after it may have risen.
func (q *Queue) Wake() { q.runnable.Broadcast() }

// Close refuses new tickets; the workers exit once the waiting ones have run.
func (q *Queue) Close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.runnable.Broadcast()
	q.nonEmpty.Broadcast()
}
