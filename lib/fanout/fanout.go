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
	// windowLength is the time over which requests and calls are compared.
	windowLength = 200 * time.Millisecond
	// settledWindows is the number of windows after which a window is evaluated; most requests that ran in it have
	// then ended, so that their durations are known.
	settledWindows = 5
	// windowDecay is the factor by which the sums decay per window: they halve in about fifteen seconds.
	windowDecay = 0.99
	// maxRoutes bounds the number of routes that are distinguished, among the requests and among the calls.
	maxRoutes = 24
	// ridge is the regularization of the least squares, relative to the mean square: it keeps the solution small where
	// the windows do not distinguish the routes.
	ridge = 1e-3
	// minCallsPerRequest is the estimate below which a request counts as making no calls of a route.
	minCallsPerRequest = 0.05
	// minCallFraction is the fraction of all calls of a route below which those attributed to one source are
	// attributed to the others: the estimates are no more exact, and so few calls matter little.
	minCallFraction = 0.05
	// minSamples is the decayed number of requests of a source, and of calls of a target, that an estimate needs.
	minSamples        = 20.0
	durationSmoothing = 0.05
)

// Call is the average number of calls of a route per request.
type Call struct {
	route string
	count float64
}

// NewCall returns an average number of calls of the route per request.
func NewCall(route string, count float64) Call { return Call{route: route, count: count} }

// Route returns the name of the called route.
func (c Call) Route() string { return c.route }

// Count returns the average number of calls per request.
func (c Call) Count() float64 { return c.count }

// Run is one request that the backend server runs, as returned by Started.
type Run struct {
	source  int // index into Table.sources, -1 if the route is not distinguished
	started time.Time
}

// window holds, by route, the fractions of requests that fell into one window, and the calls made in it.
type window struct {
	requests [maxRoutes]float64
	calls    [maxRoutes]float64
}

// Table estimates the calls of one backend server.
type Table struct {
	clock       clock.Clock
	mu          sync.Mutex
	sources     []string
	durations   [maxRoutes]time.Duration // smoothed run time of a request
	targets     []string
	running     map[*Run]struct{}
	windows     []window // oldest first; the last one is the current window
	windowStart time.Time
	// requestProducts and callProducts are the decayed sums of the normal equations: products of the requests of two
	// sources, and of the requests of a source and the calls of a target, per window.
	requestProducts [maxRoutes][maxRoutes]float64
	callProducts    [maxRoutes][maxRoutes]float64
	requestTotals   [maxRoutes]float64 // requests by source, decayed
	callTotals      [maxRoutes]float64 // calls by target, decayed
	calls           map[string][]Call
}

// NewTable returns a table without any estimates.
func NewTable(c clock.Clock) *Table {
	return &Table{
		clock: c, running: map[*Run]struct{}{}, windows: make([]window, 1, settledWindows+1), windowStart: c.Now(),
		calls: map[string][]Call{},
	}
}

// Started records that the backend server begins to run a request of the route; Ended must be called with the result.
func (t *Table) Started(route string) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.advance()
	r := &Run{source: findOrAdd(&t.sources, route), started: now}
	if r.source >= 0 {
		t.running[r] = struct{}{}
	}
	return r
}

// Ended records the end of a run.
func (t *Table) Ended(r *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.advance()
	if r.source < 0 {
		return
	}
	delete(t.running, r)
	duration := now.Sub(r.started)
	t.durations[r.source] += time.Duration(durationSmoothing * float64(duration-t.durations[r.source]))
	for i := range t.windows {
		from, to := t.bounds(i)
		t.windows[i].requests[r.source] += overlapFraction(r.started, now, from, to, duration)
	}
}

// Called records that the backend server makes a call of the route.
func (t *Table) Called(route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance()
	if i := findOrAdd(&t.targets, route); i >= 0 {
		t.windows[len(t.windows)-1].calls[i]++
	}
}

// Calls returns the estimated calls per request of the route, nil if there are no estimates; the caller must not modify them.
func (t *Table) Calls(route string) []Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance()
	return t.calls[route]
}

// Routes returns the routes whose requests make calls, sorted by name.
func (t *Table) Routes() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.calls))
}

// findOrAdd returns the index of a route, added if there is room, and -1 if there is none.
func findOrAdd(routes *[]string, route string) int {
	if i := slices.Index(*routes, route); i >= 0 {
		return i
	}
	if len(*routes) == maxRoutes {
		return -1
	}
	*routes = append(*routes, route)
	return len(*routes) - 1
}

// bounds returns the start and the end of window i.
func (t *Table) bounds(i int) (from, to time.Time) {
	from = t.windowStart.Add(-time.Duration(len(t.windows)-1-i) * windowLength)
	return from, from.Add(windowLength)
}

// overlapFraction returns the fraction of a request's duration that falls into the window from one time to another.
func overlapFraction(started, ended, from, to time.Time, duration time.Duration) float64 {
	if started.Before(from) {
		started = from
	}
	if ended.After(to) {
		ended = to
	}
	return max(0, float64(ended.Sub(started))) / float64(max(time.Millisecond, duration))
}

// advance opens new windows up to the current time, evaluates those that are old enough, and returns the time.
func (t *Table) advance() time.Time {
	now := t.clock.Now()
	if now.Sub(t.windowStart) >= 2*settledWindows*windowLength {
		t.windows, t.windowStart = append(t.windows[:0], window{}), now // no event for so long: start over
	}
	for now.Sub(t.windowStart) >= windowLength {
		t.windowStart = t.windowStart.Add(windowLength)
		t.windows = append(t.windows, window{})
		if len(t.windows) > settledWindows {
			t.accumulate(now)
			t.windows = append(t.windows[:0], t.windows[1:]...)
		}
	}
	return now
}

// accumulate adds the oldest window to the sums and updates the estimates.
func (t *Table) accumulate(now time.Time) {
	oldest := &t.windows[0]
	from, to := t.bounds(0)
	for r := range t.running {
		duration := max(now.Sub(r.started), t.durations[r.source])
		oldest.requests[r.source] += overlapFraction(r.started, now, from, to, duration)
	}
	for i := range t.sources {
		t.requestTotals[i] = windowDecay*t.requestTotals[i] + oldest.requests[i]
		for j := range t.sources {
			t.requestProducts[i][j] = windowDecay*t.requestProducts[i][j] + oldest.requests[i]*oldest.requests[j]
		}
		for c := range t.targets {
			t.callProducts[i][c] = windowDecay*t.callProducts[i][c] + oldest.requests[i]*oldest.calls[c]
		}
	}
	for c := range t.targets {
		t.callTotals[c] = windowDecay*t.callTotals[c] + oldest.calls[c]
	}
	t.solve()
}

// solve updates the estimates for every called route.
func (t *Table) solve() {
	calls := map[string][]Call{}
	for c, target := range t.targets {
		if t.callTotals[c] < minSamples {
			continue
		}
		for i, count := range t.counts(c) {
			if count >= minCallsPerRequest {
				calls[t.sources[i]] = append(calls[t.sources[i]], NewCall(target, count))
			}
		}
	}
	t.calls = calls
}

// counts returns the calls of target c per request, by source. Sources whose estimate is negative, or whose part of
// the calls is below minCallFraction, are excluded one at a time, the lowest first.
func (t *Table) counts(c int) []float64 {
	active := make([]int, 0, len(t.sources))
	for i, source := range t.sources {
		if t.requestTotals[i] >= minSamples && source != t.targets[c] { // a route that called itself would recurse without end
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
			calls := solved.AtVec(k) * t.requestTotals[i]
			sum += max(0, calls)
			if k == 0 || calls < least {
				worst, least = k, calls
			}
		}
		if least >= minCallFraction*sum {
			for k, i := range active {
				counts[i] = solved.AtVec(k)
			}
			return counts
		}
		active = slices.Delete(active, worst, worst+1)
	}
	return counts
}

// solveFor solves the regularized normal equations of target c for the active sources, and returns false if they are
// singular.
func (t *Table) solveFor(active []int, c int) (*mat.VecDense, bool) {
	n := len(active)
	squares, mixed := mat.NewSymDense(n, nil), mat.NewVecDense(n, nil)
	for k, i := range active {
		for l, j := range active[:k+1] {
			squares.SetSym(k, l, t.requestProducts[i][j])
		}
		squares.SetSym(k, k, t.requestProducts[i][i]*(1+ridge))
		mixed.SetVec(k, t.callProducts[i][c])
	}
	var factors mat.Cholesky
	if !factors.Factorize(squares) {
		return nil, false
	}
	solved := mat.NewVecDense(n, nil)
	return solved, factors.SolveVecTo(solved, mixed) == nil
}
