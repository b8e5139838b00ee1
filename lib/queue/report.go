package queue

import "slices"

// busyLimitDivisor sets busyThreshold: once the limit divided by it, in tickets, waits in a class or above, the class
// counts as busy and lower ones as held back.
const busyLimitDivisor = 8

// Counts returns the numbers of running and of waiting tickets.
func (q *Queue) Counts() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting)
}

// Running returns the number of tickets that run.
func (q *Queue) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running
}

// InFlight returns the number of tickets that run or wait.
func (q *Queue) InFlight() int {
	running, waiting := q.Counts()
	return running + waiting
}

// HoldsBack reports whether enough tickets of higher priorities wait (busyThreshold) that one of this priority is held
// back.
func (q *Queue) HoldsBack(priority int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	threshold := q.busyThreshold()
	return len(q.waiting) >= threshold && q.waiting[threshold-1].priority > priority
}

// IsBusy reports whether enough tickets of this priority or above wait (busyThreshold) that the class counts as busy.
func (q *Queue) IsBusy(priority int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.insertIndex(priority) >= q.busyThreshold()
}

// busyThreshold returns the number of waiting tickets from which a class counts as busy, and lower ones as held back.
func (q *Queue) busyThreshold() int { return max(1, q.seams.Limit()/busyLimitDivisor) }

// Depth is the number of waiting tickets of one class.
type Depth struct {
	class string
	count int
}

// Class returns the name of the class.
func (d Depth) Class() string { return d.class }

// Count returns the number of waiting tickets, at least 1.
func (d Depth) Count() int { return d.count }

// Depths returns the waiting tickets by class, highest priority first, without the classes that have none.
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
