package benchd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"tamarackrudder.org/tamarackbench/fleet"
	"tamarackrudder.org/tamarackbench/trials"
)

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "run scenarios under each control mode, write one JSON line for each run and print a table of medians",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "topologies", Value: "ateliers,directorate",
				Usage: "deployments, or deep for a chain of fifteen services, separated by commas",
			},
			&cli.StringFlag{Name: "scenarios", Value: scenarioNames(), Usage: "scenarios, separated by commas"},
			&cli.StringFlag{Name: "controls", Value: "none,static,local,full", Usage: "control modes, separated by commas"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "runs of each scenario and control mode"},
			&cli.StringFlag{Name: "out", Usage: "file for the JSON lines"},
			&cli.StringFlag{Name: "plot", Usage: "file for a plot of goodput over time; its ending, svg or png, gives the format"},
		},
		Action: measure,
	}
}

func scenarioNames() string {
	var names []string
	for _, s := range trials.Scenarios() {
		names = append(names, s.Name())
	}
	return strings.Join(names, ",")
}

func measure(ctx context.Context, c *cli.Command) error {
	out := io.Discard
	if name := c.String("out"); name != "" {
		file, err := os.Create(name)
		if err != nil {
			return fmt.Errorf("measure: %w", err)
		}
		defer func() { _ = file.Close() }()
		out = file
	}
	var medians []trials.Result
	for _, t := range []fleet.Topology{fleet.Ateliers(), fleet.Directorate(), fleet.Deep()} {
		if !isListed(c.String("topologies"), t.Name()) {
			continue
		}
		for _, s := range trials.Scenarios() {
			if !isListed(c.String("scenarios"), s.Name()) {
				continue
			}
			results, err := measureScenario(ctx, c, t, s, out)
			if err != nil {
				return err
			}
			medians = append(medians, results...)
		}
	}
	if name := c.String("plot"); name != "" {
		return trials.Plot(medians, name)
	}
	return nil
}

func isListed(list, name string) bool { return slices.Contains(strings.Split(list, ","), name) }

// measureScenario runs one scenario under each control mode in turn, writes each result to out, and prints and returns the
// median run of each mode.
func measureScenario(ctx context.Context, c *cli.Command, t fleet.Topology, s trials.Scenario, out io.Writer) ([]trials.Result, error) {
	controls := strings.Split(c.String("controls"), ",")
	runs := map[string][]trials.Result{}
	encoder := json.NewEncoder(out)
	for range c.Int("runs") {
		for _, control := range controls {
			r, err := trials.Run(ctx, t, s, control, os.Stderr, fleet.LaunchSelf)
			if err != nil {
				return nil, fmt.Errorf("measure: %w", err)
			}
			if err := encoder.Encode(r); err != nil {
				return nil, fmt.Errorf("measure: %w", err)
			}
			runs[control] = append(runs[control], r)
		}
	}
	medians := make([]trials.Result, 0, len(controls))
	for _, control := range controls {
		medians = append(medians, trials.Median(runs[control]))
		fmt.Println(trials.Row(runs[control]))
	}
	return medians, nil
}
