package slopes

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarackrudder.org/tamarackbench/fleet"
)

const (
	hopTurns          = 15
	hopTurnDuration   = 2 * time.Second
	profileSeconds    = 8
	maxLatencyMicros  = 10_000_000
	significantDigits = 3
	hopMaxIdleConns   = 256
)

// Path holds the figures of calls that reach a backend server on one path: latencies in milliseconds, and the processor
// time in microseconds that all nodes together spend on a call. The added latencies are the median, over all turns, of the
// difference to the direct path in the same turn.
type Path struct {
	Name          string  `json:"name"`
	P50           float64 `json:"p50Ms"`
	P99           float64 `json:"p99Ms"`
	AddedP50      float64 `json:"addedP50Ms"`
	AddedP99      float64 `json:"addedP99Ms"`
	NodeCPUMicros float64 `json:"nodeCPUMicrosPerCall"`
	target        string
	latencies     *hdrhistogram.Histogram
	p50s          []float64
	p99s          []float64
	calls         int
	cpu           time.Duration
}

// Hop holds the figures of a call without a node, through one node and through two, at Rate calls a second.
type Hop struct {
	Rate  float64 `json:"callsPerS"`
	Paths []*Path `json:"paths"`
}

// MeasureHop sends an open loop of calls to a backend server, rate calls a second, in turns on three paths: directly,
// through the node beside it, and through another host's node and then the node beside it. If profile is not empty, it
// also writes a processor profile (pprof) of the other host's node to this file, taken under the load of the last path.
func MeasureHop(ctx context.Context, rate float64, profile string, log io.Writer, launch fleet.Launcher) (Hop, error) {
	f, err := fleet.Start(ctx, fleet.Idle(2, 1), fleet.NewOptions("full", log, launch))
	if err != nil {
		return Hop{}, fmt.Errorf("hop: %w", err)
	}
	defer f.Stop()
	time.Sleep(settleTime)
	local, remote := f.Endpoints()[0], f.Endpoints()[1]
	h := Hop{Rate: rate, Paths: []*Path{
		newPath("direct", local.BackendAddr()), newPath("own node", local.HTTPAddr()), newPath("two nodes", remote.HTTPAddr()),
	}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: hopMaxIdleConns}}
	for _, p := range h.Paths {
		openLoop(ctx, client, p.target, rate, newHistogram()) // opens connections and warms up the path
	}
	for range hopTurns {
		for _, p := range h.Paths {
			if err := p.runTurn(ctx, client, f, rate); err != nil {
				return Hop{}, err
			}
		}
	}
	for _, p := range h.Paths {
		p.computeFigures(h.Paths[0])
	}
	if profile == "" {
		return h, nil
	}
	return h, writeProfile(ctx, remote.OpsAddr(), profile, func() { openLoop(ctx, client, h.Paths[2].target, rate, newHistogram()) })
}

func newPath(name, addr string) *Path {
	return &Path{Name: name, target: "http://" + addr + "/work0", latencies: newHistogram()}
}

// runTurn sends calls on the path for hopTurnDuration and adds the turn's latencies and processor time to its figures.
func (p *Path) runTurn(ctx context.Context, client *http.Client, f *fleet.Fleet, rate float64) error {
	before, err := readCounters(ctx, f)
	if err != nil {
		return err
	}
	h := newHistogram()
	p.calls += openLoop(ctx, client, p.target, rate, h)
	after, err := readCounters(ctx, f)
	if err != nil {
		return err
	}
	p.cpu += after.cpu - before.cpu
	p.latencies.Merge(h)
	p.p50s = append(p.p50s, quantileMs(h, 50))
	p.p99s = append(p.p99s, quantileMs(h, 99))
	return nil
}

// computeFigures computes the exported figures from all turns; direct is the path without a node.
func (p *Path) computeFigures(direct *Path) {
	p.P50, p.P99 = quantileMs(p.latencies, 50), quantileMs(p.latencies, 99)
	p.AddedP50, p.AddedP99 = medianDifference(p.p50s, direct.p50s), medianDifference(p.p99s, direct.p99s)
	p.NodeCPUMicros = float64(p.cpu.Microseconds()) / float64(max(1, p.calls))
}

// medianDifference returns the median of the differences between values and base at the same index.
func medianDifference(values, base []float64) float64 {
	added := make([]float64, len(values))
	for i := range values {
		added[i] = values[i] - base[i]
	}
	slices.Sort(added)
	return added[len(added)/2]
}

// writeProfile writes a node's processor profile to a file, and calls load repeatedly while the profile is taken.
func writeProfile(ctx context.Context, ops, file string, load func()) error {
	profileText := make(chan string, 1)
	profileErr := make(chan error, 1)
	go func() {
		t, err := fleet.Get(ctx, fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", ops, profileSeconds))
		profileText <- t
		profileErr <- err
	}()
	for range profileSeconds / int(hopTurnDuration.Seconds()) {
		load()
	}
	t := <-profileText
	if err := <-profileErr; err != nil {
		return fmt.Errorf("hop: %w", err)
	}
	if err := os.WriteFile(file, []byte(t), 0o600); err != nil {
		return fmt.Errorf("hop: %w", err)
	}
	return nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

// quantileMs returns a quantile (in percent) of a histogram of microseconds, in milliseconds.
func quantileMs(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / float64(time.Millisecond/time.Microsecond)
}

// openLoop sends calls at fixed times for hopTurnDuration, without waiting for earlier ones to end, and returns how many
// it sent. It adds the latencies of the calls that did not fail to the histogram.
func openLoop(ctx context.Context, client *http.Client, target string, rate float64, into *hdrhistogram.Histogram) int {
	var mu sync.Mutex
	var inFlight sync.WaitGroup
	calls := int(rate * hopTurnDuration.Seconds())
	start := time.Now()
	for i := range calls {
		due := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		inFlight.Go(func() {
			began := time.Now()
			if _, err := callTarget(ctx, client, target); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			_ = into.RecordValue(time.Since(began).Microseconds())
		})
	}
	inFlight.Wait()
	return calls
}

// callTarget sends one call, reads its answer to the end and returns the number of bytes, whatever the status.
func callTarget(ctx context.Context, client *http.Client, target string) (int64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return 0, fmt.Errorf("hop: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, fmt.Errorf("hop: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return 0, fmt.Errorf("hop: %w", err)
	}
	return n, nil
}
