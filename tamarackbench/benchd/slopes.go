package benchd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"tamarackrudder.org/tamarackbench/fleet"
	"tamarackrudder.org/tamarackbench/slopes"
	"tamarackrudder.org/tamarackd/wiring"
)

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure what nodes spend on control in fleets of several sizes; print one JSON line for each size",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "services", Value: []int{4, 8, 16, 4, 4}, Usage: "numbers of services"},
			&cli.IntSliceFlag{Name: "endpoints", Value: []int{3, 3, 3, 6, 12}, Usage: "endpoints of each service, in the same order"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			endpoints := c.IntSlice("endpoints")
			for i, services := range c.IntSlice("services") {
				if i >= len(endpoints) {
					break
				}
				figures, err := slopes.Measure(ctx, slopes.NewSize(services, endpoints[i]), os.Stderr, fleet.LaunchSelf)
				if err != nil {
					return fmt.Errorf("slopes: %w", err)
				}
				if err := json.NewEncoder(os.Stdout).Encode(figures); err != nil {
					return fmt.Errorf("slopes: %w", err)
				}
			}
			return nil
		},
	}
}

func hopCommand() *cli.Command {
	return &cli.Command{
		Name:  "hop",
		Usage: "measure what nodes add to a call, with calls directly and through nodes in turns; print one JSON line",
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "rate", Value: 300, Usage: "calls a second"},
			&cli.StringFlag{Name: "profile", Usage: "file for a processor profile of the entry node"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			wiring.TuneMemory()
			hop, err := slopes.MeasureHop(ctx, c.Float("rate"), c.String("profile"), os.Stderr, fleet.LaunchSelf)
			if err != nil {
				return fmt.Errorf("hop: %w", err)
			}
			if err := json.NewEncoder(os.Stdout).Encode(hop); err != nil {
				return fmt.Errorf("hop: %w", err)
			}
			return nil
		},
	}
}
