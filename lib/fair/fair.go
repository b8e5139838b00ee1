package fair

import "maps"

// maxIdle is how many flows without waiting requests are kept at least.
const maxIdle = 64

// Table gives the requests of flows their virtual start times.
type Table struct {
	now   float64            // the start time of the request that was served last
	next  map[string]float64 // the start time of a flow's next request, for flows whose requests wait
	count map[string]int     // waiting requests
}

// NewTable returns a table in which no request waits.
func NewTable() *Table { return &Table{next: map[string]float64{}, count: map[string]int{}} }

// Slot is the place of one waiting request.
type Slot struct {
	flow  string
	start float64
	cost  float64
}

// Start returns the virtual start time; of two requests the one with the lower is served first.
func (s Slot) Start() float64 { return s.start }

// Add returns the place of a flow's new request, behind all those of the flow. A flow with twice the weight of another gets
// twice as many requests served while both wait; a weight must be above 0.
func (t *Table) Add(flow string, weight float64) Slot {
	s := Slot{flow: flow, start: max(t.now, t.next[flow]), cost: 1 / weight}
	t.next[flow] = s.start + s.cost
	t.count[flow]++
	return s
}

// Served records that a request is served.
func (t *Table) Served(s Slot) {
	t.now = max(t.now, s.start)
	t.leave(s)
}

// Removed records that a request has left without being served. The last one of its flow then does not count against the flow;
// in place of another one, no later request may move ahead of those of its flow that wait.
func (t *Table) Removed(s Slot) {
	if t.next[s.flow] == s.start+s.cost {
		t.next[s.flow] = s.start
	}
	t.leave(s)
}

// leave forgets flows without waiting requests that are not ahead of the others.
func (t *Table) leave(s Slot) {
	t.count[s.flow]--
	if t.count[s.flow] > 0 {
		return
	}
	delete(t.count, s.flow)
	if len(t.count) == 0 {
		t.now = 0
		clear(t.next)
	}
	if len(t.next) > 2*len(t.count)+maxIdle {
		maps.DeleteFunc(t.next, func(flow string, next float64) bool { return t.count[flow] == 0 && next <= t.now })
	}
}
