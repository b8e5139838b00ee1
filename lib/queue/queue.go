package queue

import (
	"slices"
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
)

// Ticket is one waiting request.
type Ticket struct {
	run      func()
	drop     func()
	class    string
	priority int
	deadline time.Time
	needs    time.Duration
	waiting  bool
}

// NewTicket returns a ticket that needs an estimated time to run; exactly one of run and drop is called, once, unless the
// ticket is withdrawn.
func NewTicket(class string, priority int, deadline time.Time, needs time.Duration, run, drop func()) *Ticket {
	return &Ticket{class: class, priority: priority, deadline: deadline, needs: needs, run: run, drop: drop}
}

// holdingShare is the part of the limit, as its inverse, that must wait before a class counts as busy and lower ones as
// held back.
const holdingShare = 8

// sweepEvery bounds how long a ticket waits on that can no longer finish in time.
const sweepEvery = 20 * time.Millisecond

// Outcome says what became of a ticket that was put.
type Outcome int

// The outcomes of Put.
const (
	Queued Outcome = iota
	Full
	TooLate
	Closed
)

// Seams are the varying parts of a queue, each called under its lock.
type Seams struct {
	// Capacity returns how many tickets may wait.
	Capacity func() int
	// Limit returns how many tickets may run at once.
	Limit func() int
	// Estimate returns how long one request runs, over all of them.
	Estimate func() time.Duration
}

// Queue holds tickets by priority.
type Queue struct {
	clock   clock.Clock
	seams   Seams
	mu      sync.Mutex
	ready   *sync.Cond // a ticket may run
	filled  *sync.Cond // a ticket waits
	waiting []*Ticket
	running int
	closed  bool
}

// New returns a queue served by a fixed pool of workers; each takes a ticket, runs it and returns for the next.
func New(c clock.Clock, seams Seams, workers int) *Queue {
	q := &Queue{clock: c, seams: seams}
	q.ready, q.filled = sync.NewCond(&q.mu), sync.NewCond(&q.mu)
	go q.sweep()
	for range workers {
		go func() {
			for q.serve() {
			}
		}()
	}
	return q
}

// sweep drops the tickets whose time runs out while others are served before them.
func (q *Queue) sweep() {
	for {
		q.mu.Lock()
		for len(q.waiting) == 0 && !q.closed {
			q.filled.Wait()
		}
		if q.closed {
			q.mu.Unlock()
			return
		}
		late := q.late()
		q.mu.Unlock()
		for _, t := range late {
			t.drop()
		}
		<-q.clock.After(sweepEvery)
	}
}

// late takes out the tickets that can no longer finish in time.
func (q *Queue) late() []*Ticket {
	var late []*Ticket
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket) bool {
		if q.inTime(t, 0) {
			return false
		}
		t.waiting = false
		late = append(late, t)
		return true
	})
	return late
}

// serve runs one ticket and reports whether the queue is still open.
func (q *Queue) serve() bool {
	t, late := q.take()
	for _, l := range late {
		l.drop()
	}
	if t == nil {
		return len(late) > 0
	}
	defer q.done()
	t.run()
	return true
}

// take waits for a ticket that may run, and gives back with it those whose time ran out before it.
func (q *Queue) take() (next *Ticket, late []*Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiting) == 0 || q.running >= q.seams.Limit() {
		if q.closed && len(q.waiting) == 0 {
			return nil, nil
		}
		q.ready.Wait()
	}
	for len(q.waiting) > 0 {
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		t.waiting = false
		if q.fits(t, 0) || (len(q.waiting) == 0 && q.isOpen(t)) {
			q.running++
			return t, late
		}
		late = append(late, t)
	}
	return nil, late
}

func (q *Queue) done() {
	q.mu.Lock()
	q.running--
	q.mu.Unlock()
	q.ready.Signal()
}

// fits reports whether a ticket that waits for the given number of others can still finish in time.
func (q *Queue) fits(t *Ticket, ahead int) bool {
	wait := time.Duration(0)
	if ahead > 0 {
		wait = q.seams.Estimate() * time.Duration(ahead) / time.Duration(max(1, q.seams.Limit()))
	}
	return !q.clock.Now().Add(wait + t.needs).After(t.deadline)
}

// isOpen reports whether a ticket's deadline has not passed.
func (q *Queue) isOpen(t *Ticket) bool { return q.clock.Now().Before(t.deadline) }

// inTime reports whether a ticket at a place of the line is worth running. Where there is room, one whose deadline has
// not passed is: it keeps no other out, and how long it runs is only known by letting some run.
func (q *Queue) inTime(t *Ticket, place int) bool {
	if q.running < q.seams.Limit() {
		return q.isOpen(t)
	}
	return q.fits(t, place)
}

// Put queues a ticket; when full it drops the newest ticket of the lowest priority below the new one's.
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
	place := q.place(t.priority)
	if !q.inTime(t, place) {
		return TooLate, nil
	}
	var dropped *Ticket
	if len(q.waiting) >= q.seams.Capacity() {
		last := len(q.waiting) - 1
		if last < 0 || q.waiting[last].priority >= t.priority {
			return Full, nil
		}
		dropped = q.waiting[last]
		dropped.waiting = false
		q.waiting = q.waiting[:last]
	}
	t.waiting = true
	q.waiting = slices.Insert(q.waiting, min(place, len(q.waiting)), t)
	q.ready.Signal()
	q.filled.Signal()
	return Queued, dropped
}

// place returns the index behind all tickets of the same or a higher priority.
func (q *Queue) place(priority int) int {
	for i, t := range q.waiting {
		if t.priority < priority {
			return i
		}
	}
	return len(q.waiting)
}

// Withdraw takes a ticket out that nobody waits for any more and reports whether it had not started.
func (q *Queue) Withdraw(t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !t.waiting {
		return false
	}
	t.waiting = false
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Ticket) bool { return other == t })
	return true
}

// Flush drops all tickets that wait.
func (q *Queue) Flush() {
	q.mu.Lock()
	dropped := q.waiting
	q.waiting = nil
	for _, t := range dropped {
		t.waiting = false
	}
	q.mu.Unlock()
	for _, t := range dropped {
		t.drop()
	}
}

// Counts returns how many tickets run and how many wait.
func (q *Queue) Counts() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting)
}

// Wake lets the workers look at the limit again.
func (q *Queue) Wake() { q.ready.Broadcast() }

// Close refuses new tickets; the workers end once those that wait have run.
func (q *Queue) Close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.ready.Broadcast()
	q.filled.Broadcast()
}

// Running returns how many tickets run.
func (q *Queue) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running
}

// Open returns how many tickets run or wait.
func (q *Queue) Open() int {
	running, waiting := q.Counts()
	return running + waiting
}

// Holds reports whether a ticket of a priority would wait behind a good number of tickets of higher ones.
func (q *Queue) Holds(priority int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	many := q.many()
	return len(q.waiting) >= many && q.waiting[many-1].priority > priority
}

// IsBusy reports whether a good number of tickets of a priority or above wait.
func (q *Queue) IsBusy(priority int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.place(priority) >= q.many()
}

// many returns how many waiting tickets count as a good number.
func (q *Queue) many() int { return max(1, q.seams.Limit()/holdingShare) }

// Depth is the number of tickets of a class that wait.
type Depth struct {
	class string
	count int
}

// Class returns the class.
func (d Depth) Class() string { return d.class }

// Count returns the number of waiting tickets.
func (d Depth) Count() int { return d.count }

// Depths returns the waiting tickets by class, highest priority first.
func (q *Queue) Depths() []Depth {
	q.mu.Lock()
	defer q.mu.Unlock()
	var depths []Depth
	for _, t := range q.waiting {
		i := slices.IndexFunc(depths, func(d Depth) bool { return d.class == t.class })
		if i < 0 {
			depths = append(depths, Depth{class: t.class, count: 1})
			continue
		}
		depths[i].count++
	}
	return depths
}
