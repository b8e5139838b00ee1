package benchd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"tamarackrudder.org/tamarackbench/bserv"
	"tamarackrudder.org/tamarackbench/demo"
	"tamarackrudder.org/tamarackbench/fleet"
	"tamarackrudder.org/tamarackbench/loads"
	"tamarackrudder.org/tamarackbench/platfm"
	"tamarackrudder.org/tamarackd/wiring"
)

const readHeaderTimeout = time.Minute

// NewCommand returns the command line of tamarackbench with all its subcommands. Tests run it in the processes that they
// start.
func NewCommand() *cli.Command {
	return &cli.Command{
		Name:    "tamarackbench",
		Usage:   "stand-ins for tests and measuring",
		Version: wiring.Version,
		Commands: []*cli.Command{
			platformCommand(), backendCommand(), loadCommand(), demoCommand(), measureCommand(),
			slopesCommand(), hopCommand(), nodeCommand(),
		},
	}
}

// nodeCommand returns the command of tamarackd as a hidden subcommand, so that a fleet needs only this program.
func nodeCommand() *cli.Command {
	c := wiring.NewCommand()
	c.Name, c.Hidden = "node", true
	return c
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve values to read and watch, count the calls, fail on demand",
		Flags: []cli.Flag{&cli.StringFlag{Name: "addr", Value: "127.0.0.1:9000", Usage: "IP:port to listen at"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			server := &http.Server{
				Addr: c.String("addr"), Handler: platfm.New().Handler(), ReadHeaderTimeout: readHeaderTimeout,
			}
			context.AfterFunc(ctx, func() { _ = server.Close() })
			if err := server.ListenAndServe(); ctx.Err() == nil {
				return fmt.Errorf("platform: %w", err)
			}
			return nil
		},
	}
}

func backendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "serve requests with slots, work and downstream calls",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "addr", Value: "127.0.0.1:9001", Usage: "IP:port to listen at"},
			&cli.StringFlag{Name: "node", Usage: "IP:port of the local node, for downstream calls"},
			&cli.IntFlag{Name: "slots", Value: 16, Usage: "number of requests that run at once"},
			&cli.BoolFlag{Name: "cold", Usage: "take three times as long for work in the first two seconds"},
			&cli.StringSliceFlag{Name: "plan", Usage: `"METHOD /prefix WORK [METHOD:/path ...]", may be given more than once`},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			var plans []bserv.Plan
			for _, text := range c.StringSlice("plan") {
				p, err := bserv.ParsePlan(text)
				if err != nil {
					return fmt.Errorf("backend: %w", err)
				}
				plans = append(plans, p)
			}
			wiring.TuneMemory()
			server := bserv.New(plans, c.String("node"), c.Int("slots"), c.Bool("cold"))
			return server.Serve(ctx, c.String("addr"))
		},
	}
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send the requests of a deployment's callers in an open loop and print a JSON report",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "IP:port of a node, may be given more than once", Required: true},
			&cli.StringFlag{Name: "topology", Value: "directorate", Usage: "directorate or ateliers"},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "requests a second"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "duration of the load"},
			&cli.IntFlag{Name: "resends", Usage: "times that a failed request is sent again"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			t := fleet.Directorate()
			if c.String("topology") == fleet.Ateliers().Name() {
				t = fleet.Ateliers()
			}
			callers := loads.NewCallers(c.StringSlice("entry"), t, c.Int("resends"))
			report := callers.Run(ctx, []loads.Phase{loads.NewPhase(c.Duration("for"), c.Float("rate"))})
			encoder := json.NewEncoder(os.Stdout)
			encoder.SetIndent("", "  ")
			if err := encoder.Encode(report.Summary()); err != nil {
				return fmt.Errorf("report: %w", err)
			}
			return nil
		},
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run both deployments on this machine under steady load, a surge and the recovery from it",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "keep", Usage: "leave the last deployment up until interrupted"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return demo.Run(ctx, os.Stdout, fleet.LaunchSelf, c.Bool("keep"))
		},
	}
}
