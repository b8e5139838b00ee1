package queue

import "time"

// paceWindow is the time over which starts are counted: beyond it, older ones count half.
const paceWindow = 200 * time.Millisecond

// pace is how fast the tickets of one priority have been started since one had to wait. It shows what the length of the queue
// does not: that tickets of higher priorities keep arriving.
type pace struct {
	since     time.Time
	lastStart time.Time
	starts    float64
}

func newPace(now time.Time) *pace { return &pace{since: now, lastStart: now} }

// started records the start of a ticket.
func (p *pace) started(now time.Time) {
	p.starts++
	p.lastStart = now
	if passed := now.Sub(p.since); passed > paceWindow {
		p.since = now.Add(-passed / 2)
		p.starts /= 2
	}
}

// wait returns how long a ticket has to expect to wait behind so many of its priority: as long as they take at this pace, and
// no less than none of them has been started.
func (p *pace) wait(now time.Time, ahead int) time.Duration {
	wait := now.Sub(p.lastStart)
	if p.starts > 0 {
		wait = max(wait, time.Duration(float64(now.Sub(p.since))*float64(ahead)/p.starts))
	}
	return wait
}

// isLate reports whether a ticket that waits for so long from now on finishes, by its estimate, when its answer no longer has its
// full value.
func (q *Queue) isLate(t *Ticket, wait time.Duration) bool {
	return !t.usefulBy.IsZero() && q.clock.Now().Add(wait+t.estimate).After(t.usefulBy)
}

// expectedWait returns how long a ticket at the index has to expect to wait: until the tickets before it have run, and no less
// than the pace of its priority says.
func (q *Queue) expectedWait(t *Ticket, index int) time.Duration {
	wait := q.seams.Estimate() * time.Duration(q.startsBefore(t, index)) / time.Duration(max(1, q.seams.Limit()))
	first := index
	for first > 0 && q.waiting[first-1].priority == t.priority {
		first--
	}
	if p, ok := q.paces[t.priority]; ok && first < len(q.waiting) && q.waiting[first].priority == t.priority {
		wait = max(wait, p.wait(q.clock.Now(), index-first))
	}
	return wait
}

// willBeLate reports whether a ticket at the index finishes in time for its full value if it runs at once, but not after the wait
// that it has to expect.
func (q *Queue) willBeLate(t *Ticket, index int) bool {
	if t.usefulBy.IsZero() || q.running < q.seams.Limit() || q.isLate(t, 0) {
		return false
	}
	return q.isLate(t, q.expectedWait(t, index))
}

// waitsInVain reports whether a waiting ticket is late and, at the pace of its priority, of which those that are not late come first,
// does not finish before its deadline either.
func (q *Queue) waitsInVain(t *Ticket) bool {
	if !q.isLate(t, 0) || q.running < q.seams.Limit() {
		return false
	}
	p, ok := q.paces[t.priority]
	if !ok || !p.lastStart.After(t.queuedAt) {
		return true // none has been started since it was queued
	}
	before := -1
	for _, other := range q.waiting {
		if other.priority == t.priority {
			before++
		}
	}
	return q.clock.Now().Add(p.wait(q.clock.Now(), before) + t.estimate).After(t.deadline)
}
