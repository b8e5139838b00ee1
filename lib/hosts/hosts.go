package hosts

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxEndpoints bounds the endpoints of a list.
const MaxEndpoints = 10_000

// Endpoint is one backend server with the node beside it.
type Endpoint struct {
	service string
	host    string
	zone    string
	rpcAddr string
	leaving bool
	// instance identifies one start of the backend server, empty where the platform reports none.
	instance string
	slots    int
	started  time.Time
	warmAt   time.Time
	// heartbeats counts the heartbeats of this start until the entry was written, zero where the platform reports none.
	heartbeats int64
}

// NewEndpoint returns an endpoint. Its node listens for peers at rpcAddr, an IP address and port.
func NewEndpoint(service, host, zone, rpcAddr string, leaving bool) Endpoint {
	return Endpoint{service: service, host: host, zone: zone, rpcAddr: rpcAddr, leaving: leaving}
}

// Service returns the name of the service.
func (e Endpoint) Service() string { return e.service }

// Host returns the host's name.
func (e Endpoint) Host() string { return e.host }

// Zone returns the availability zone.
func (e Endpoint) Zone() string { return e.zone }

// RPCAddr returns the address at which the endpoint's node listens for peers. It identifies the endpoint.
func (e Endpoint) RPCAddr() string { return e.rpcAddr }

// WithInstance returns the endpoint with the name that identifies one start of its backend server, and the wall time of
// that start.
func (e Endpoint) WithInstance(instance string, started time.Time) Endpoint {
	e.instance, e.started = instance, started
	return e
}

// WithSlots returns the endpoint with the number of requests that its backend server can run at once.
func (e Endpoint) WithSlots(slots int) Endpoint { e.slots = slots; return e }

// WithWarmAt returns the endpoint with the wall time at which the slow phase after its backend server's start ends.
func (e Endpoint) WithWarmAt(at time.Time) Endpoint { e.warmAt = at; return e }

// WithHeartbeats returns the endpoint with the number of heartbeats that its backend server had sent since its start when
// the entry was written.
func (e Endpoint) WithHeartbeats(count int64) Endpoint { e.heartbeats = count; return e }

// WithLeaving returns the endpoint listed as leaving.
func (e Endpoint) WithLeaving() Endpoint { e.leaving = true; return e }

// Instance returns the name that identifies one start of the backend server, empty where it is not known.
func (e Endpoint) Instance() string { return e.instance }

// Started returns the wall time at which the backend server started, zero where it is not known.
func (e Endpoint) Started() time.Time { return e.started }

// Slots returns the number of requests that the backend server can run at once, zero where it is not known.
func (e Endpoint) Slots() int { return e.slots }

// WarmAt returns the wall time at which the slow phase after the backend server's start ends.
func (e Endpoint) WarmAt() time.Time { return e.warmAt }

// Heartbeats returns the number of heartbeats that the backend server had sent since its start when the entry was written,
// zero where it is not known.
func (e Endpoint) Heartbeats() int64 { return e.heartbeats }

// IsOutdated reports whether the entry was written before what is known of the endpoint, or says nothing new. Of two entries
// with the same heartbeats, the one that is leaving is the later one.
func (e Endpoint) IsOutdated(known Endpoint) bool {
	if !e.started.Equal(known.started) {
		return e.started.Before(known.started)
	}
	if e.heartbeats != known.heartbeats {
		return e.heartbeats < known.heartbeats
	}
	return known.leaving || !e.leaving
}

// Leaving reports whether the platform lists the endpoint as leaving.
func (e Endpoint) Leaving() bool { return e.leaving }

// List is one version of the platform's list.
type List struct {
	version   uint64
	endpoints []Endpoint
	members   map[string][]Endpoint
	zones     map[string]string // by the IP address of the node
}

var errInvalidList = errors.New("invalid list of hosts")

// NewList checks the endpoints and returns the list. It returns an error if there are more than MaxEndpoints, if one lacks
// its service, host or zone, or if an address is not an IP address and port or is listed twice.
func NewList(version uint64, endpoints []Endpoint) (*List, error) {
	if len(endpoints) > MaxEndpoints {
		return nil, fmt.Errorf("%w: %d endpoints, at most %d are allowed", errInvalidList, len(endpoints), MaxEndpoints)
	}
	sorted := slices.SortedFunc(slices.Values(endpoints), func(a, b Endpoint) int { return strings.Compare(a.rpcAddr, b.rpcAddr) })
	for i, e := range sorted {
		if err := e.validate(); err != nil {
			return nil, err
		}
		if i > 0 && sorted[i-1].rpcAddr == e.rpcAddr {
			return nil, fmt.Errorf("%w: address %s is listed twice", errInvalidList, e.rpcAddr)
		}
	}
	return newList(version, sorted), nil
}

// newList returns the list of valid endpoints that are sorted by RPC address.
func newList(version uint64, endpoints []Endpoint) *List {
	l := &List{version: version, endpoints: endpoints, members: map[string][]Endpoint{}, zones: map[string]string{}}
	for _, e := range endpoints {
		l.members[e.service] = append(l.members[e.service], e)
		if ip, _, err := net.SplitHostPort(e.rpcAddr); err == nil {
			l.zones[ip] = e.zone
		}
	}
	return l
}

func (e Endpoint) validate() error {
	if e.service == "" || e.host == "" || e.zone == "" {
		return fmt.Errorf("%w: endpoint %q lacks service, host or zone", errInvalidList, e.rpcAddr)
	}
	host, _, err := net.SplitHostPort(e.rpcAddr)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%w: endpoint address %q is not IP:port", errInvalidList, e.rpcAddr)
	}
	return nil
}

// Version returns the list's version.
func (l *List) Version() uint64 { return l.version }

// Endpoints returns all endpoints, sorted by RPC address. The caller must not change the slice.
func (l *List) Endpoints() []Endpoint { return l.endpoints }

// Members returns the endpoints of a service, sorted by RPC address. The caller must not change the slice.
func (l *List) Members(service string) []Endpoint { return l.members[service] }

// Services returns the number of services that have endpoints.
func (l *List) Services() int { return len(l.members) }

// ZoneOf returns the availability zone of the host with an IP address, and whether an endpoint there is listed.
func (l *List) ZoneOf(ip string) (string, bool) {
	zone, ok := l.zones[ip]
	return zone, ok
}

// KeepLeaving returns the list with those endpoints as leaving that an earlier list shows as leaving and that have written
// no entry since. The earlier list may be nil.
func (l *List) KeepLeaving(earlier *List) *List {
	if earlier == nil {
		return l
	}
	endpoints := slices.Clone(l.endpoints)
	for i, e := range endpoints {
		known, ok := earlier.Find(e.rpcAddr)
		if ok && known.leaving && e.instance != "" && e.instance == known.instance && e.IsOutdated(known) {
			endpoints[i] = known
		}
	}
	return newList(l.version, endpoints)
}

// Find returns the endpoint with the given RPC address.
func (l *List) Find(rpcAddr string) (Endpoint, bool) {
	i, ok := slices.BinarySearchFunc(l.endpoints, rpcAddr, func(e Endpoint, addr string) int {
		return strings.Compare(e.rpcAddr, addr)
	})
	if !ok {
		return Endpoint{}, false
	}
	return l.endpoints[i], true
}

// Ranked returns the addresses of a service in the order in which they own a key, by rendezvous hashing
// (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998).
func (l *List) Ranked(service, key string) []string {
	return Rank(l.members[service], key)
}

// Watchers returns the addresses of the endpoints of a zone that watch the platform for all others there. There are at
// most count, and none of them is leaving.
func (l *List) Watchers(zone string, count int) []string {
	var inZone []Endpoint
	for _, e := range l.endpoints {
		if e.zone == zone && !e.leaving {
			inZone = append(inZone, e)
		}
	}
	ranked := Rank(inZone, "watch")
	return ranked[:min(count, len(ranked))]
}

type scored struct {
	addr  string
	score uint64
}

// Rank returns the addresses of endpoints in the order in which they own a key. A leaving endpoint keeps its rank, so that
// its keys move at its handover and not before.
func Rank(members []Endpoint, key string) []string {
	scores := make([]scored, 0, len(members))
	for _, e := range members {
		scores = append(scores, scored{addr: e.rpcAddr, score: score(e.rpcAddr, key)})
	}
	slices.SortFunc(scores, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.addr, b.addr))
	})
	ranked := make([]string, 0, len(scores))
	for _, s := range scores {
		ranked = append(ranked, s.addr)
	}
	return ranked
}

func score(addr, key string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(addr)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
