package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/tamarackbench/fleet"
	"tamarackrudder.org/tamarackbench/loads"
)

// shortLease holds node flags that make a lease expire within a second, so that a test can wait for it.
var shortLease = []string{"--lease", "1s", "--heartbeat", "100ms", "--clock-skew", "50ms", "--drain-delay", "300ms"}

// startSmall starts the small deployment; the flags are added to the command line of each node.
func startSmall(t *testing.T, flags ...string) *fleet.Fleet {
	t.Helper()
	options := fleet.NewOptions("full", os.Stderr, launch).WithNodeFlags(slices.Concat(shortLease, flags)...)
	f, err := fleet.Start(t.Context(), fleet.Small(), options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	time.Sleep(time.Second) // keys created before the first ownership periods began are refused
	return f
}

func entriesOf(f *fleet.Fleet, service string) []string {
	var entries []string
	for _, e := range f.EndpointsOf(service) {
		entries = append(entries, e.HTTPAddr())
	}
	return entries
}

// runUnderLoad sends requests to the entries for loadTime, calls failure meanwhile, and returns the outcomes of the
// requests once both are done.
func runUnderLoad(t *testing.T, entries []string, rate float64, resends int, failure func()) []loads.Outcome {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	callers := loads.NewCallers(entries, fleet.Small(), resends)
	callers.KeepOutcomes()
	failed := make(chan struct{})
	go func() {
		defer close(failed)
		failure()
		stop()
	}()
	report := callers.Run(context.WithoutCancel(ctx), loadPhases(ctx, rate))
	<-failed
	return report.Outcomes()
}

// loadPhases returns one phase of loadTime at a constant rate.
func loadPhases(_ context.Context, rate float64) []loads.Phase {
	return []loads.Phase{loads.NewPhase(loadTime, rate)}
}

const loadTime = 12 * time.Second

// TestRequestsThroughBothServices guards against requests that fail, or get the answer of another request, on their way through both
// services of a deployment without any fault.
func TestRequestsThroughBothServices(t *testing.T) {
	is := is.New(t)
	f := startSmall(t)
	callers := loads.NewCallers(f.Entries(), fleet.Small(), 0)
	callers.KeepOutcomes()
	report := callers.Run(t.Context(), []loads.Phase{loads.NewPhase(2*time.Second, 100)})
	for _, o := range report.Outcomes() {
		if !o.Succeeded() {
			t.Errorf("%s %s ended as %q %s", o.Method(), o.Path(), o.Verdict(), o.Reason())
		}
	}
	is.True(len(report.Outcomes()) > 0)
}

// TestAtMostOnceUnderFailure guards against a non-idempotent request that runs twice or ends with a false verdict while
// nodes of the service that runs it are killed, frozen past their leases or stopped, or the platform is stale or down.
func TestAtMostOnceUnderFailure(t *testing.T) {
	f := startSmall(t)
	ledger := f.EndpointsOf("ledger")
	tests := []struct {
		name    string
		failure func()
	}{
		{"kill and restart in place", func() {
			for _, e := range ledger {
				e.Node().Kill()
				restart(t, f, e)
			}
		}},
		{"freeze past the lease", func() {
			for _, e := range ledger {
				e.Node().Signal(syscall.SIGSTOP)
				time.Sleep(2 * time.Second)
				e.Node().Signal(syscall.SIGCONT)
				time.Sleep(500 * time.Millisecond)
			}
		}},
		{"platform stale, kill, and freeze at once", func() {
			republishHosts(t, f)
			setPlatformFault(t, f, "stale", true)
			ledger[0].Node().Kill()
			ledger[1].Node().Signal(syscall.SIGSTOP)
			start(t, f, ledger[0])
			time.Sleep(2 * time.Second) // one of the three nodes was killed and one is frozen, so no majority is left
			ledger[1].Node().Signal(syscall.SIGCONT)
			waitReady(t, f, ledger[0])
			setPlatformFault(t, f, "stale", false)
		}},
		{"platform down and one stopped", func() {
			setPlatformFault(t, f, "outage", true)
			stopGracefully(ledger[2])
			restart(t, f, ledger[2])
			setPlatformFault(t, f, "outage", false)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			outcomes := runUnderLoad(t, entriesOf(f, "shop"), 150, 3, test.failure)
			checkHistory(t, f, outcomes)
		})
	}
}

// TestRollingStopCutsNothing guards against requests that fail while every node of one service is stopped and restarted
// in turn and callers enter at the other service.
func TestRollingStopCutsNothing(t *testing.T) {
	f := startSmall(t)
	roll := func(service string) func() {
		return func() {
			for _, e := range f.EndpointsOf(service) {
				stopGracefully(e)
				restart(t, f, e)
			}
		}
	}
	for _, test := range []struct{ rolled, entered string }{{"ledger", "shop"}, {"shop", "ledger"}} {
		t.Run(test.rolled, func(t *testing.T) {
			outcomes := runUnderLoad(t, entriesOf(f, test.entered), 100, 0, roll(test.rolled))
			for _, o := range outcomes {
				if !o.Succeeded() {
					t.Errorf("%s %s ended as %q %s", o.Method(), o.Path(), o.Verdict(), o.Reason())
				}
			}
			checkHistory(t, f, outcomes)
		})
	}
}

// TestStopLetsTheBackendServerFinish guards against a node that stops while its backend server still has downstream
// calls to make through it, which would fail the requests that the server is running.
func TestStopLetsTheBackendServerFinish(t *testing.T) {
	f := startSmall(t)
	for _, e := range f.EndpointsOf("shop") {
		setSlow(t, e, 100)
	}
	callers := loads.NewCallers(entriesOf(f, "ledger"), fleet.Small(), 0)
	callers.KeepOutcomes()
	ended := make(chan *loads.Report)
	go func() { ended <- callers.Run(t.Context(), []loads.Phase{loads.NewPhase(2*time.Second, 15)}) }()
	time.Sleep(time.Second)
	stopGracefully(f.EndpointsOf("shop")[0])
	for _, o := range (<-ended).Outcomes() {
		if !o.Succeeded() {
			t.Errorf("%s %s ended as %q %s", o.Method(), o.Path(), o.Verdict(), o.Reason())
		}
	}
}

// setSlow multiplies the work time of a backend server's requests by factor.
func setSlow(t *testing.T, e *fleet.Endpoint, factor int) {
	t.Helper()
	target := fmt.Sprintf("http://%s/test/slow?percent=%d", e.BackendAddr(), factor*100)
	if err := fleet.Send(t.Context(), http.MethodPost, target, nil); err != nil {
		t.Fatal(err)
	}
}

func stopGracefully(e *fleet.Endpoint) {
	e.Node().Signal(syscall.SIGTERM)
	<-e.Node().Ended()
}

func restart(t *testing.T, f *fleet.Fleet, e *fleet.Endpoint) {
	t.Helper()
	start(t, f, e)
	waitReady(t, f, e)
}

func start(t *testing.T, f *fleet.Fleet, e *fleet.Endpoint) {
	t.Helper()
	if err := f.StartNode(e); err != nil {
		t.Error(err)
	}
}

func waitReady(t *testing.T, f *fleet.Fleet, e *fleet.Endpoint) {
	t.Helper()
	if err := f.WaitReady(t.Context(), e); err != nil {
		t.Error(err)
	}
}

func republishHosts(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	if err := f.PublishHosts(t.Context()); err != nil {
		t.Error(err)
	}
}

func setPlatformFault(t *testing.T, f *fleet.Fleet, name string, on bool) {
	t.Helper()
	if err := f.SetPlatformFault(t.Context(), name, on); err != nil {
		t.Error(err)
	}
}
