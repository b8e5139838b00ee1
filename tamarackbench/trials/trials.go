package trials

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"tamarackrudder.org/tamarackbench/fleet"
	"tamarackrudder.org/tamarackbench/loads"
)

const (
	baselineTime = 4 * time.Second
	triggerTime  = 8 * time.Second
	recoveryTime = 6 * time.Second
	baselineLoad = 0.7 // as a multiple of the topology's capacity
	resends      = 3
	interval     = 100 * time.Millisecond // of the series in loads.ClassSummary
	slowPercent  = 500
	warmUpTime   = time.Second
	twoThirds    = 2.0 / 3
)

// Scenario describes a trigger that lasts for triggerTime: a surge of load, a fault, or both.
type Scenario struct {
	name        string
	load        float64 // rate of requests during the trigger, as a multiple of the topology's capacity
	capacity    float64 // fraction of the bottleneck service's capacity (slots times speed) during the trigger
	freezesZone bool
	begin       func(ctx context.Context, f *fleet.Fleet) error
	end         func(ctx context.Context, f *fleet.Fleet) error
}

// Name returns the name of the scenario in flags and reports.
func (s Scenario) Name() string { return s.name }

func noAction(context.Context, *fleet.Fleet) error { return nil }

// Scenarios returns all scenarios in the order in which they are run.
func Scenarios() []Scenario {
	return []Scenario{
		{name: "surge2", load: 2, capacity: 1, begin: noAction, end: noAction},
		{name: "surge5", load: 5, capacity: 1, begin: noAction, end: noAction},
		{name: "surge10", load: 10, capacity: 1, begin: noAction, end: noAction},
		{name: "slowDeepest", load: baselineLoad, capacity: 0.2, begin: slowBottleneck(slowPercent), end: slowBottleneck(100)},
		{name: "killBackend", load: baselineLoad, capacity: twoThirds, begin: killBackend, end: startBackend},
		{
			name: "zoneFrozen", load: baselineLoad, capacity: twoThirds, freezesZone: true,
			begin: signalZone(syscall.SIGSTOP), end: signalZone(syscall.SIGCONT),
		},
		{name: "platformDownSurge5", load: 5, capacity: 1, begin: setOutage(true), end: setOutage(false)},
		{name: "surge5SlowDeepest", load: 5, capacity: 0.2, begin: slowBottleneck(slowPercent), end: slowBottleneck(100)},
	}
}

// slowBottleneck returns a function that sets the work time of the bottleneck service's backend servers to a percentage
// of the planned one.
func slowBottleneck(percent int) func(context.Context, *fleet.Fleet) error {
	return func(ctx context.Context, f *fleet.Fleet) error {
		for _, e := range f.EndpointsOf(f.Topology().Bottleneck()) {
			target := fmt.Sprintf("http://%s/test/slow?percent=%d", e.BackendAddr(), percent)
			if err := fleet.Send(ctx, http.MethodPost, target, nil); err != nil {
				return fmt.Errorf("slow: %w", err)
			}
		}
		return nil
	}
}

func killBackend(_ context.Context, f *fleet.Fleet) error {
	f.EndpointsOf(f.Topology().Bottleneck())[0].Server().Kill()
	return nil
}

// startBackend starts the killed backend server again, cold.
func startBackend(_ context.Context, f *fleet.Fleet) error {
	if err := f.StartServer(f.EndpointsOf(f.Topology().Bottleneck())[0], true); err != nil {
		return fmt.Errorf("start backend server: %w", err)
	}
	return nil
}

// signalZone returns a function that sends a signal to all nodes and backend servers of the first endpoint's zone.
func signalZone(s syscall.Signal) func(context.Context, *fleet.Fleet) error {
	return func(_ context.Context, f *fleet.Fleet) error {
		first := f.Endpoints()[0].Zone()
		for _, e := range f.Endpoints() {
			if e.Zone() == first {
				e.Node().Signal(s)
				e.Server().Signal(s)
			}
		}
		return nil
	}
}

func setOutage(on bool) func(context.Context, *fleet.Fleet) error {
	return func(ctx context.Context, f *fleet.Fleet) error { return f.SetPlatformFault(ctx, "outage", on) }
}

// Result holds the figures of one run. Goodput is in successful requests a second, and BestGoodput is the goodput that the
// bottleneck's capacity during the trigger allows. TotalShare and NonIdempotentShare are the goodput during the trigger,
// of all and of the non-idempotent requests, as a fraction of the best possible one. WastedFraction is the fraction of
// the backend servers' work that was done for requests without success. LowestServedAfter is the lowest fraction of a
// class's requests that was served in any second of the recovery, but for its first second.
type Result struct {
	Deployment         string               `json:"deployment"`
	Scenario           string               `json:"scenario"`
	Control            string               `json:"control"`
	GoodputBefore      float64              `json:"goodputBefore"`
	GoodputDuring      float64              `json:"goodputDuring"`
	BestGoodput        float64              `json:"bestDuring"`
	NonIdempotentShare float64              `json:"deedShareOfBest"`
	TotalShare         float64              `json:"totalShareOfBest"`
	RecoveryS          float64              `json:"recoveryS"`
	LowestServedAfter  float64              `json:"lowestServedShareAfter"`
	WastedFraction     float64              `json:"wastedShare"`
	AttemptsPerRequest float64              `json:"attemptsPerRequest"`
	Classes            []loads.ClassSummary `json:"classes"`
	Unsent             int64                `json:"unsent"`
	Timeline           []int64              `json:"goodputPer100Ms"`
}

// Run starts a deployment with a control mode, runs all phases of a scenario, and stops the deployment. It returns an
// error if a process could not be started or the trigger could not be set off.
func Run(ctx context.Context, t fleet.Topology, s Scenario, control string, log io.Writer, launch fleet.Launcher) (Result, error) {
	f, err := fleet.Start(ctx, t, fleet.NewOptions(control, log, launch))
	if err != nil {
		return Result{}, fmt.Errorf("trial: %w", err)
	}
	defer f.Stop()
	time.Sleep(warmUpTime)
	entries := f.Entries()
	if s.freezesZone {
		entries = f.EntriesOutside(f.Endpoints()[0].Zone()) // callers in a frozen zone are cut off with it
	}
	callers := loads.NewCallers(entries, t, resends)
	triggerErr := make(chan error, 1)
	go func() { triggerErr <- runTrigger(ctx, f, s) }()
	report := callers.Run(ctx, []loads.Phase{
		loads.NewPhase(baselineTime, baselineLoad*t.Capacity()),
		loads.NewPhase(triggerTime, s.load*t.Capacity()),
		loads.NewPhase(recoveryTime, baselineLoad*t.Capacity()),
	})
	if err := <-triggerErr; err != nil {
		return Result{}, err
	}
	used, err := f.WorkTime(ctx)
	if err != nil {
		return Result{}, fmt.Errorf("trial: %w", err)
	}
	return newResult(t, s, control, report.Summary(), used), nil
}

// runTrigger begins and ends the trigger at the times at which the load changes.
func runTrigger(ctx context.Context, f *fleet.Fleet, s Scenario) error {
	time.Sleep(baselineTime)
	if err := s.begin(ctx, f); err != nil {
		return err
	}
	time.Sleep(triggerTime)
	return s.end(ctx, f)
}

// nonIdempotentClass is the name of the class of non-idempotent requests in the rules of every topology with callers.
const nonIdempotentClass = "deed"

// newResult computes the figures of a run. The means of goodput leave out the first second of the baseline and of
// the trigger.
func newResult(t fleet.Topology, s Scenario, control string, summary loads.Summary, used time.Duration) Result {
	r := Result{Deployment: t.Name(), Scenario: s.name, Control: control, Classes: summary.Classes, Unsent: summary.Unsent}
	var nonIdempotent []int64
	useful, attempts, offered := 0.0, 0.0, 0.0
	for _, c := range summary.Classes {
		r.Timeline = addSeries(r.Timeline, c.Goodput)
		if c.Name == nonIdempotentClass {
			nonIdempotent = c.Goodput
		}
		useful += c.UsefulWorkSeconds
		attempts += c.Attempts * float64(c.Offered)
		offered += float64(c.Offered)
	}
	r.WastedFraction = 1 - useful/max(useful, used.Seconds())
	r.AttemptsPerRequest = attempts / max(1, offered)
	r.GoodputBefore = meanPerSecond(r.Timeline, time.Second, baselineTime)
	r.GoodputDuring = meanPerSecond(r.Timeline, baselineTime+time.Second, baselineTime+triggerTime)
	r.BestGoodput = min(s.capacity, s.load) * t.Capacity()
	r.TotalShare = r.GoodputDuring / r.BestGoodput
	r.NonIdempotentShare = meanPerSecond(nonIdempotent, baselineTime+time.Second, baselineTime+triggerTime) / bestNonIdempotentGoodput(t, s)
	r.RecoveryS, r.LowestServedAfter = recoverySeconds(summary.Classes), lowestAfter(summary.Classes)
	return r
}

// bestNonIdempotentGoodput returns the goodput of non-idempotent requests if the bottleneck service spent the remaining
// capacity on them first, since theirs is the class with the highest priority.
func bestNonIdempotentGoodput(t fleet.Topology, s Scenario) float64 {
	fraction := 0.0
	for _, l := range t.RequestKinds() {
		if l.Class() == nonIdempotentClass {
			fraction += l.Fraction()
		}
	}
	return min(fraction*s.load, s.capacity) * t.Capacity()
}

func addSeries(sum, more []int64) []int64 {
	for len(sum) < len(more) {
		sum = append(sum, 0)
	}
	for i, n := range more {
		sum[i] += n
	}
	return sum
}

// meanPerSecond returns the mean rate, in counts a second, over a part of a series with one count per interval.
func meanPerSecond(timeline []int64, from, to time.Duration) float64 {
	total := int64(0)
	for i := int(from / interval); i < int(to/interval) && i < len(timeline); i++ {
		total += timeline[i]
	}
	return float64(total) / (to - from).Seconds()
}

const (
	recoveryWindow    = 500 * time.Millisecond
	recoveredFraction = 0.95
)

// recoverySeconds returns the time in seconds from the end of the trigger until every class has recovered: the fraction
// of its arrivals that are served, over half a second, is back at 95% of the baseline's. For a class that does not
// recover, it counts the whole recovery phase.
func recoverySeconds(classes []loads.ClassSummary) float64 {
	slowest := 0.0
	for _, c := range classes {
		slowest = max(slowest, classRecoverySeconds(c))
	}
	return slowest
}

func classRecoverySeconds(c loads.ClassSummary) float64 {
	baseline := meanPerSecond(c.Served, time.Second, baselineTime) / max(1, meanPerSecond(c.Arrivals, time.Second, baselineTime))
	for at := time.Duration(0); at+recoveryWindow <= recoveryTime; at += interval {
		from := baselineTime + triggerTime + at
		served := meanPerSecond(c.Served, from, from+recoveryWindow) / max(1, meanPerSecond(c.Arrivals, from, from+recoveryWindow))
		if served >= recoveredFraction*baseline {
			return at.Seconds()
		}
	}
	return recoveryTime.Seconds()
}

// lowestAfter returns the lowest fraction of arrivals that were served in any second of any class that begins a second or
// more after the end of the trigger; a second collapse shows here.
func lowestAfter(classes []loads.ClassSummary) float64 {
	lowest := 1.0
	for _, c := range classes {
		for from := baselineTime + triggerTime + time.Second; from+time.Second <= baselineTime+triggerTime+recoveryTime; from += interval {
			arrived := meanPerSecond(c.Arrivals, from, from+time.Second)
			lowest = min(lowest, meanPerSecond(c.Served, from, from+time.Second)/max(1, arrived))
		}
	}
	return lowest
}

// Median returns the run with the median total share of the best goodput; runs must not be empty.
func Median(runs []Result) Result {
	sorted := slices.SortedFunc(slices.Values(runs), func(a, b Result) int {
		if a.TotalShare < b.TotalShare {
			return -1
		}
		return 1
	})
	return sorted[len(sorted)/2]
}
