package fanout

import (
	"maps"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/gonum/mat"

	"tamarackrudder.org/lib/clock"
)

const (
	// window is the time over which requests and calls are compared.
	window = 200 * time.Millisecond
	// settled is the number of windows after which one is compared; most requests that were open in it have ended.
	settled = 5
	// kept is the part of the sums that is left after each window: they halve in about fifteen seconds.
	kept = 0.99
	// maxRoutes bounds the routes that are told apart, as requests and as calls.
	maxRoutes = 24
	// ridge keeps the solution small where the windows cannot tell routes apart, relative to the mean square.
	ridge = 1e-3
	// fewestCalls is the number of calls for a request below which it is taken to make none.
	fewestCalls = 0.05
	// leastPart is the part of all calls of a route below which those of one source are taken to be another's: the counts
	// are not more exact, and so few calls matter little.
	leastPart = 0.05
	// fewestSeen is how many requests and calls of a route there must have been lately for them to tell anything.
	fewestSeen   = 20.0
	lengthWeight = 0.05
)

// Call is how often a request makes calls of a route.
type Call struct {
	route string
	count float64
}

// NewCall returns a number of calls of a route.
func NewCall(route string, count float64) Call { return Call{route: route, count: count} }

// Route returns the route that is called.
func (c Call) Route() string { return c.route }

// Count returns the number of calls for one request.
func (c Call) Count() float64 { return c.count }

// Run is one request that the backend server runs.
type Run struct {
	route   int
	started time.Time
}

// span is one window: the parts of requests that fell into it, by route, and the calls made in it.
type span struct {
	requests [maxRoutes]float64
	calls    [maxRoutes]float64
}

// Table learns for one backend server.
type Table struct {
	clock   clock.Clock
	mu      sync.Mutex
	sources []string
	lengths [maxRoutes]time.Duration // how long requests run, smoothed
	targets []string
	open    map[*Run]struct{}
	spans   []span // the oldest first; the last one is now
	opened  time.Time
	squares [maxRoutes][maxRoutes]float64
	mixed   [maxRoutes][maxRoutes]float64
	totals  [maxRoutes]float64 // requests of each source, faded like the sums
	made    [maxRoutes]float64 // calls of each target, the same
	calls   map[string][]Call
}

// NewTable returns a table that knows of no calls.
func NewTable(c clock.Clock) *Table {
	return &Table{
		clock: c, open: map[*Run]struct{}{}, spans: make([]span, 1, settled+1), opened: c.Now(), calls: map[string][]Call{},
	}
}

// Started notes that the backend server begins a request of a route.
func (t *Table) Started(route string) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.roll()
	r := &Run{route: place(&t.sources, route), started: now}
	if r.route >= 0 {
		t.open[r] = struct{}{}
	}
	return r
}

// Ended notes the end of a request.
func (t *Table) Ended(r *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.roll()
	if r.route < 0 {
		return
	}
	delete(t.open, r)
	length := now.Sub(r.started)
	t.lengths[r.route] += time.Duration(lengthWeight * float64(length-t.lengths[r.route]))
	for i := range t.spans {
		from, to := t.bounds(i)
		t.spans[i].requests[r.route] += part(r.started, now, from, to, length)
	}
}

// Called notes that the backend server makes a call of a route.
func (t *Table) Called(route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roll()
	if i := place(&t.targets, route); i >= 0 {
		t.spans[len(t.spans)-1].calls[i]++
	}
}

// Calls returns the calls that a request of a route makes, as far as they have been learned; not to be changed.
func (t *Table) Calls(route string) []Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roll()
	return t.calls[route]
}

// Routes returns the routes whose requests make calls, in order.
func (t *Table) Routes() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.calls))
}

// place returns the index of a route, which it adds where there is room, and -1 where there is none.
func place(routes *[]string, route string) int {
	if i := slices.Index(*routes, route); i >= 0 {
		return i
	}
	if len(*routes) == maxRoutes {
		return -1
	}
	*routes = append(*routes, route)
	return len(*routes) - 1
}

// bounds returns when a window began and ends.
func (t *Table) bounds(i int) (from, to time.Time) {
	from = t.opened.Add(-time.Duration(len(t.spans)-1-i) * window)
	return from, from.Add(window)
}

// part returns the part of a request's time that falls into a window.
func part(started, ended, from, to time.Time, length time.Duration) float64 {
	if started.Before(from) {
		started = from
	}
	if ended.After(to) {
		ended = to
	}
	return max(0, float64(ended.Sub(started))) / float64(max(time.Millisecond, length))
}

// roll begins a new window when the time of the last one is over.
func (t *Table) roll() time.Time {
	now := t.clock.Now()
	if now.Sub(t.opened) >= 2*settled*window {
		t.spans, t.opened = append(t.spans[:0], span{}), now // nothing was asked for so long that nothing ran
	}
	for now.Sub(t.opened) >= window {
		t.opened = t.opened.Add(window)
		t.spans = append(t.spans, span{})
		if len(t.spans) > settled {
			t.compare(now)
			t.spans = append(t.spans[:0], t.spans[1:]...)
		}
	}
	return now
}

// compare takes the oldest window into the sums.
func (t *Table) compare(now time.Time) {
	oldest := &t.spans[0]
	from, to := t.bounds(0)
	for r := range t.open {
		length := max(now.Sub(r.started), t.lengths[r.route])
		oldest.requests[r.route] += part(r.started, now, from, to, length)
	}
	for i := range t.sources {
		t.totals[i] = kept*t.totals[i] + oldest.requests[i]
		for j := range t.sources {
			t.squares[i][j] = kept*t.squares[i][j] + oldest.requests[i]*oldest.requests[j]
		}
		for c := range t.targets {
			t.mixed[i][c] = kept*t.mixed[i][c] + oldest.requests[i]*oldest.calls[c]
		}
	}
	for c := range t.targets {
		t.made[c] = kept*t.made[c] + oldest.calls[c]
	}
	t.solve()
}

// solve finds for each called route how often the requests call it.
func (t *Table) solve() {
	calls := map[string][]Call{}
	for c, target := range t.targets {
		if t.made[c] < fewestSeen {
			continue
		}
		for i, count := range t.counts(c) {
			if count >= fewestCalls {
				calls[t.sources[i]] = append(calls[t.sources[i]], NewCall(target, count))
			}
		}
	}
	t.calls = calls
}

// counts solves the least squares for one called route; routes whose
// count comes out below zero, or makes up too small a part of the calls, are left out one by one.
func (t *Table) counts(c int) []float64 {
	active := make([]int, 0, len(t.sources))
	for i, source := range t.sources {
		if t.totals[i] >= fewestSeen && source != t.targets[c] { // a request would never end that calls its own route
			active = append(active, i)
		}
	}
	counts := make([]float64, len(t.sources))
	for len(active) > 0 {
		solved, ok := t.solveFor(active, c)
		if !ok {
			return counts
		}
		worst, least, sum := 0, 0.0, 0.0
		for k, i := range active {
			calls := solved.AtVec(k) * t.totals[i]
			sum += max(0, calls)
			if k == 0 || calls < least {
				worst, least = k, calls
			}
		}
		if least >= leastPart*sum {
			for k, i := range active {
				counts[i] = solved.AtVec(k)
			}
			return counts
		}
		active = slices.Delete(active, worst, worst+1)
	}
	return counts
}

func (t *Table) solveFor(active []int, c int) (*mat.VecDense, bool) {
	n := len(active)
	squares, mixed := mat.NewSymDense(n, nil), mat.NewVecDense(n, nil)
	for k, i := range active {
		for l, j := range active[:k+1] {
			squares.SetSym(k, l, t.squares[i][j])
		}
		squares.SetSym(k, k, t.squares[i][i]*(1+ridge))
		mixed.SetVec(k, t.mixed[i][c])
	}
	var factors mat.Cholesky
	if !factors.Factorize(squares) {
		return nil, false
	}
	solved := mat.NewVecDense(n, nil)
	return solved, factors.SolveVecTo(solved, mixed) == nil
}
