package doors

import (
	"maps"
	"time"
)

const (
	// window is the shortest time over which a caller's progress is measured.
	window = 2 * time.Second
	// minRate is the least progress in bytes a second that is expected where room is short. What a caller holds also has to move
	// within holdTime.
	minRate  = 1 << 10
	holdTime = time.Minute
	// unreadTime is how long an answer may make no progress at all where there is room.
	unreadTime = 30 * time.Second
)

// view is what the last looks have seen of a caller.
type view struct {
	state     uint64
	moved     int64
	changedAt time.Time // when the state or moved was seen to change
	from      int64     // what moved was at the beginning of the window
	at        time.Time // the beginning of the window
	slow      bool
}

// Report is a moment of an account.
type Report struct {
	Connections map[string]int   `json:"connections"`
	Bytes       map[string]int64 `json:"bytes"`
	Limits      map[string]int64 `json:"limits"`
	Closed      map[string]int64 `json:"closed"`
}

var phaseNames = [phases]string{"waiting", "head", "body", "served", "answer"}

// Report returns what is held now, the bounds, and how many callers were closed or refused for each reason.
func (t *Table) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{
		Connections: map[string]int{},
		Bytes:       map[string]int64{"heads": t.heads.Load(), "bodies": t.limits.bodies.Taken(), "answers": t.answers.Taken()},
		Limits: map[string]int64{
			"connections": int64(t.limits.connections), "heads": t.limits.heads,
			"bodies": t.limits.bodies.Size(), "answers": t.answers.Size(),
		},
		Closed: maps.Clone(t.closed),
	}
	for c := range t.callers {
		r.Connections[phaseNames[phaseOf(c.state.Load())]]++
	}
	return r
}

// Sweep ends the callers whose bodies make no progress while others have lately been refused for want of room, and those that
// have left their answer unread for long.
func (t *Table) Sweep() { t.endSlow(Body) }

// endSlow ends the callers without progress in a phase in which room is short.
func (t *Table) endSlow(phase Phase) {
	type victim struct {
		caller *Caller
		phase  Phase
	}
	var victims []victim
	now := t.clock.Now()
	t.mu.Lock()
	if refused := t.limits.bodies.Refused(); refused != t.refusedBodies {
		t.refusedBodies, t.shortUntil = refused, now.Add(window)
	}
	short := phase == Answer || now.Before(t.shortUntil)
	for c := range t.callers {
		state := c.state.Load()
		reason := c.reasonToEnd(state, now, phase, short)
		if reason != "" && t.giveWay(c, state, reason) {
			victims = append(victims, victim{c, phaseOf(state)})
		}
	}
	t.mu.Unlock()
	for _, v := range victims {
		v.caller.end(v.phase)
	}
}

// reasonToEnd returns why a caller in a state has to give way, given whether room is short in a phase, and an empty text if it
// has not.
func (c *Caller) reasonToEnd(state uint64, now time.Time, phase Phase, short bool) string {
	p, slow := phaseOf(state), c.look(state, now)
	switch {
	case p == Answer && now.Sub(c.view.changedAt) >= unreadTime:
		return closedUnread
	case !slow || !short || p != phase:
		return ""
	case p == Answer:
		return closedAnswer
	}
	return closedBody
}

// look compares a caller in a state with what was seen of it before, and reports whether it was slow over the last window.
func (c *Caller) look(state uint64, now time.Time) bool {
	v, moved := &c.view, c.moved.Load()
	if state != v.state || moved != v.moved {
		v.moved, v.changedAt = moved, now
	}
	if state != v.state {
		v.state, v.from, v.at, v.slow = state, moved, now, false
		return false
	}
	if took := now.Sub(v.at); took >= window {
		v.slow = float64(moved-v.from) < took.Seconds()*c.expectedRate(moved)
		v.from, v.at = moved, now
	}
	return v.slow
}

// expectedRate returns the least progress in bytes a second by which a caller keeps its place where room is short.
func (c *Caller) expectedRate(moved int64) float64 {
	held := max(c.size.Load(), moved-c.began.Load())
	return max(minRate, float64(held)/holdTime.Seconds())
}
