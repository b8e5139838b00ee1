package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"tamarackrudder.org/tamarackbench/fleet"
	"tamarackrudder.org/tamarackbench/loads"
)

const (
	baselineTime       = 4 * time.Second
	surgeTime          = 4 * time.Second
	recoveryTime       = 5 * time.Second
	baselineLoad       = 0.5 // this and surgeLoad are multiples of the topology's capacity
	surgeLoad          = 3.0
	resends            = 2
	intervalsPerSecond = 10 // of the series in loads.ClassSummary
)

// Run runs the demo of both deployments one after the other and writes its report to out. With keep, the second deployment
// stays up until the process receives SIGINT or SIGTERM.
func Run(ctx context.Context, out io.Writer, launch fleet.Launcher, keep bool) error {
	topologies := []fleet.Topology{fleet.Directorate(), fleet.Ateliers()}
	for i, t := range topologies {
		last := i == len(topologies)-1
		if err := runDemo(ctx, out, launch, t, keep && last); err != nil {
			return err
		}
	}
	return nil
}

// runDemo starts one deployment, runs the three phases of load and prints the results.
func runDemo(ctx context.Context, out io.Writer, launch fleet.Launcher, t fleet.Topology, keep bool) error {
	f, err := fleet.Start(ctx, t, fleet.NewOptions("full", os.Stderr, launch))
	if err != nil {
		return fmt.Errorf("%s: %w", t.Name(), err)
	}
	defer f.Stop()
	_, _ = fmt.Fprintf(out, "\n%s: %d endpoints, each a backend server with its node\n", t.Name(), len(f.Endpoints()))
	_, _ = fmt.Fprintf(out, "%s of load, %s of a surge at %.0f times the capacity, %s to recover\n",
		baselineTime, surgeTime, surgeLoad, recoveryTime)
	callers := loads.NewCallers(f.Entries(), t, resends)
	report := callers.Run(ctx, []loads.Phase{
		loads.NewPhase(baselineTime, baselineLoad*t.Capacity()),
		loads.NewPhase(surgeTime, surgeLoad*t.Capacity()),
		loads.NewPhase(recoveryTime, baselineLoad*t.Capacity()),
	})
	printSummary(out, report.Summary())
	if !keep {
		return nil
	}
	return waitForSignal(ctx, out, f)
}

// printSummary prints the goodput of each class, one number a second, and then its counts and latencies.
func printSummary(out io.Writer, s loads.Summary) {
	_, _ = fmt.Fprintln(out, "whole answers a second:")
	for _, c := range s.Classes {
		_, _ = fmt.Fprintf(out, "  %-8s", c.Name)
		for i := 0; i < len(c.Goodput); i += intervalsPerSecond {
			sum := int64(0)
			for _, n := range c.Goodput[i:min(len(c.Goodput), i+intervalsPerSecond)] {
				sum += n
			}
			_, _ = fmt.Fprintf(out, " %4d", sum)
		}
		_, _ = fmt.Fprintln(out)
	}
	for _, c := range s.Classes {
		_, _ = fmt.Fprintf(out, "  %-8s offered %d, whole %d, wrong %d, p50 %.1f ms, p99 %.1f ms, others by verdict:reason %v\n",
			c.Name, c.Offered, c.Succeeded, c.WrongDigest, c.P50Ms, c.P99Ms, c.Reasons)
	}
}

// waitForSignal prints the addresses of all nodes and waits for SIGINT or SIGTERM.
func waitForSignal(ctx context.Context, out io.Writer, f *fleet.Fleet) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	_, _ = fmt.Fprintln(out, "left up until interrupted; nodes (callers, operators):")
	for _, e := range f.Endpoints() {
		_, _ = fmt.Fprintf(out, "  %-13s %-8s http://%s  ops %s\n", e.Service(), e.Zone(), e.HTTPAddr(), e.OpsAddr())
	}
	<-ctx.Done()
	return nil
}
