package wiring

import (
	"context"
	"fmt"
	"net"
	"os"
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
	"tamarackrudder.org/lib/roster"
	"tamarackrudder.org/platform"
)

const (
	// platformDrainDelay is how long callers are served after the stop signal. They send requests until the platform has
	// made two readiness checks, one per second.
	platformDrainDelay = 2200 * time.Millisecond
	// stopMargin is the part of the grace period left for the process to exit before it is killed.
	stopMargin = 500 * time.Millisecond
	// retryBudgetFraction is the fraction of the platform's retry budget that a node plans with. More retries crowd out first
	// attempts at services that are full.
	retryBudgetFraction = 0.45
	// platformBackendConns is the number of connections to the backend server if the rules set none.
	platformBackendConns = 256
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run on the users' platform, with the settings file that it provides",
		Flags: []cli.Flag{stringFlag(flagLevel, "debug, info, warn or error", "info")},
		Action: func(ctx context.Context, c *cli.Command) error {
			received := catchSignals(ctx)
			platformSettings, err := platform.ReadSettings()
			if err != nil {
				return fmt.Errorf("%w: %w", ErrSettings, err)
			}
			return servePlatform(ctx, received, platformSettings, c.String(flagLevel))
		},
	}
}

// settingsFromPlatform converts the platform's settings to those of tamarackd; the others get their defaults.
func settingsFromPlatform(platformSettings platform.Settings, logLevel string) settings {
	host, _, _ := net.SplitHostPort(platformSettings.PeersAddr())
	memory, descriptors := int(platformSettings.Memory()/bytesPerMB), platformSettings.Descriptors()
	if memory == 0 {
		memory = defaultMemory / bytesPerMB
	}
	if descriptors == 0 {
		descriptors = processDescriptors()
	}
	return settings{
		httpAddr: platformSettings.CallersAddr(), rpcAddr: platformSettings.PeersAddr(), opsAddr: platformSettings.OpsAddr(),
		backendAddr: platformSettings.BackendAddr(), platformAddr: platformSettings.StoreAddr(),
		service: platformSettings.Service(), host: host, zone: platformSettings.Zone(), logLevel: logLevel, conns: platformBackendConns,
		lease: node.DefaultLease, skew: node.DefaultSkew, heartbeat: node.DefaultHeartbeat,
		drainDelay: platformDrainDelay, stopTimeout: platformSettings.Grace() - stopMargin, control: string(node.ControlFull),
		memoryMB: max(minMemoryMB, memory), descriptors: max(reservedDescriptors+1, descriptors),
	}
}

func servePlatform(ctx context.Context, received *signals, platformSettings platform.Settings, logLevel string) error {
	s := settingsFromPlatform(platformSettings, logLevel)
	if err := s.check(); err != nil {
		return err
	}
	tuneMemory(platformGCPercent, s.memoryBytes())
	bodies := newBodyBudget(s.memoryBytes())
	logger := newLogger(s, os.Stdout)
	n := newPlatformNode(ctx, platformSettings, s, logger)
	seams := front.Seams{
		Serve: n.Serve, Refuse: n.Refuse, NewID: uuid.NewString, Bodies: bodies, MaxBody: n.MaxBody, Leaving: n.Stopping,
	}
	callers := platform.NewFront(seams, s.service)
	ready, err := readyActor(ctx, platformSettings.ReadyAddr(), func() bool { return n.Ready() && !n.Stopping() })
	if err != nil {
		return err
	}
	reload := received.reloadActor(func() { logSettingsChange(platformSettings, logger) })
	return process{settings: s, node: n, callers: callers, bodies: bodies, logger: logger}.serveAll(ctx, received, reload, ready)
}

func newPlatformNode(ctx context.Context, platformSettings platform.Settings, s settings, logger log.Logger) *node.Node {
	peers := relay.NewPeers(relay.DialTCP)
	backend := back.New(s.backendAddr, s.conns, platform.Dialect()).WithAnswers(newReadAnswers(s.memoryBytes()))
	_, peerPort, _ := net.SplitHostPort(s.rpcAddr)
	checks := node.NewChecks()
	feed := platform.NewFeed(ctx, platform.NewStore(s.platformAddr), clock.System{}, logger, peerPort,
		platform.Intervals{
			Check: checks.Pause, Urgent: checks.Urgent, Coalesce: checks.Coalesce,
			Standby: checks.Standby, Known: knownSequence(checks), Listed: checks.Listed,
		})
	nodeSettings := node.NewSettings(s.rpcAddr, s.service, s.zone).WithHeartbeat(s.heartbeat).WithControl(node.Control(s.control)).
		WithUntraced().WithAlwaysWatch().WithRetries(platformSettings.RetryRatio()*retryBudgetFraction,
		platformSettings.RetrySlack()*retryBudgetFraction, platformSettings.RetryWindow()).WithQuotaBounds(platformSettings.Quota())
	seams := nodeSeams(peers, backend, feed.Watch)
	seams.DecodeRules, seams.PlatformLost = platform.DecodeConfig, feed.IsLost
	n := node.New(node.NewCommon(clock.System{}, logger, nodeSettings, seams))
	checks.Follow(n)
	peers.CountBy(n.Locate)
	go logTraffic(ctx, logger)
	return n
}

// knownSequence returns a function that returns the sequence of the newest change of the store that is in force.
func knownSequence(checks *node.Checks) func() uint64 {
	return func() uint64 {
		hostsVersion, rulesSequence := checks.Known()
		return max(roster.SequenceOf(hostsVersion), rulesSequence)
	}
}

// readyActor serves the platform's readiness check at addr.
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

// logSettingsChange reads the settings file again and logs whether it differs from the settings in use, or its faults. A
// running node keeps its settings, such as the addresses of its listeners.
func logSettingsChange(platformSettings platform.Settings, logger log.Logger) {
	current, err := platform.ReadSettings()
	if err != nil {
		_ = level.Error(logger).Log("msg", "settings file cannot be used, the settings in use stay", "err", err)
		return
	}
	_ = level.Info(logger).Log("msg", "settings file read again, changes take effect at the next start",
		"changed", current != platformSettings)
}
