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
	before      = 4 * time.Second
	surge       = 4 * time.Second
	after       = 5 * time.Second
	calmShare   = 0.5
	surgeShare  = 3.0
	resends     = 2
	bucketsPerS = 10
)

// Run shows both deployments one after the other; keep leaves the second one up until a signal comes.
func Run(ctx context.Context, out io.Writer, launch fleet.Launcher, keep bool) error {
	topologies := []fleet.Topology{fleet.Directorate(), fleet.Ateliers()}
	for i, t := range topologies {
		last := i == len(topologies)-1
		if err := show(ctx, out, launch, t, keep && last); err != nil {
			return err
		}
	}
	return nil
}

func show(ctx context.Context, out io.Writer, launch fleet.Launcher, t fleet.Topology, keep bool) error {
	f, err := fleet.Start(ctx, t, fleet.NewOptions("full", os.Stderr, launch))
	if err != nil {
		return fmt.Errorf("%s: %w", t.Name(), err)
	}
	defer f.Stop()
	_, _ = fmt.Fprintf(out, "\n%s: %d endpoints, each a backend server with its node\n", t.Name(), len(f.Endpoints()))
	_, _ = fmt.Fprintf(out, "%s of load, %s of a surge at %.0f times the capacity, %s to recover\n",
		before, surge, surgeShare, after)
	callers := loads.NewCallers(f.Entries(), t, resends)
	report := callers.Run(ctx, []loads.Phase{
		loads.NewPhase(before, calmShare*t.Capacity()),
		loads.NewPhase(surge, surgeShare*t.Capacity()),
		loads.NewPhase(after, calmShare*t.Capacity()),
	})
	printSummary(out, report.Summary())
	if !keep {
		return nil
	}
	return wait(ctx, out, f)
}

func printSummary(out io.Writer, s loads.Summary) {
	_, _ = fmt.Fprintln(out, "whole answers a second:")
	for _, c := range s.Classes {
		_, _ = fmt.Fprintf(out, "  %-8s", c.Name)
		for i := 0; i < len(c.Goodput); i += bucketsPerS {
			sum := int64(0)
			for _, n := range c.Goodput[i:min(len(c.Goodput), i+bucketsPerS)] {
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

// wait leaves the deployment up and says how to reach it.
func wait(ctx context.Context, out io.Writer, f *fleet.Fleet) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	_, _ = fmt.Fprintln(out, "left up until interrupted; nodes (callers, operators):")
	for _, e := range f.Endpoints() {
		_, _ = fmt.Fprintf(out, "  %-13s %-8s http://%s  ops %s\n", e.Service(), e.Zone(), e.HTTPAddr(), e.OpsAddr())
	}
	<-ctx.Done()
	return nil
}
