package wiring

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"tamarackrudder.org/lib/back"
	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/front"
	"tamarackrudder.org/lib/node"
	"tamarackrudder.org/lib/relay"
	"tamarackrudder.org/platform"
)

const (
	// platformDrain is how long after the signal to stop callers still come: two questions for readiness, one a second.
	platformDrain = 2200 * time.Millisecond
	// stopMargin is left of the grace for the process to end by itself.
	stopMargin = 500 * time.Millisecond
	// retryPart is the part of the fleet's retries that the nodes use in sum, since their counts are of different moments.
	retryPart = 0.4
	// platformConns is the number of connections to the backend server where the rules name none.
	platformConns = 256
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run on the users' platform, with the settings file that it provides",
		Flags: []cli.Flag{text(flagLevel, "debug, info, warn or error", "info")},
		Action: func(ctx context.Context, c *cli.Command) error {
			given, err := platform.ReadSettings()
			if err != nil {
				return fmt.Errorf("%w: %w", ErrSettings, err)
			}
			return servePlatform(ctx, given, c.String(flagLevel))
		},
	}
}

// fromPlatform returns the own settings that say the same as the platform's.
func fromPlatform(given platform.Settings, logLevel string) settings {
	host, _, _ := net.SplitHostPort(given.PeersAddr())
	return settings{
		httpAddr: given.CallersAddr(), rpcAddr: given.PeersAddr(), opsAddr: given.OpsAddr(),
		backendAddr: given.BackendAddr(), platformAddr: given.StoreAddr(),
		service: given.Service(), host: host, zone: given.Zone(), logLevel: logLevel, conns: platformConns,
		lease: node.DefaultLease, skew: node.DefaultSkew, beat: node.DefaultBeat,
		drainDelay: platformDrain, stopTimeout: given.Grace() - stopMargin, control: string(node.ControlFull),
	}
}

func servePlatform(ctx context.Context, given platform.Settings, logLevel string) error {
	s := fromPlatform(given, logLevel)
	if err := s.check(); err != nil {
		return err
	}
	tuneMemory(platformGCPercent)
	logger := newLogger(s, os.Stdout)
	n := newPlatformNode(ctx, given, s, logger)
	seams := front.Seams{Serve: n.Serve, NewID: uuid.NewString, Leaving: n.Stopping}
	callers := platform.NewFront(seams, s.service)
	ready, err := readyActor(ctx, given.ReadyAddr(), func() bool { return n.Ready() && !n.Stopping() })
	if err != nil {
		return err
	}
	return serveAll(ctx, s, n, callers, logger, ready, reloadActor(given, logger))
}

func newPlatformNode(ctx context.Context, given platform.Settings, s settings, logger log.Logger) *node.Node {
	peers := relay.NewPeers(relay.DialTCP)
	backend := back.New(s.backendAddr, s.conns, platform.Dialect())
	_, peerPort, _ := net.SplitHostPort(s.rpcAddr)
	checks := node.NewChecks(clock.System{})
	feed := platform.NewFeed(ctx, platform.NewStore(s.platformAddr), clock.System{}, logger, peerPort,
		platform.Intervals{Check: checks.Pause, Coalesce: checks.Gather})
	nodeSettings := node.NewSettings(s.rpcAddr, s.service, s.zone).WithBeat(s.beat).WithControl(node.Control(s.control)).
		WithUntraced().WithWatching().WithRetries(given.RetryRatio()*retryPart, given.RetrySlack()*retryPart, given.RetryWindow())
	seams := newSeams(peers, backend, feed.Watch)
	seams.DecodeRules = platform.DecodeConfig
	n := node.New(node.NewCommon(clock.System{}, logger, nodeSettings, seams))
	checks.Follow(n)
	return n
}

// readyActor answers the platform's questions for readiness.
func readyActor(ctx context.Context, addr string, ready func() bool) (actor, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return actor{}, fmt.Errorf("listen: %w", err)
	}
	server := newServer(platform.NewReady(ready))
	return actor{
		run:       func() error { return serve(server, listener) },
		interrupt: func(error) { _ = server.Close() },
	}, nil
}

// reloadActor reads the platform's settings file again when it is told to.
func reloadActor(given platform.Settings, logger log.Logger) actor {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	ended := make(chan struct{})
	run := func() error {
		for {
			select {
			case <-ended:
				return nil
			case <-changed:
				reload(given, logger)
			}
		}
	}
	return actor{run: run, interrupt: func(error) {
		signal.Stop(changed)
		close(ended)
	}}
}

// reload says what has changed; a running node keeps the addresses that it listens on.
func reload(given platform.Settings, logger log.Logger) {
	now, err := platform.ReadSettings()
	if err != nil {
		_ = level.Error(logger).Log("msg", "settings not reloaded, the last ones stay in force", "err", err)
		return
	}
	_ = level.Info(logger).Log("msg", "settings reloaded", "changed", now != given)
}
