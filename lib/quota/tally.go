package quota

import "time"

// tallySteps is the number of groups in which a tally counts a span.
const tallySteps = 64

// tally sums what was added within a span that slides. It counts nothing for less than the span.
type tally struct {
	span   time.Duration
	groups []group
}

// group is what was added within a fraction of the span.
type group struct {
	first, last time.Time
	count       float64
}

func (t *tally) sum(now time.Time) float64 {
	for len(t.groups) > 0 && now.Sub(t.groups[0].last) > t.span {
		t.groups = t.groups[1:]
	}
	total := 0.0
	for _, g := range t.groups {
		total += g.count
	}
	return total
}

func (t *tally) add(now time.Time, count float64) {
	if i := len(t.groups) - 1; i >= 0 && now.Sub(t.groups[i].first) < t.span/tallySteps {
		t.groups[i].last = now
		t.groups[i].count += count
		return
	}
	t.groups = append(t.groups, group{first: now, last: now, count: count})
}

// remove takes a count out of what was added last.
func (t *tally) remove(count float64) {
	for i := len(t.groups) - 1; i >= 0 && count > 0; i-- {
		part := min(count, t.groups[i].count)
		t.groups[i].count -= part
		count -= part
	}
}

// freeAt returns when the sum will have fallen by a count.
func (t *tally) freeAt(now time.Time, count float64) time.Time {
	for _, g := range t.groups {
		count -= g.count
		if count <= 0 {
			return later(now, g.last.Add(t.span))
		}
	}
	return now
}
