package rules

import (
	"slices"
	"strings"
	"time"
)

// MaxBytes is the largest size of a rules file: the platform publishes no larger values.
const MaxBytes = 1 << 20

// AnyMethod is the method in a rule whose route accepts every HTTP method.
const AnyMethod = "ANY"

// Class is a request class. Under overload, requests of classes with lower priority are shed first.
type Class struct {
	name     string
	priority int
	askedBy  string
}

// Name returns the name by which routes refer to the class.
func (c Class) Name() string { return c.name }

// Priority returns the class's priority, in rules files from 0 to 1000; requests of a higher one are shed later.
func (c Class) Priority() int { return c.priority }

// AskedBy returns who asked for the rule, empty for a class that was not read from a rules file.
func (c Class) AskedBy() string { return c.askedBy }

// Service holds the limits of one service's backend servers and nodes.
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

// Name returns the name by which routes and limits refer to the service.
func (s Service) Name() string { return s.name }

// Slots returns how many requests one backend server can run at once, zero if its endpoints publish their slots.
func (s Service) Slots() int { return s.slots }

// Conns returns how many connections one backend server accepts.
func (s Service) Conns() int { return s.conns }

// Queue returns how many requests may wait at one node.
func (s Service) Queue() int { return s.queue }

// Horizon returns how long a node remembers an idempotency key.
func (s Service) Horizon() time.Duration { return s.horizon }

// Keys returns how many idempotency keys one node remembers at most.
func (s Service) Keys() int { return s.keys }

// MaxBody returns the size of the largest request body that is accepted, in bytes.
func (s Service) MaxBody() int { return s.maxBody }

// ShedStatus returns the HTTP status with which a backend server reports that it did not run a request, zero for none.
func (s Service) ShedStatus() int { return s.shedStatus }

// CancelPath returns the path for canceling a request on the backend server. If it is empty, a request is canceled by
// closing its connection.
func (s Service) CancelPath() string { return s.cancelPath }

// AskedBy returns who asked for the rule, empty for a service that was not read from a rules file.
func (s Service) AskedBy() string { return s.askedBy }

// Route sends the requests of one method and path pattern to a service.
type Route struct {
	method           string
	pattern          string
	segments         []string
	service          string
	class            string
	nonIdempotent    bool
	timeout          time.Duration
	retries          int
	askedBy          string
	host             string
	prefix           string
	split            []Part
	unkeyed          bool
	open             bool
	latencyObjective time.Duration
}

// Part is one of the services of a split route, with its weight.
type Part struct {
	service string
	weight  int
}

// NewPart returns a part; service must be declared in the same set.
func NewPart(service string, weight int) Part { return Part{service: service, weight: weight} }

// Service returns the name of the service that gets this part of the requests.
func (p Part) Service() string { return p.service }

// Weight returns the part's weight; the service gets weight/(sum of all weights) of the route's requests.
func (p Part) Weight() int { return p.weight }

// Name returns method, host and pattern, which identify the route within its set.
func (r Route) Name() string { return r.method + " " + r.host + r.pattern }

// Host returns the host name whose requests the route matches, empty for any.
func (r Route) Host() string { return r.host }

// Open reports whether callers need no key for the route although organisations have keys.
func (r Route) Open() bool { return r.open }

// Split returns the services with their weights if the route is split, nil if Service runs all of its requests.
func (r Route) Split() []Part { return r.split }

// Keyed reports whether resends of the route's non-idempotent requests are recognised by an idempotency key. Without a
// key, each resend counts as a new request, and the node at which it enters makes sure that it runs at most once.
func (r Route) Keyed() bool { return r.nonIdempotent && !r.unkeyed }

// LatencyObjective returns the latency objective, the time within which an answer has its full value to the caller, zero for none.
func (r Route) LatencyObjective() time.Duration { return r.latencyObjective }

// Choose returns the service for a request: Service, or for a split route one chosen by weight with a random number in
// [0, 1).
func (r Route) Choose(random float64) string {
	total := 0
	for _, p := range r.split {
		total += p.weight
	}
	remaining := random * float64(total)
	for _, p := range r.split {
		remaining -= float64(p.weight)
		if remaining < 0 {
			return p.service
		}
	}
	return r.service
}

// Method returns the HTTP method that the route matches, or AnyMethod.
func (r Route) Method() string { return r.method }

// Pattern returns the path pattern: "{name}" matches one segment, and a final "*" matches all remaining ones.
func (r Route) Pattern() string { return r.pattern }

// Service returns the service that runs the route, empty if the route is split.
func (r Route) Service() string { return r.service }

// Class returns the name of the route's request class.
func (r Route) Class() string { return r.class }

// NonIdempotent reports whether the route's requests must run at most once.
func (r Route) NonIdempotent() bool { return r.nonIdempotent }

// Timeout returns the upper bound on the time that a caller waits for an answer; a caller may ask for less.
func (r Route) Timeout() time.Duration { return r.timeout }

// Retries returns how many retries a request and its downstream calls may use together.
func (r Route) Retries() int { return r.retries }

// AskedBy returns who asked for the rule, empty for a route that was not read from a rules file.
func (r Route) AskedBy() string { return r.askedBy }

// Limit bounds how many requests of an organisation one node of a service has in flight at once.
type Limit struct {
	organisation string
	service      string
	inFlight     int
	askedBy      string
}

// Organisation returns the name of the organisation whose requests are limited.
func (l Limit) Organisation() string { return l.organisation }

// Service returns the name of the service at whose nodes the limit applies.
func (l Limit) Service() string { return l.service }

// InFlight returns the largest number of the organisation's requests in flight at one node.
func (l Limit) InFlight() int { return l.inFlight }

// AskedBy returns who asked for the rule, as in its comment in the file.
func (l Limit) AskedBy() string { return l.askedBy }

// Set holds the rules of one accepted file or configuration. It is safe for concurrent use.
type Set struct {
	version       uint64
	classes       []Class
	services      []Service
	routes        []Route
	organisations []Organisation
	limits        []Limit
	// routesByHost holds the routes that name a host, longest prefix first.
	routesByHost map[string][]Route
	keyed        bool
	// The organisations are found by their indexes.
	organisationsByName map[string]int
	organisationsByKey  map[KeyHash]int
	lowestPriority      int // of an organisation
	meanRate            float64
	priorities          []int
}

// Keyed reports whether any route of the set is Keyed, so that endpoints need leases as owners of idempotency keys.
func (s *Set) Keyed() bool { return s.keyed }

// MaxBody returns the size of the largest request body that any service accepts, in bytes.
func (s *Set) MaxBody() int {
	largest := 0
	for _, v := range s.services {
		largest = max(largest, v.maxBody)
	}
	return largest
}

// Version returns the version that the operators gave the file, at least 1.
func (s *Set) Version() uint64 { return s.version }

// Classes returns the classes in file order.
func (s *Set) Classes() []Class { return s.classes }

// Services returns the services in file order.
func (s *Set) Services() []Service { return s.services }

// Routes returns the routes in file order.
func (s *Set) Routes() []Route { return s.routes }

// Organisations returns the organisations in file order.
func (s *Set) Organisations() []Organisation { return s.organisations }

// Limits returns the organisation limits in file order.
func (s *Set) Limits() []Limit { return s.limits }

// Class returns the class of the given name, false if it is not declared.
func (s *Set) Class(name string) (Class, bool) {
	for _, c := range s.classes {
		if c.name == name {
			return c, true
		}
	}
	return Class{}, false
}

// Service returns the service of the given name, false if it is not declared.
func (s *Set) Service(name string) (Service, bool) {
	for _, v := range s.services {
		if v.name == name {
			return v, true
		}
	}
	return Service{}, false
}

// OrganisationLimit returns how many requests of an organisation one node of the service may have in flight, false for no limit.
func (s *Set) OrganisationLimit(organisation, service string) (int, bool) {
	for _, l := range s.limits {
		if l.organisation == organisation && l.service == service {
			return l.inFlight, true
		}
	}
	return 0, false
}

// Match returns the route for a request, false if none matches. Among the routes that name the request's host, the one
// with the longest prefix wins; if none of them matches, the first route of the file without a host does.
func (s *Set) Match(host, method, path string) (Route, bool) {
	for _, r := range s.routesByHost[host] {
		if strings.HasPrefix(path, r.prefix) && r.allowsMethod(method) {
			return r, true
		}
	}
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for _, r := range s.routes {
		if r.host == "" && r.allowsMethod(method) && r.matchesPath(parts) {
			return r, true
		}
	}
	return Route{}, false
}

func (r Route) allowsMethod(method string) bool { return r.method == AnyMethod || r.method == method }

// index fills the derived fields. It is called after all rules are added.
func (s *Set) index() {
	s.indexOrganisations()
	s.routesByHost = map[string][]Route{}
	for _, r := range s.routes {
		s.keyed = s.keyed || r.Keyed()
		if r.host != "" {
			s.routesByHost[r.host] = append(s.routesByHost[r.host], r)
		}
	}
	for _, routes := range s.routesByHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.prefix) - len(a.prefix) })
	}
}

// matchesPath reports whether path segments match the pattern; "{name}" matches one segment, a final "*" all remaining ones.
func (r Route) matchesPath(parts []string) bool {
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
