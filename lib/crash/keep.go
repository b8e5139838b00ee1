package crash

import (
	"cmp"
	"slices"
	"time"
)

// evictedAtOnce is the number of marks that make room when the table is full, so that it is sorted seldom.
const evictedAtOnce = maxMarks / 8

// rank is how much a mark matters. Most requests that are in flight at a crash have not caused it, and seldom are in flight
// at a second one.
type rank int

const (
	rankSucceeded rank = iota // it was in flight at one crash, and has succeeded here
	rankSingle                // it was in flight at one crash
	rankRepeated              // it was in flight at more
)

func (t *Table) rankOf(m Mark) rank {
	switch {
	case len(m.crashes) >= crashesToBlock:
		return rankRepeated
	case t.succeeded.Has(m.fingerprint):
		return rankSucceeded
	}
	return rankSingle
}

// latest returns the time of the last crash, the zero time if there is none.
func (m Mark) latest() time.Time {
	var last time.Time
	for _, c := range m.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// compareLatest orders marks of later crashes before others.
func compareLatest(a, b Mark) int { return b.latest().Compare(a.latest()) }

// sorted returns the marks, those that matter most first, and of equal ones those of later crashes.
func (t *Table) sorted() []Mark {
	marks := make([]Mark, 0, len(t.marks))
	for _, m := range t.marks {
		marks = append(marks, m)
	}
	slices.SortFunc(marks, func(a, b Mark) int {
		return cmp.Or(cmp.Compare(t.rankOf(b), t.rankOf(a)), compareLatest(a, b))
	})
	return marks
}

// evict makes room in a full table. It keeps the marks of repeated crashes before those of single ones.
func (t *Table) evict() {
	t.prune()
	if len(t.marks) <= maxMarks {
		return
	}
	for _, m := range t.sorted()[maxMarks-evictedAtOnce:] {
		delete(t.marks, m.fingerprint)
	}
}

// Marks returns marks to be sent to peers: all of repeated crashes, and those of single crashes for suspectSpreadTime. Beyond
// maxSentMarks it chooses the latest of the former and any of the latter, so that each is sent before long. What has succeeded
// here is not sent, since peers that have not run it yet would refuse it.
func (t *Table) Marks() []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune()
	var repeated, single []Mark
	for _, m := range t.marks { // in random order
		switch {
		case t.succeeded.Has(m.fingerprint):
		case len(m.crashes) >= crashesToBlock:
			repeated = append(repeated, m)
		case t.now().Sub(m.latest()) < suspectSpreadTime:
			single = append(single, m)
		}
	}
	if len(repeated) > maxSentMarks {
		slices.SortFunc(repeated, compareLatest)
		repeated = repeated[:maxSentMarks]
	}
	return append(repeated, single[:min(len(single), maxSentMarks-len(repeated))]...)
}

// Len returns the number of marks.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune()
	return len(t.marks)
}
