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
	hopTurns      = 15
	hopTurnTime   = 2 * time.Second
	profileTime   = 8
	highestMicros = 10_000_000
	digits        = 3
	hopIdle       = 256
)

// Path is one way of a call to a backend server: latencies in milliseconds, and the processor time of all nodes for a
// call. What it adds is the median over all turns of the difference to the direct way in the same turn.
type Path struct {
	Name          string  `json:"name"`
	P50           float64 `json:"p50Ms"`
	P99           float64 `json:"p99Ms"`
	AddedP50      float64 `json:"addedP50Ms"`
	AddedP99      float64 `json:"addedP99Ms"`
	NodeCPUMicros float64 `json:"nodeCPUMicrosPerCall"`
	target        string
	whole         *hdrhistogram.Histogram
	p50s          []float64
	p99s          []float64
	calls         int
	cpu           time.Duration
}

// Hop is what nodes add to a call, by the number of nodes on its way.
type Hop struct {
	Rate  float64 `json:"callsPerS"`
	Paths []*Path `json:"paths"`
}

// MeasureHop sends an open loop of calls to a backend server directly, through its own node, and through another host's
// node and its own, in turns. With a file it also writes a profile of the node that the last of these enter (pprof).
func MeasureHop(ctx context.Context, rate float64, profile string, log io.Writer, launch fleet.Launcher) (Hop, error) {
	f, err := fleet.Start(ctx, fleet.Idle(2, 1), fleet.NewOptions("full", log, launch))
	if err != nil {
		return Hop{}, fmt.Errorf("hop: %w", err)
	}
	defer f.Stop()
	time.Sleep(settleTime)
	own, other := f.Endpoints()[0], f.Endpoints()[1]
	h := Hop{Rate: rate, Paths: []*Path{
		newPath("direct", own.BackendAddr()), newPath("own node", own.HTTPAddr()), newPath("two nodes", other.HTTPAddr()),
	}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: hopIdle}}
	for _, p := range h.Paths {
		openLoop(ctx, client, p.target, rate, newHistogram()) // warms the path up
	}
	for range hopTurns {
		for _, p := range h.Paths {
			if err := p.turn(ctx, client, f, rate); err != nil {
				return Hop{}, err
			}
		}
	}
	for _, p := range h.Paths {
		p.sum(h.Paths[0])
	}
	if profile == "" {
		return h, nil
	}
	return h, writeProfile(ctx, other.OpsAddr(), profile, func() { openLoop(ctx, client, h.Paths[2].target, rate, newHistogram()) })
}

func newPath(name, addr string) *Path {
	return &Path{Name: name, target: "http://" + addr + "/work0", whole: newHistogram()}
}

// turn sends calls for one turn.
func (p *Path) turn(ctx context.Context, client *http.Client, f *fleet.Fleet, rate float64) error {
	before, err := take(ctx, f)
	if err != nil {
		return err
	}
	h := newHistogram()
	p.calls += openLoop(ctx, client, p.target, rate, h)
	after, err := take(ctx, f)
	if err != nil {
		return err
	}
	p.cpu += after.cpu - before.cpu
	p.whole.Merge(h)
	p.p50s = append(p.p50s, at(h, 50))
	p.p99s = append(p.p99s, at(h, 99))
	return nil
}

// sum works out the figures over all turns.
func (p *Path) sum(direct *Path) {
	p.P50, p.P99 = at(p.whole, 50), at(p.whole, 99)
	p.AddedP50, p.AddedP99 = medianOver(p.p50s, direct.p50s), medianOver(p.p99s, direct.p99s)
	p.NodeCPUMicros = float64(p.cpu.Microseconds()) / float64(max(1, p.calls))
}

func medianOver(values, base []float64) float64 {
	added := make([]float64, len(values))
	for i := range values {
		added[i] = values[i] - base[i]
	}
	slices.Sort(added)
	return added[len(added)/2]
}

// writeProfile saves a node's processor profile while it is under load.
func writeProfile(ctx context.Context, ops, file string, load func()) error {
	text := make(chan string, 1)
	failed := make(chan error, 1)
	go func() {
		t, err := fleet.Get(ctx, fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", ops, profileTime))
		text <- t
		failed <- err
	}()
	for range profileTime / int(hopTurnTime.Seconds()) {
		load()
	}
	t := <-text
	if err := <-failed; err != nil {
		return fmt.Errorf("hop: %w", err)
	}
	if err := os.WriteFile(file, []byte(t), 0o600); err != nil {
		return fmt.Errorf("hop: %w", err)
	}
	return nil
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMicros, digits) }

func at(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / float64(time.Millisecond/time.Microsecond)
}

// openLoop sends calls at fixed times, whatever became of the ones before, and returns how many.
func openLoop(ctx context.Context, client *http.Client, target string, rate float64, into *hdrhistogram.Histogram) int {
	var mu sync.Mutex
	var all sync.WaitGroup
	calls := int(rate * hopTurnTime.Seconds())
	start := time.Now()
	for i := range calls {
		due := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		all.Go(func() {
			began := time.Now()
			if _, err := get(ctx, client, target); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			_ = into.RecordValue(time.Since(began).Microseconds())
		})
	}
	all.Wait()
	return calls
}

func get(ctx context.Context, client *http.Client, target string) (int64, error) {
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
