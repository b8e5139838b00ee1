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

// Version is the version of tamarackd that --version prints and the node logs at its start.
const Version = "0.1.0"

// ErrSettings is wrapped by the errors that NewCommand's command returns for faulty flags, environment variables or
// settings files.
var ErrSettings = errors.New("faulty settings")

// Flags; the environment variable of a flag is its upper-case name with underscores after TAMARACK_.
const (
	flagHTTP      = "http-addr"
	flagRPC       = "rpc-addr"
	flagOps       = "ops-addr"
	flagBackend   = "backend-addr"
	flagService   = "service"
	flagHost      = "host"
	flagZone      = "zone"
	flagPlatform  = "platform-addr"
	flagPeers     = "peers"
	flagLevel     = "log-level"
	flagConns     = "backend-conns"
	flagLease     = "lease"
	flagSkew      = "clock-skew"
	flagHeartbeat = "heartbeat"
	flagDrain     = "drain-delay"
	flagStop      = "stop-timeout"
	flagControl   = "control"
	flagDelay     = "zone-delay"
	flagMemory    = "memory"
	flagFiles     = "max-fds"
)

const (
	defaultBackendConns = 256
	bytesPerMB          = 1 << 20
	minMemoryMB         = 32
	// minStopTimeout is the time for the last answers of a stop whose signal came late.
	minStopTimeout        = 500 * time.Millisecond
	minLease              = 200 * time.Millisecond
	minHeartbeatInterval  = 10 * time.Millisecond
	minHeartbeatsPerLease = 2
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
	heartbeat    time.Duration
	drainDelay   time.Duration
	stopTimeout  time.Duration
	control      string
	zoneDelay    time.Duration
	memoryMB     int
	descriptors  int
}

// memoryBytes returns the number of bytes that the process may use.
func (s settings) memoryBytes() int64 { return int64(s.memoryMB) * bytesPerMB }

// NewCommand returns the command line, which runs a node until a signal or a failed listener ends it.
func NewCommand() *cli.Command {
	return &cli.Command{
		Name:     "tamarackd",
		Usage:    "the node of tamarackrudder, one small process beside each backend server",
		Version:  Version,
		Flags:    flags(),
		Commands: []*cli.Command{platformCommand()},
		Action: func(ctx context.Context, c *cli.Command) error {
			received := catchSignals(ctx)
			s := readFlags(c)
			if err := s.check(); err != nil {
				return err
			}
			return serveNode(ctx, received, s)
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return fmt.Errorf("%w: %w", ErrSettings, err)
		},
	}
}

func envVar(name string) cli.ValueSourceChain {
	return cli.EnvVars("TAMARACK_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

func stringFlag(name, usage, value string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: value, Sources: envVar(name)}
}

func durationFlag(name, usage string, value time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: value, Sources: envVar(name)}
}

func intFlag(name, usage string, value int) cli.Flag {
	return &cli.IntFlag{Name: name, Usage: usage, Value: value, Sources: envVar(name)}
}

func flags() []cli.Flag {
	return []cli.Flag{
		stringFlag(flagHTTP, "IP:port for callers and for the calls that the backend server makes", "127.0.0.1:8080"),
		stringFlag(flagRPC, "IP:port for peers; it identifies the endpoint in the platform's list of hosts", "127.0.0.1:8081"),
		stringFlag(flagOps, "IP:port for operators", "127.0.0.1:8082"),
		stringFlag(flagBackend, "IP:port of the backend server", ""),
		stringFlag(flagService, "service of the backend server", ""),
		stringFlag(flagHost, "name of this host", ""),
		stringFlag(flagZone, "availability zone of this host", ""),
		stringFlag(flagPlatform, "IP:port of the platform's configuration service", ""),
		&cli.StringSliceFlag{
			Name: flagPeers, Usage: "IP:port of peers to ask before a list of hosts is known", Sources: envVar(flagPeers),
		},
		stringFlag(flagLevel, "debug, info, warn or error", "info"),
		intFlag(flagConns, "connections to the backend server", defaultBackendConns),
		durationFlag(flagLease, "length of the lease for non-idempotent requests", node.DefaultLease),
		durationFlag(flagSkew, "bound on the skew between the clocks of any two hosts", node.DefaultSkew),
		durationFlag(flagHeartbeat, "time between heartbeats", node.DefaultHeartbeat),
		durationFlag(flagDrain, "time after a stop signal during which callers are still answered", time.Second),
		durationFlag(flagStop, "longest time to wait for requests in flight when stopping", 30*time.Second),
		stringFlag(flagControl, "overload control: none, static, local or full; all but full are baselines", string(node.ControlFull)),
		durationFlag(flagDelay, "one-way delay added to requests to peers in other availability zones, for measurements on one machine", 0),
		intFlag(flagMemory, "memory in MB that the process may use", defaultMemory/bytesPerMB),
		intFlag(flagFiles, "descriptors that the process may have", processDescriptors()),
	}
}

func readFlags(c *cli.Command) settings {
	return settings{
		httpAddr: c.String(flagHTTP), rpcAddr: c.String(flagRPC), opsAddr: c.String(flagOps),
		backendAddr: c.String(flagBackend), platformAddr: c.String(flagPlatform),
		service: c.String(flagService), host: c.String(flagHost), zone: c.String(flagZone),
		peers: c.StringSlice(flagPeers), logLevel: c.String(flagLevel), conns: c.Int(flagConns),
		lease: c.Duration(flagLease), skew: c.Duration(flagSkew), heartbeat: c.Duration(flagHeartbeat),
		drainDelay: c.Duration(flagDrain), stopTimeout: c.Duration(flagStop), control: c.String(flagControl),
		zoneDelay: c.Duration(flagDelay), memoryMB: c.Int(flagMemory), descriptors: c.Int(flagFiles),
	}
}

// check returns one error that lists all faulty settings.
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
	if s.memoryMB < minMemoryMB {
		fault("--%s: %d is less than %d", flagMemory, s.memoryMB, minMemoryMB)
	}
	if s.descriptors <= reservedDescriptors {
		fault("--%s: %d is not more than %d", flagFiles, s.descriptors, reservedDescriptors)
	}
	s.checkTimes(fault)
	if len(faults) == 0 {
		return nil
	}
	return fmt.Errorf("%w:\n  %s", ErrSettings, strings.Join(faults, "\n  "))
}

// shortened returns the settings with the times of a stop that began some time ago.
func (s settings) shortened(elapsed time.Duration) settings {
	s.drainDelay = max(0, s.drainDelay-elapsed)
	s.stopTimeout = max(min(minStopTimeout, s.stopTimeout), s.stopTimeout-elapsed)
	return s
}

func (s settings) checkTimes(fault func(format string, args ...any)) {
	if s.lease < minLease {
		fault("--%s: %s is less than %s", flagLease, s.lease, minLease)
	}
	if s.heartbeat < minHeartbeatInterval || s.heartbeat*minHeartbeatsPerLease > s.lease {
		fault("--%s: %s is not between %s and a half of the lease", flagHeartbeat, s.heartbeat, minHeartbeatInterval)
	}
	if s.skew < 0 || s.drainDelay < 0 || s.stopTimeout <= 0 || s.zoneDelay < 0 {
		fault("--%s, --%s and --%s must be 0 or more, and --%s more than 0", flagSkew, flagDrain, flagDelay, flagStop)
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
