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
	"tamarackrudder.org/lib/quota"
	"tamarackrudder.org/lib/rules"
	"tamarackrudder.org/lib/spread"
)

// The names of the values that the platform publishes and peers fetch from each other.
const (
	NameRules = "rules"
	NameHosts = "hosts"
)

// Settings holds the identity of a node and its parameters; the With methods return a changed copy.
type Settings struct {
	self              string
	service           string
	zone              string
	seeds             []string
	terms             lease.Terms
	heartbeatInterval time.Duration
	control           Control
	untraced          bool // see the package comment
	// alwaysWatch makes the node watch the platform itself, even if other nodes of its zone do.
	alwaysWatch bool
	// Within retryWindow, each request allows retryRatio retries, and retrySlack more are allowed; untraced nodes divide
	// retrySlack among all endpoints of the list of hosts.
	retryRatio  float64
	retrySlack  float64
	retryWindow time.Duration
	quotaBounds quota.Bounds
}

// NewSettings returns the default settings of the node that listens for peers at the address self.
func NewSettings(self, service, zone string) Settings {
	return Settings{
		self: self, service: service, zone: zone,
		terms:             TermsOf(DefaultLease, DefaultSkew),
		heartbeatInterval: DefaultHeartbeat,
		control:           ControlFull,
		retryRatio:        DefaultRetryRatio, retrySlack: DefaultRetrySlack, retryWindow: DefaultRetryWindow,
		quotaBounds: quota.NewBounds(quota.DefaultWindow, quota.DefaultOverage, quota.DefaultSlack),
	}
}

// WithSeeds returns the settings with the addresses of the peers to which the node sends heartbeats until it has rules and
// a list of hosts in force.
func (s Settings) WithSeeds(seeds []string) Settings { s.seeds = seeds; return s }

// WithTerms returns the settings with the length of leases and the bounds on clock drift and skew.
func (s Settings) WithTerms(terms lease.Terms) Settings { s.terms = terms; return s }

// WithHeartbeat returns the settings with the interval between heartbeats.
func (s Settings) WithHeartbeat(every time.Duration) Settings { s.heartbeatInterval = every; return s }

// WithControl returns the settings with the level of overload control.
func (s Settings) WithControl(c Control) Settings { s.control = c; return s }

// WithUntraced returns the settings of a node whose backend server does not copy the context of a request into its
// downstream calls, so that they cannot be attributed to that request.
func (s Settings) WithUntraced() Settings { s.untraced = true; return s }

// WithAlwaysWatch returns the settings of a node that always watches the platform itself, even if other nodes of its zone
// do.
func (s Settings) WithAlwaysWatch() Settings { s.alwaysWatch = true; return s }

// WithRetries returns the settings with the retry budget of a service: within the window, each request allows ratio retries,
// and slack more are allowed. Untraced nodes divide slack among all endpoints of the list of hosts.
func (s Settings) WithRetries(ratio, slack float64, window time.Duration) Settings {
	s.retryRatio, s.retrySlack, s.retryWindow = ratio, slack, window
	return s
}

// WithQuotaBounds returns the settings with the bounds within which the quotas of organisations hold over all nodes.
func (s Settings) WithQuotaBounds(b quota.Bounds) Settings { s.quotaBounds = b; return s }

// The default retry budget.
const (
	DefaultRetryRatio  = 0.1
	DefaultRetrySlack  = 20.0
	DefaultRetryWindow = 10 * time.Second
)

// The default times of leases and heartbeats.
const (
	// DefaultLease is the length of a lease; peers serve the keys of a silent owner after about a third more than that.
	DefaultLease = time.Second
	// DefaultSkew bounds the clock skew between any two hosts.
	DefaultSkew = 250 * time.Millisecond
	// DefaultHeartbeat is the interval between heartbeats, short enough for a lease to outlast a lost one.
	DefaultHeartbeat = 400 * time.Millisecond
)

// leaseDriftDivisor sets the bound on the drift between the clocks of two hosts over one lease: the length of the lease
// divided by it.
const leaseDriftDivisor = 10

// TermsOf returns the lease terms for a lease length and a bound on the clock skew between hosts. Keys may be created
// at most skew in the future.
func TermsOf(length, skew time.Duration) lease.Terms {
	return lease.NewTerms(length, length/leaseDriftDivisor, skew, skew)
}

// Control is the level of overload control; all levels but ControlFull are baselines for measurements.
type Control string

// The levels of control: no limits, the published slots as a fixed limit, an adaptive limit at each node, and admission
// control at entry as well.
const (
	ControlNone   Control = "none"
	ControlStatic Control = "static"
	ControlLocal  Control = "local"
	ControlFull   Control = "full"
)

// Seams are the functions through which a node reaches its peers, its backend server and the platform.
type Seams struct {
	// Exec runs a request at a peer.
	Exec func(ctx context.Context, addr string, r call.Request) call.Answer
	// Heartbeat exchanges heartbeats with a peer.
	Heartbeat func(ctx context.Context, addr string, h gossip.Heartbeat) (gossip.Heartbeat, error)
	// Fetch gets a peer's published value.
	Fetch func(ctx context.Context, addr, name string) (spread.Value, error)
	// FetchHosts gets the difference from the list of hosts with the given digest to a peer's, gossip.ErrUnsupported from a
	// peer that sends no differences; if it is nil, whole lists are fetched.
	FetchHosts func(ctx context.Context, addr string, known hosts.Digest) (hosts.Diff, error)
	// Tokens asks a peer for tokens of an organisation's quota; the error wraps quota.ErrNotListening if no process listens at
	// the address. If it is nil, no peer can be asked.
	Tokens func(ctx context.Context, addr string, a quota.Ask) (quota.Grant, error)
	// Handover sends claims to a peer.
	Handover func(ctx context.Context, addr string, h gossip.Handover) error
	// Reclaim asks a peer for the keys that an earlier incarnation of this endpoint has lost.
	Reclaim func(ctx context.Context, addr string, request lease.ReclaimRequest) (gossip.ReclaimReply, error)
	// Run sends a request to the local backend server and reports whether the connection broke.
	Run func(ctx context.Context, r call.Request, token string, shedStatus int) (call.Answer, bool)
	// Cancel sends the local backend server a request to path, which asks it to abandon the request with the given token.
	Cancel func(path, token string)
	// Probe reports whether the local backend server accepts connections.
	Probe func(ctx context.Context) bool
	// Watch waits for a value with a sequence above after; the text is nil if there is none within wait.
	Watch func(ctx context.Context, name string, after uint64, wait time.Duration) (uint64, []byte, error)
	// PlatformLost reports whether this node follows the platform and cannot read it; if it is nil, it always can.
	PlatformLost func() bool
	// DecodeRules parses rules in the format of the platform; if it is nil, rules.Parse does.
	DecodeRules func(text []byte) (*rules.Set, error)
	// DecodeList parses a list of hosts.
	DecodeList func(sequence uint64, text []byte) (*hosts.List, error)
	// EncodeList returns a list of hosts in the format that DecodeList parses.
	EncodeList func(list *hosts.List) ([]byte, error)
	// NewID creates a unique identifier.
	NewID func() string
	// Random returns a random number in [0, 1).
	Random func() float64
}

// Common holds the dependencies that all parts of a node share.
type Common struct {
	clock    clock.Clock
	log      log.Logger
	settings Settings
	seams    Seams
}

// NewCommon returns the dependencies to pass to New.
func NewCommon(c clock.Clock, logger log.Logger, settings Settings, seams Seams) Common {
	return Common{clock: c, log: logger, settings: settings, seams: seams}
}
