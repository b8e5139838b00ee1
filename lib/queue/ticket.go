package queue

import (
	"time"

	"tamarackrudder.org/lib/fair"
)

// Ticket is one request that is to wait for the backend server.
type Ticket struct {
	run      func()
	drop     func()
	class    string
	priority int
	deadline time.Time
	estimate time.Duration
	queued   bool
	// usefulBy is until when an answer has its full value, zero if only the deadline counts.
	usefulBy time.Time
	begun    bool // it belongs to a request of which a part has run
	queuedAt time.Time
	flow     string
	weight   float64
	slot     fair.Slot
}

// NewTicket returns a ticket with the estimated run time of its request. Once the ticket is queued, exactly one of
// run and drop is called, once, unless the ticket is withdrawn.
func NewTicket(class string, priority int, deadline time.Time, estimate time.Duration, run, drop func()) *Ticket {
	return &Ticket{class: class, priority: priority, deadline: deadline, estimate: estimate, run: run, drop: drop, weight: 1}
}

// WithUsefulBy sets until when an answer to the request has its full value, the zero time if only the deadline counts. It
// returns the ticket.
func (t *Ticket) WithUsefulBy(usefulBy time.Time) *Ticket { t.usefulBy = usefulBy; return t }

// WithBegun sets whether the ticket belongs to a request of which a part has run, as a downstream call does. It returns the ticket.
func (t *Ticket) WithBegun(begun bool) *Ticket { t.begun = begun; return t }
