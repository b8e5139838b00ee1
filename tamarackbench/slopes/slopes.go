package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"tamarackrudder.org/lib/opsapi"
	"tamarackrudder.org/tamarackbench/fleet"
)

const (
	settleTime = 5 * time.Second
	watchTime  = 20 * time.Second
	pollPause  = 5 * time.Millisecond
	spreadTime = 30 * time.Second
	tickHertz  = 100
	kilobyte   = 1024
)

// Size is a fleet of services of equal size without any callers.
type Size struct {
	services  int
	endpoints int
}

// NewSize returns a fleet of so many services with so many endpoints each.
func NewSize(services, endpoints int) Size { return Size{services: services, endpoints: endpoints} }

// Figures are what one node spent on control, as a mean over the fleet.
type Figures struct {
	Nodes         int     `json:"nodes"`
	PerService    int     `json:"perService"`
	CorePercent   float64 `json:"corePercent"`
	MemoryMB      float64 `json:"memoryMB"`
	SentKBPerS    float64 `json:"sentKBPerS"`
	PlatformPerS  float64 `json:"platformCallsPerS"`
	SpreadSeconds float64 `json:"spreadSeconds"`
}

// Measure starts a fleet, lets it settle, and watches it.
func Measure(ctx context.Context, s Size, log io.Writer, launch fleet.Launcher) (Figures, error) {
	f, err := fleet.Start(ctx, fleet.Idle(s.services, s.endpoints), fleet.NewOptions("full", log, launch))
	if err != nil {
		return Figures{}, fmt.Errorf("slopes: %w", err)
	}
	defer f.Stop()
	time.Sleep(settleTime)
	before, err := take(ctx, f)
	if err != nil {
		return Figures{}, err
	}
	time.Sleep(watchTime)
	after, err := take(ctx, f)
	if err != nil {
		return Figures{}, err
	}
	spread, err := spreadTimeOf(ctx, f)
	if err != nil {
		return Figures{}, err
	}
	nodes := float64(len(f.Endpoints()))
	seconds := watchTime.Seconds()
	return Figures{
		Nodes: len(f.Endpoints()), PerService: s.endpoints,
		CorePercent:   100 * (after.cpu - before.cpu).Seconds() / seconds / nodes,
		MemoryMB:      float64(after.memoryKB) / kilobyte / nodes,
		SentKBPerS:    float64(after.sent-before.sent) / kilobyte / seconds / nodes,
		PlatformPerS:  float64(after.calls-before.calls) / seconds,
		SpreadSeconds: spread.Seconds(),
	}, nil
}

// counters are sums over all nodes.
type counters struct {
	cpu      time.Duration
	memoryKB int64
	sent     int64
	calls    int64
}

func take(ctx context.Context, f *fleet.Fleet) (counters, error) {
	var c counters
	for _, e := range f.Endpoints() {
		cpu, memoryKB, err := processFigures(e.Node().PID())
		if err != nil {
			return c, err
		}
		sent, err := sentBytes(ctx, e.OpsAddr())
		if err != nil {
			return c, err
		}
		c.cpu += cpu
		c.memoryKB += memoryKB
		c.sent += sent
	}
	calls, err := f.PlatformCalls(ctx)
	if err != nil {
		return c, fmt.Errorf("slopes: %w", err)
	}
	c.calls = calls
	return c, nil
}

// processFigures reads processor time and resident memory of a process (proc(5)).
func processFigures(pid int) (cpu time.Duration, memoryKB int64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, fmt.Errorf("slopes: %w", err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField, pagesField = 11, 12, 21
	ticks := int64(0)
	for _, i := range []int{userField, systemField} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, 0, fmt.Errorf("slopes: %w", err)
		}
		ticks += n
	}
	pages, err := strconv.ParseInt(fields[pagesField], 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("slopes: %w", err)
	}
	return time.Duration(ticks) * time.Second / tickHertz, pages * int64(os.Getpagesize()) / kilobyte, nil
}

func sentBytes(ctx context.Context, ops string) (int64, error) {
	text, err := fleet.Get(ctx, "http://"+ops+"/debug/vars")
	if err != nil {
		return 0, fmt.Errorf("slopes: %w", err)
	}
	var vars struct {
		Sent int64 `json:"peerBytesSent"`
	}
	if err := json.Unmarshal([]byte(text), &vars); err != nil {
		return 0, fmt.Errorf("slopes: %w", err)
	}
	return vars.Sent, nil
}

// spreadTimeOf publishes rules and waits until every node has them in force.
func spreadTimeOf(ctx context.Context, f *fleet.Fleet) (time.Duration, error) {
	const version = 2
	start := time.Now()
	if err := f.PublishRules(ctx, f.Topology().Rules(version)); err != nil {
		return 0, fmt.Errorf("slopes: %w", err)
	}
	for _, e := range f.Endpoints() {
		for {
			s, err := opsapi.NewClient(e.OpsAddr()).Status(ctx)
			if err == nil && s.RulesVersion == version {
				break
			}
			if time.Since(start) > spreadTime {
				return 0, fmt.Errorf("slopes: rules not in force after %s", spreadTime)
			}
			time.Sleep(pollPause)
		}
	}
	return time.Since(start), nil
}
