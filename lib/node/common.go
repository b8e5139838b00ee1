package node

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/lease"
	"tamarackrudder.org/lib/rules"
	"tamarackrudder.org/lib/spread"
)

// The names of the published values.
const (
	NameRules = "rules"
	NameHosts = "hosts"
)

// Settings tell a node who it is.
type Settings struct {
	self      string
	service   string
	zone      string
	seeds     []string
	terms     lease.Terms
	heartbeatInterval time.Duration
	control   Control
	untraced  bool
	// alwaysWatch makes the node watch the platform itself, whoever else does.
	alwaysWatch bool
	// Within retryWindow, retryRatio is how many retries each request earns, and retrySpare how many all nodes together
	// have without any.
	retryRatio  float64
	retrySlack  float64
	retryWindow time.Duration
}

// NewSettings returns the settings of the node that listens for peers at an address.
func NewSettings(self, service, zone string) Settings {
	return Settings{
		self: self, service: service, zone: zone,
		terms:      TermsOf(DefaultLease, DefaultSkew),
		heartbeatInterval:  DefaultBeat,
		control:    ControlFull,
		retryRatio: DefaultRetryRatio, retrySlack: DefaultRetrySlack, retryWindow: DefaultRetryWindow,
	}
}

// WithSeeds returns the settings with the addresses of peers to ask before a list of hosts is known.
func (s Settings) WithSeeds(seeds []string) Settings { s.seeds = seeds; return s }

// WithTerms returns the settings with the times on which leases rest.
func (s Settings) WithTerms(terms lease.Terms) Settings { s.terms = terms; return s }

// WithBeat returns the settings with the time between heartbeats.
func (s Settings) WithBeat(every time.Duration) Settings { s.heartbeatInterval = every; return s }

// WithControl returns the settings with the parts of overload control that are switched on.
func (s Settings) WithControl(c Control) Settings { s.control = c; return s }

// WithUntraced returns the settings of a node whose backend server does not copy the context of a request into its
// deeper calls.
func (s Settings) WithUntraced() Settings { s.untraced = true; return s }

// WithWatching returns the settings of a node that always watches the platform itself.
func (s Settings) WithWatching() Settings { s.alwaysWatch = true; return s }

// WithRetries returns the settings with how many retries each request earns within a window of time, and how many all
// nodes together have without any.
func (s Settings) WithRetries(share, spare float64, window time.Duration) Settings {
	s.retryRatio, s.retrySlack, s.retryWindow = share, spare, window
	return s
}

// The retries of a node unless its settings say otherwise.
const (
	DefaultRetryRatio  = 0.1
	DefaultRetrySlack  = 20.0
	DefaultRetryWindow = 10 * time.Second
)

// The times that a node keeps to unless its settings say otherwise.
const (
	// DefaultLease is the length of a lease; a silent owner's keys are served by others about a third longer after it fell silent.
	DefaultLease = time.Second
	// DefaultSkew bounds the skew between the clocks of any two hosts.
	DefaultSkew = 250 * time.Millisecond
	// DefaultBeat is the time between heartbeats; a lease outlasts a lost one.
	DefaultBeat = 400 * time.Millisecond
)

// leaseDriftDivisor is the part of a lease, as its inverse, by which two hosts' clocks may drift over its length.
const leaseDriftDivisor = 10

// TermsOf returns the terms of a lease's length, with the bound on the skew between clocks.
func TermsOf(length, skew time.Duration) lease.Terms {
	return lease.NewTerms(length, length/leaseDriftDivisor, skew, skew)
}

// Control names how much of overload control is switched on; all but the last are baselines to measure against.
type Control string

// The levels of control.
const (
	ControlNone   Control = "none"
	ControlStatic Control = "static"
	ControlLocal  Control = "local"
	ControlFull   Control = "full"
)

// Seams are a node's ways to the outside.
type Seams struct {
	// Exec runs a request at a peer.
	Exec func(ctx context.Context, addr string, r call.Request) call.Answer
	// Beat exchanges heartbeats with a peer.
	Beat func(ctx context.Context, addr string, b gossip.Beat) (gossip.Beat, error)
	// Fetch gets a peer's published value.
	Fetch func(ctx context.Context, addr, name string) (spread.Value, error)
	// Handover hands claims to a peer.
	Handover func(ctx context.Context, addr string, h gossip.Handover) error
	// GiveBack asks a peer for the keys that an earlier incarnation lost.
	GiveBack func(ctx context.Context, addr string, l lease.Loss) (gossip.Return, error)
	// Run sends a request to the own backend server and reports whether its connection broke.
	Run func(ctx context.Context, r call.Request, token string, shedStatus int) (call.Answer, bool)
	// Cancel tells the own backend server on a path of its own that nobody waits for a request.
	Cancel func(path, token string)
	// Probe reports whether the own backend server accepts connections.
	Probe func(ctx context.Context) bool
	// Watch waits for a value newer than a sequence; without one it returns no text.
	Watch func(ctx context.Context, name string, after uint64, wait time.Duration) (uint64, []byte, error)
	// DecodeRules reads rules that are not in the own format; nil for the own one.
	DecodeRules func(text []byte) (*rules.Set, error)
	// DecodeList reads a list of hosts.
	DecodeList func(sequence uint64, text []byte) (*hosts.List, error)
	// NewID mints an identifier.
	NewID func() string
	// Random returns a number from 0 to below 1.
	Random func() float64
}

// Common is what every part of a node shares.
type Common struct {
	clock    clock.Clock
	log      log.Logger
	settings Settings
	seams    Seams
}

// NewCommon returns the dependencies of a node.
func NewCommon(c clock.Clock, logger log.Logger, settings Settings, seams Seams) Common {
	return Common{clock: c, log: logger, settings: settings, seams: seams}
}
