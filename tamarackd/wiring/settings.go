package wiring

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"tamarackrudder.org/lib/node"
)

// Version is the program's version.
const Version = "0.1.0"

// ErrSettings says that the program was started with faulty settings.
var ErrSettings = errors.New("faulty settings")

// The names of the settings, as flags.
const (
	flagHTTP     = "http-addr"
	flagRPC      = "rpc-addr"
	flagOps      = "ops-addr"
	flagBackend  = "backend-addr"
	flagService  = "service"
	flagHost     = "host"
	flagZone     = "zone"
	flagPlatform = "platform-addr"
	flagPeers    = "peers"
	flagLevel    = "log-level"
	flagConns    = "backend-conns"
	flagLease    = "lease"
	flagSkew     = "clock-skew"
	flagBeat     = "heartbeat"
	flagDrain    = "drain-delay"
	flagStop     = "stop-timeout"
	flagControl  = "control"
	flagDelay    = "zone-delay"
)

const (
	defaultConns = 256
	minLease     = 200 * time.Millisecond
	minBeat      = 10 * time.Millisecond
	beatsInLease = 2
)

type settings struct {
	httpAddr     string
	rpcAddr      string
	opsAddr      string
	backendAddr  string
	platformAddr string
	service      string
	host         string
	zone         string
	peers        []string
	logLevel     string
	conns        int
	lease        time.Duration
	skew         time.Duration
	beat         time.Duration
	drainDelay   time.Duration
	stopTimeout  time.Duration
	control      string
	zoneDelay    time.Duration
}

// NewCommand returns the program's command line.
func NewCommand() *cli.Command {
	return &cli.Command{
		Name:     "tamarackd",
		Usage:    "the node of tamarackrudder, one small process beside each backend server",
		Version:  Version,
		Flags:    flags(),
		Commands: []*cli.Command{platformCommand()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := read(c)
			if err := s.check(); err != nil {
				return err
			}
			return serveNode(ctx, s)
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return fmt.Errorf("%w: %w", ErrSettings, err)
		},
	}
}

func env(name string) cli.ValueSourceChain {
	return cli.EnvVars("TAMARACK_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

func text(name, usage, value string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: value, Sources: env(name)}
}

func span(name, usage string, value time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: value, Sources: env(name)}
}

func flags() []cli.Flag {
	return []cli.Flag{
		text(flagHTTP, "IP:port for callers and for the backend server's own calls", "127.0.0.1:8080"),
		text(flagRPC, "IP:port for peers; it names the endpoint in the platform's list", "127.0.0.1:8081"),
		text(flagOps, "IP:port for operators", "127.0.0.1:8082"),
		text(flagBackend, "IP:port of the backend server", ""),
		text(flagService, "service of the backend server", ""),
		text(flagHost, "name of this host", ""),
		text(flagZone, "availability zone of this host", ""),
		text(flagPlatform, "IP:port of the platform's configuration service", ""),
		&cli.StringSliceFlag{
			Name: flagPeers, Usage: "IP:port of peers to ask before a list of hosts is known", Sources: env(flagPeers),
		},
		text(flagLevel, "debug, info, warn or error", "info"),
		&cli.IntFlag{
			Name: flagConns, Usage: "connections to the backend server", Value: defaultConns, Sources: env(flagConns),
		},
		span(flagLease, "length of the lease for non-idempotent requests", node.DefaultLease),
		span(flagSkew, "bound on the skew between the clocks of any two hosts", node.DefaultSkew),
		span(flagBeat, "time between heartbeats", node.DefaultBeat),
		span(flagDrain, "time after a stop signal during which callers are still answered", time.Second),
		span(flagStop, "longest time to wait for requests in flight when stopping", 30*time.Second),
		text(flagControl, "overload control: none, static, local or full; all but full are baselines", string(node.ControlFull)),
		span(flagDelay, "delay one way of requests to peers in other availability zones, for benches on one machine", 0),
	}
}

func read(c *cli.Command) settings {
	return settings{
		httpAddr: c.String(flagHTTP), rpcAddr: c.String(flagRPC), opsAddr: c.String(flagOps),
		backendAddr: c.String(flagBackend), platformAddr: c.String(flagPlatform),
		service: c.String(flagService), host: c.String(flagHost), zone: c.String(flagZone),
		peers: c.StringSlice(flagPeers), logLevel: c.String(flagLevel), conns: c.Int(flagConns),
		lease: c.Duration(flagLease), skew: c.Duration(flagSkew), beat: c.Duration(flagBeat),
		drainDelay: c.Duration(flagDrain), stopTimeout: c.Duration(flagStop), control: c.String(flagControl),
		zoneDelay: c.Duration(flagDelay),
	}
}

// check lists all faults at once.
func (s settings) check() error {
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	addrs := map[string]string{
		flagHTTP: s.httpAddr, flagRPC: s.rpcAddr, flagOps: s.opsAddr,
		flagBackend: s.backendAddr, flagPlatform: s.platformAddr,
	}
	for _, name := range []string{flagHTTP, flagRPC, flagOps, flagBackend, flagPlatform} {
		if !isAddr(addrs[name]) {
			fault("--%s: %q is not IP:port", name, addrs[name])
		}
	}
	names := map[string]string{flagService: s.service, flagHost: s.host, flagZone: s.zone}
	for _, name := range []string{flagService, flagHost, flagZone} {
		if names[name] == "" {
			fault("--%s is missing", name)
		}
	}
	for _, peer := range s.peers {
		if !isAddr(peer) {
			fault("--%s: %q is not IP:port", flagPeers, peer)
		}
	}
	if _, ok := levels[s.logLevel]; !ok {
		fault("--%s: %q is not debug, info, warn or error", flagLevel, s.logLevel)
	}
	if s.conns < 1 {
		fault("--%s: %d is less than 1", flagConns, s.conns)
	}
	s.checkTimes(fault)
	if len(faults) == 0 {
		return nil
	}
	return fmt.Errorf("%w:\n  %s", ErrSettings, strings.Join(faults, "\n  "))
}

func (s settings) checkTimes(fault func(format string, args ...any)) {
	if s.lease < minLease {
		fault("--%s: %s is less than %s", flagLease, s.lease, minLease)
	}
	if s.beat < minBeat || s.beat*beatsInLease > s.lease {
		fault("--%s: %s is not between %s and a half of the lease", flagBeat, s.beat, minBeat)
	}
	if s.skew < 0 || s.drainDelay < 0 || s.stopTimeout <= 0 || s.zoneDelay < 0 {
		fault("--%s, --%s, --%s and --%s must not be negative", flagSkew, flagDrain, flagStop, flagDelay)
	}
	switch node.Control(s.control) {
	case node.ControlNone, node.ControlStatic, node.ControlLocal, node.ControlFull:
	default:
		fault("--%s: %q is not none, static, local or full", flagControl, s.control)
	}
}

func isAddr(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil
}
