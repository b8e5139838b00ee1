package rules

import (
	"slices"
	"strings"
	"time"
)

// MaxBytes bounds a rules file, as the platform's values are bounded.
const MaxBytes = 1 << 20

// AnyMethod is the method of a route that takes every method.
const AnyMethod = "ANY"

// Class is a class of requests; classes of higher priority are shed later.
type Class struct {
	name     string
	priority int
	askedBy  string
}

// Name returns the class's name.
func (c Class) Name() string { return c.name }

// Priority returns the class's priority; higher is shed later.
func (c Class) Priority() int { return c.priority }

// AskedBy returns who asked for the rule.
func (c Class) AskedBy() string { return c.askedBy }

// Service is what the operators publish about one service.
type Service struct {
	name       string
	slots      int
	conns      int
	queue      int
	horizon    time.Duration
	keys       int
	maxBody    int
	shedStatus int
	cancelPath string
	askedBy    string
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Slots returns how many requests one backend server can run at once.
func (s Service) Slots() int { return s.slots }

// Conns returns how many connections one backend server accepts.
func (s Service) Conns() int { return s.conns }

// Queue returns how many requests may wait at one node.
func (s Service) Queue() int { return s.queue }

// Horizon returns how long an idempotency key is remembered.
func (s Service) Horizon() time.Duration { return s.horizon }

// Keys returns how many idempotency keys one node remembers.
func (s Service) Keys() int { return s.keys }

// MaxBody returns the largest body, in bytes.
func (s Service) MaxBody() int { return s.maxBody }

// ShedStatus returns the status by which a backend server says that it did not run a request, zero for none.
func (s Service) ShedStatus() int { return s.shedStatus }

// CancelPath returns the path that cancels a request on the backend server, empty to close the connection.
func (s Service) CancelPath() string { return s.cancelPath }

// AskedBy returns who asked for the rule.
func (s Service) AskedBy() string { return s.askedBy }

// Route sends the requests of one method and path pattern to a service.
type Route struct {
	method        string
	pattern       string
	segments      []string
	service       string
	class         string
	nonIdempotent bool
	timeout       time.Duration
	retries       int
	askedBy       string
	host          string
	prefix        string
	split         []Part
	unkeyed       bool
	goal          time.Duration
}

// Part is one service of a route that is split, with its weight.
type Part struct {
	service string
	weight  int
}

// NewPart returns a part of a split route.
func NewPart(service string, weight int) Part { return Part{service: service, weight: weight} }

// Service returns the part's service.
func (p Part) Service() string { return p.service }

// Weight returns the part's weight; its share is the weight over the sum of all.
func (p Part) Weight() int { return p.weight }

// Name returns method, host and pattern.
func (r Route) Name() string { return r.method + " " + r.host + r.pattern }

// Host returns the host name that the route serves, empty for all.
func (r Route) Host() string { return r.host }

// Split returns the parts of a route that several services run, none where one does.
func (r Route) Split() []Part { return r.split }

// Keyed reports whether a non-idempotent request is told from its resends by a key; without one, each resend is a
// request of its own, and the node that it entered answers for its one run.
func (r Route) Keyed() bool { return r.nonIdempotent && !r.unkeyed }

// Goal returns the time within which an answer is worth most, zero where none is known.
func (r Route) Goal() time.Duration { return r.goal }

// Choose returns the service that runs a request, given a number from 0 to below 1.
func (r Route) Choose(random float64) string {
	total := 0
	for _, p := range r.split {
		total += p.weight
	}
	at := random * float64(total)
	for _, p := range r.split {
		at -= float64(p.weight)
		if at < 0 {
			return p.service
		}
	}
	return r.service
}

// Method returns the method.
func (r Route) Method() string { return r.method }

// Pattern returns the path pattern.
func (r Route) Pattern() string { return r.pattern }

// Service returns the service that runs the route.
func (r Route) Service() string { return r.service }

// Class returns the route's class.
func (r Route) Class() string { return r.class }

// NonIdempotent reports whether the route's requests must run at most once.
func (r Route) NonIdempotent() bool { return r.nonIdempotent }

// Timeout returns the longest time a caller waits.
func (r Route) Timeout() time.Duration { return r.timeout }

// Retries returns how many retries a request may spend over its whole chain.
func (r Route) Retries() int { return r.retries }

// AskedBy returns who asked for the rule.
func (r Route) AskedBy() string { return r.askedBy }

// Tenant is a tenant that is accounted for by name.
type Tenant struct {
	name    string
	askedBy string
}

// Name returns the tenant's name.
func (t Tenant) Name() string { return t.name }

// AskedBy returns who asked for the rule.
func (t Tenant) AskedBy() string { return t.askedBy }

// Limit bounds the requests of a tenant that one node of a service holds at once.
type Limit struct {
	tenant   string
	service  string
	inFlight int
	askedBy  string
}

// Tenant returns the tenant's name.
func (l Limit) Tenant() string { return l.tenant }

// Service returns the service's name.
func (l Limit) Service() string { return l.service }

// InFlight returns the bound.
func (l Limit) InFlight() int { return l.inFlight }

// AskedBy returns who asked for the rule.
func (l Limit) AskedBy() string { return l.askedBy }

// Set is one accepted rules file.
type Set struct {
	version  uint64
	classes  []Class
	services []Service
	routes   []Route
	tenants  []Tenant
	limits   []Limit
	// hosted holds the routes of each host name, longest prefix first.
	hosted map[string][]Route
	keyed  bool
}

// Keyed reports whether any route tells resends by a key.
func (s *Set) Keyed() bool { return s.keyed }

// Version returns the file's version.
func (s *Set) Version() uint64 { return s.version }

// Classes returns the classes in file order.
func (s *Set) Classes() []Class { return s.classes }

// Services returns the services in file order.
func (s *Set) Services() []Service { return s.services }

// Routes returns the routes in file order.
func (s *Set) Routes() []Route { return s.routes }

// Tenants returns the tenants in file order.
func (s *Set) Tenants() []Tenant { return s.tenants }

// Limits returns the tenant limits in file order.
func (s *Set) Limits() []Limit { return s.limits }

// Class returns the class of a name.
func (s *Set) Class(name string) (Class, bool) {
	for _, c := range s.classes {
		if c.name == name {
			return c, true
		}
	}
	return Class{}, false
}

// Service returns the service of a name.
func (s *Set) Service(name string) (Service, bool) {
	for _, v := range s.services {
		if v.name == name {
			return v, true
		}
	}
	return Service{}, false
}

// TenantLimit returns the bound for a tenant at a service.
func (s *Set) TenantLimit(tenant, service string) (int, bool) {
	for _, l := range s.limits {
		if l.tenant == tenant && l.service == service {
			return l.inFlight, true
		}
	}
	return 0, false
}

// Match returns the route that fits a request: of those that name its host the one with the longest prefix, else the
// first of the file.
func (s *Set) Match(host, method, path string) (Route, bool) {
	for _, r := range s.hosted[host] {
		if strings.HasPrefix(path, r.prefix) && r.takes(method) {
			return r, true
		}
	}
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for _, r := range s.routes {
		if r.host == "" && r.takes(method) && r.fits(parts) {
			return r, true
		}
	}
	return Route{}, false
}

func (r Route) takes(method string) bool { return r.method == AnyMethod || r.method == method }

// index prepares the set for Match once all routes are in.
func (s *Set) index() {
	s.hosted = map[string][]Route{}
	for _, r := range s.routes {
		s.keyed = s.keyed || r.Keyed()
		if r.host != "" {
			s.hosted[r.host] = append(s.hosted[r.host], r)
		}
	}
	for _, routes := range s.hosted {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.prefix) - len(a.prefix) })
	}
}

// fits compares path segments with the pattern; "{name}" fits one segment, a final "*" any rest.
func (r Route) fits(parts []string) bool {
	for i, segment := range r.segments {
		if segment == "*" {
			return true
		}
		if i >= len(parts) {
			return false
		}
		if !strings.HasPrefix(segment, "{") && segment != parts[i] {
			return false
		}
	}
	return len(parts) == len(r.segments)
}
