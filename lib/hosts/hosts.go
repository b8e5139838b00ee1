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

// MaxEndpoints bounds a list.
const MaxEndpoints = 10_000

// Endpoint is one backend server with the node beside it.
type Endpoint struct {
	service string
	host    string
	zone    string
	rpcAddr string
	leaving bool
	// instance names the one start of the backend server, empty where the platform tells none.
	instance string
	slots    int
	started  time.Time
	warmAt   time.Time
}

// NewEndpoint returns an endpoint; its node listens for peers at the given IP address and port.
func NewEndpoint(service, host, zone, rpcAddr string, leaving bool) Endpoint {
	return Endpoint{service: service, host: host, zone: zone, rpcAddr: rpcAddr, leaving: leaving}
}

// Service returns the service.
func (e Endpoint) Service() string { return e.service }

// Host returns the host's name.
func (e Endpoint) Host() string { return e.host }

// Zone returns the availability zone.
func (e Endpoint) Zone() string { return e.zone }

// RPCAddr returns the address at which its node listens for peers; it identifies the endpoint.
func (e Endpoint) RPCAddr() string { return e.rpcAddr }

// WithInstance returns the endpoint with the name of the one start of its backend server, and when that was.
func (e Endpoint) WithInstance(instance string, started time.Time) Endpoint {
	e.instance, e.started = instance, started
	return e
}

// WithSlots returns the endpoint with how many requests its backend server can run at once.
func (e Endpoint) WithSlots(slots int) Endpoint { e.slots = slots; return e }

// WithWarmAt returns the endpoint with the wall time from which its backend server is no longer slow after its start.
func (e Endpoint) WithWarmAt(at time.Time) Endpoint { e.warmAt = at; return e }

// WithLeaving returns the endpoint listed as leaving.
func (e Endpoint) WithLeaving() Endpoint { e.leaving = true; return e }

// Instance returns the name of the one start of the backend server, empty where it is not known.
func (e Endpoint) Instance() string { return e.instance }

// Started returns the wall time at which the backend server started, zero where it is not known.
func (e Endpoint) Started() time.Time { return e.started }

// Slots returns how many requests the backend server can run at once, zero where it is not known.
func (e Endpoint) Slots() int { return e.slots }

// WarmAt returns the wall time from which the backend server is no longer slow after its start.
func (e Endpoint) WarmAt() time.Time { return e.warmAt }

// Leaving reports whether the platform says that the host is leaving.
func (e Endpoint) Leaving() bool { return e.leaving }

// List is one version of the platform's list.
type List struct {
	version   uint64
	endpoints []Endpoint
	members   map[string][]Endpoint
}

var errBadList = errors.New("bad list of hosts")

// NewList checks the endpoints and returns the list.
func NewList(version uint64, endpoints []Endpoint) (*List, error) {
	if len(endpoints) > MaxEndpoints {
		return nil, fmt.Errorf("%w: %d endpoints, at most %d are allowed", errBadList, len(endpoints), MaxEndpoints)
	}
	l := &List{version: version, endpoints: slices.Clone(endpoints), members: map[string][]Endpoint{}}
	slices.SortFunc(l.endpoints, func(a, b Endpoint) int { return strings.Compare(a.rpcAddr, b.rpcAddr) })
	for i, e := range l.endpoints {
		if err := e.check(); err != nil {
			return nil, err
		}
		if i > 0 && l.endpoints[i-1].rpcAddr == e.rpcAddr {
			return nil, fmt.Errorf("%w: address %s stands twice", errBadList, e.rpcAddr)
		}
		l.members[e.service] = append(l.members[e.service], e)
	}
	return l, nil
}

func (e Endpoint) check() error {
	if e.service == "" || e.host == "" || e.zone == "" {
		return fmt.Errorf("%w: endpoint %q lacks service, host or zone", errBadList, e.rpcAddr)
	}
	host, _, err := net.SplitHostPort(e.rpcAddr)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%w: endpoint address %q is not IP:port", errBadList, e.rpcAddr)
	}
	return nil
}

// Version returns the list's version.
func (l *List) Version() uint64 { return l.version }

// Endpoints returns all endpoints by address; not to be changed.
func (l *List) Endpoints() []Endpoint { return l.endpoints }

// Members returns the endpoints of a service by address; not to be changed.
func (l *List) Members(service string) []Endpoint { return l.members[service] }

// Services returns how many services have endpoints.
func (l *List) Services() int { return len(l.members) }

// Find returns the endpoint of an address.
func (l *List) Find(rpcAddr string) (Endpoint, bool) {
	i, ok := slices.BinarySearchFunc(l.endpoints, rpcAddr, func(e Endpoint, addr string) int {
		return strings.Compare(e.rpcAddr, addr)
	})
	if !ok {
		return Endpoint{}, false
	}
	return l.endpoints[i], true
}

// Ranked returns the addresses of a service in the order in which they own a key
// (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998).
func (l *List) Ranked(service, key string) []string {
	return Rank(l.members[service], key)
}

// Watchers returns the addresses of the staying endpoints of a zone that watch the platform for all the others.
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

// Rank returns the addresses of endpoints in the order in which they own a key. One that is leaving keeps its place, so
// that its keys move when it hands them over and not before.
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
