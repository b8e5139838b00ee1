package queue

import "tamarackrudder.org/lib/fair"

// WithFlow sets the flow that the ticket belongs to, such as its organisation. Of the tickets of a priority, each flow that waits
// is served in proportion to its weight, which must be above 0. It returns the ticket.
func (t *Ticket) WithFlow(flow string, weight float64) *Ticket {
	t.flow, t.weight = flow, weight
	return t
}

// enter gives a ticket its place among those of its priority, and returns its index: behind the waiting tickets of higher
// priorities, behind those of other flows that are served before it, and of its own flow behind those whose answers lose their
// value no later.
func (q *Queue) enter(t *Ticket) int {
	if q.flows[t.priority] == nil {
		q.flows[t.priority] = fair.NewTable()
	}
	t.queued, t.slot = true, q.flows[t.priority].Add(t.flow, t.weight)
	index := q.insertIndex(t.priority)
	for index > 0 && q.waiting[index-1].priority == t.priority && t.isBefore(q.waiting[index-1]) {
		index--
	}
	return index
}

// isBefore reports whether a new ticket is served before a waiting one of its priority.
func (t *Ticket) isBefore(waiting *Ticket) bool {
	if t.flow != waiting.flow {
		return t.slot.Start() < waiting.slot.Start()
	}
	return !t.usefulBy.IsZero() && waiting.usefulBy.After(t.usefulBy)
}

// leave records that a ticket leaves without being run.
func (q *Queue) leave(t *Ticket) {
	t.queued = false
	q.flows[t.priority].Removed(t.slot)
}
