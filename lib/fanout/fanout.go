package fanout

import (
	"slices"
	"sync"
	"time"

	"gonum.org/v1/gonum/mat"

	"tamarackrudder.org/lib/clock"
)

const (
	// window is the time over which open requests and calls are compared.
	window = 100 * time.Millisecond
	// solveEvery is the number of windows between two solutions.
	solveEvery = 5
	// kept is the part of the sums that is left after each window: they halve in about fifteen seconds.
	kept = 0.995
	// maxRoutes bounds the routes that are told apart, as requests and as calls.
	maxRoutes = 24
	// ridge keeps the solution small where the windows cannot tell routes apart, relative to the mean square.
	ridge = 1e-3
	// fewestCalls is the number of calls for a request below which it is taken to make none.
	fewestCalls = 0.05
)

// source is a route whose requests the backend server runs.
type source struct {
	open     int
	since    time.Time
	exposure time.Duration // open time within this window
	starts   float64       // faded
	openTime float64       // faded, in seconds
}

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

// Table learns for one backend server.
type Table struct {
	clock   clock.Clock
	mu      sync.Mutex
	sources map[string]*source
	names   []string // of the sources, in the order of the sums
	targets []string
	called  []float64 // in this window, by target
	squares [maxRoutes][maxRoutes]float64
	mixed   [maxRoutes][maxRoutes]float64
	opened  time.Time
	windows int
	calls   map[string][]Call
}

// NewTable returns a table that knows of no calls.
func NewTable(c clock.Clock) *Table {
	return &Table{clock: c, sources: map[string]*source{}, opened: c.Now(), calls: map[string][]Call{}}
}

// Started notes that the backend server begins a request of a route.
func (t *Table) Started(route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.roll()
	s := t.source(route, now)
	if s == nil {
		return
	}
	s.account(now)
	s.open++
	s.starts++
}

// Ended notes the end of a request of a route.
func (t *Table) Ended(route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.roll()
	s := t.source(route, now)
	if s == nil || s.open == 0 {
		return
	}
	s.account(now)
	s.open--
}

// Called notes that the backend server makes a call of a route.
func (t *Table) Called(route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roll()
	i := slices.Index(t.targets, route)
	if i < 0 {
		if len(t.targets) == maxRoutes {
			return
		}
		i = len(t.targets)
		t.targets = append(t.targets, route)
		t.called = append(t.called, 0)
	}
	t.called[i]++
}

// Calls returns the calls that a request of a route makes, as far as they have been learned; not to be changed.
func (t *Table) Calls(route string) []Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roll()
	return t.calls[route]
}

func (s *source) account(now time.Time) {
	s.exposure += time.Duration(s.open) * now.Sub(s.since)
	s.since = now
}

func (t *Table) source(route string, now time.Time) *source {
	s, ok := t.sources[route]
	if ok {
		return s
	}
	if len(t.names) == maxRoutes {
		return nil
	}
	s = &source{since: now}
	t.sources[route] = s
	t.names = append(t.names, route)
	return s
}

// roll closes the window when its time is over.
func (t *Table) roll() time.Time {
	now := t.clock.Now()
	passed := now.Sub(t.opened)
	if passed < window {
		return now
	}
	open := make([]float64, len(t.names))
	for i, name := range t.names {
		s := t.sources[name]
		s.account(now)
		open[i] = s.exposure.Seconds() / passed.Seconds()
		s.openTime = kept*s.openTime + s.exposure.Seconds()
		s.starts *= kept
		s.exposure = 0
	}
	rates := make([]float64, len(t.targets))
	for c := range t.targets {
		rates[c] = t.called[c] / passed.Seconds()
		t.called[c] = 0
	}
	t.add(open, rates)
	t.opened = now
	t.windows++
	if t.windows%solveEvery == 0 {
		t.solve()
	}
	return now
}

func (t *Table) add(open, rates []float64) {
	for i := range open {
		for j := range open {
			t.squares[i][j] = kept*t.squares[i][j] + open[i]*open[j]
		}
		for c := range rates {
			t.mixed[i][c] = kept*t.mixed[i][c] + open[i]*rates[c]
		}
	}
}

// solve finds for each called route the rates at which the open requests call it.
func (t *Table) solve() {
	calls := map[string][]Call{}
	for c, target := range t.targets {
		for i, rate := range t.rates(c) {
			s := t.sources[t.names[i]]
			if s.starts <= 0 || s.openTime <= 0 {
				continue
			}
			count := rate * s.openTime / s.starts
			if count >= fewestCalls {
				calls[t.names[i]] = append(calls[t.names[i]], NewCall(target, count))
			}
		}
	}
	t.calls = calls
}

// rates solves the least squares for one called route; routes whose rate comes out below zero are left out one by one.
func (t *Table) rates(c int) []float64 {
	active := make([]int, 0, len(t.names))
	for i := range t.names {
		if t.squares[i][i] > 0 {
			active = append(active, i)
		}
	}
	rates := make([]float64, len(t.names))
	for len(active) > 0 {
		solved, ok := t.solveFor(active, c)
		if !ok {
			return rates
		}
		worst := 0
		for k := range active {
			if solved.AtVec(k) < solved.AtVec(worst) {
				worst = k
			}
		}
		if solved.AtVec(worst) >= 0 {
			for k, i := range active {
				rates[i] = solved.AtVec(k)
			}
			return rates
		}
		active = slices.Delete(active, worst, worst+1)
	}
	return rates
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
