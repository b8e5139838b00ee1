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
	settleTime          = 5 * time.Second
	measureTime         = 20 * time.Second
	pollInterval        = 5 * time.Millisecond
	spreadTimeout       = 30 * time.Second
	clockTicksPerSecond = 100
	kilobyte            = 1024
)

// Size is the size of a fleet without callers: the number of services, and of endpoints in each of them.
type Size struct {
	services  int
	endpoints int
}

// NewSize returns the size of a fleet with the given numbers of services and of endpoints in each service.
func NewSize(services, endpoints int) Size { return Size{services: services, endpoints: endpoints} }

// Figures are the costs of control in a fleet. CorePercent, MemoryMB (resident) and PeerKBPerSecond (sent to peers) are
// means per node; PlatformCallsPerSecond is the sum of all nodes. SpreadSeconds is the time from the publication of rules
// until the last node has them in force.
type Figures struct {
	Nodes                  int     `json:"nodes"`
	EndpointsPerService    int     `json:"perService"`
	CorePercent            float64 `json:"corePercent"`
	MemoryMB               float64 `json:"memoryMB"`
	PeerKBPerSecond        float64 `json:"sentKBPerS"`
	PlatformCallsPerSecond float64 `json:"platformCallsPerS"`
	SpreadSeconds          float64 `json:"spreadSeconds"`
}

// Measure starts a fleet, waits settleTime so that its start does not show in the figures, and measures it for
// measureTime.
func Measure(ctx context.Context, s Size, log io.Writer, launch fleet.Launcher) (Figures, error) {
	f, err := fleet.Start(ctx, fleet.Idle(s.services, s.endpoints), fleet.NewOptions("full", log, launch))
	if err != nil {
		return Figures{}, fmt.Errorf("slopes: %w", err)
	}
	defer f.Stop()
	time.Sleep(settleTime)
	before, err := readCounters(ctx, f)
	if err != nil {
		return Figures{}, err
	}
	time.Sleep(measureTime)
	after, err := readCounters(ctx, f)
	if err != nil {
		return Figures{}, err
	}
	spread, err := measureSpread(ctx, f)
	if err != nil {
		return Figures{}, err
	}
	nodes := float64(len(f.Endpoints()))
	seconds := measureTime.Seconds()
	return Figures{
		Nodes: len(f.Endpoints()), EndpointsPerService: s.endpoints,
		CorePercent:            100 * (after.cpu - before.cpu).Seconds() / seconds / nodes,
		MemoryMB:               float64(after.memoryKB) / kilobyte / nodes,
		PeerKBPerSecond:        float64(after.sent-before.sent) / kilobyte / seconds / nodes,
		PlatformCallsPerSecond: float64(after.calls-before.calls) / seconds,
		SpreadSeconds:          spread.Seconds(),
	}, nil
}

// counters holds processor time, resident memory, bytes sent to peers and platform calls, as sums over all nodes.
type counters struct {
	cpu      time.Duration
	memoryKB int64
	sent     int64
	calls    int64
}

func readCounters(ctx context.Context, f *fleet.Fleet) (counters, error) {
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

// processFigures returns the processor time and resident memory of a process from /proc/PID/stat (proc(5)).
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
	return time.Duration(ticks) * time.Second / clockTicksPerSecond, pages * int64(os.Getpagesize()) / kilobyte, nil
}

// sentBytes returns the number of bytes that a node has sent to its peers, from its metrics.
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

// measureSpread publishes a new version of the rules and returns the time until every node has it in force.
func measureSpread(ctx context.Context, f *fleet.Fleet) (time.Duration, error) {
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
			if time.Since(start) > spreadTimeout {
				return 0, fmt.Errorf("slopes: rules version %d not in force at node %s after %s", version, e.OpsAddr(), spreadTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Since(start), nil
}
