package rules

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

var errInvalidSet = errors.New("invalid rules")

// NewClass returns a class for NewSet; requests of a higher priority are shed later.
func NewClass(name string, priority int) Class { return Class{name: name, priority: priority} }

// NewService returns a service for NewSet whose endpoints publish their slots, so that the rule has none. Queue, keys and
// horizon get their defaults; maxBody is in bytes.
func NewService(name string, conns, maxBody int) Service {
	return Service{name: name, conns: conns, maxBody: maxBody, queue: defaultQueue, keys: defaultKeys, horizon: defaultHorizon}
}

// NewRoute returns an idempotent route for all methods and all paths of a host that begin with the prefix. The prefix must
// begin and end with a slash.
func NewRoute(host, prefix, class string) Route {
	return Route{method: AnyMethod, host: host, prefix: prefix, pattern: prefix + "*", class: class, timeout: defaultTimeout}
}

// WithService returns the route with the one service that runs all of its requests.
func (r Route) WithService(service string) Route { r.service = service; return r }

// WithSplit returns the route with several services, each with a weight, that run its requests.
func (r Route) WithSplit(parts []Part) Route { r.split = parts; return r }

// WithNonIdempotentUnkeyed returns the route as non-idempotent without idempotency keys: a request runs at most once for
// each time that a caller sends it.
func (r Route) WithNonIdempotentUnkeyed() Route { r.nonIdempotent, r.unkeyed = true, true; return r }

// WithOpen returns the route with whether callers need no key for it although organisations have keys.
func (r Route) WithOpen(open bool) Route { r.open = open; return r }

// WithTimes returns the route with its timeout and its latency objective, zero for no objective.
func (r Route) WithTimes(timeout, latencyObjective time.Duration) Route {
	r.timeout, r.latencyObjective = timeout, latencyObjective
	return r
}

// WithRetries returns the route with how many retries a request and its downstream calls may use together.
func (r Route) WithRetries(retries int) Route { r.retries = retries; return r }

// NewSet checks rules that come from another format than that of rules files, and returns them as a set. The error names all
// faults.
func NewSet(version uint64, classes []Class, services []Service, routes []Route, organisations []Organisation) (*Set, error) {
	s := &Set{version: version, classes: classes, services: services, routes: routes, organisations: organisations}
	s.index()
	var faults []string
	if version == 0 {
		faults = append(faults, "version is 0")
	}
	for _, r := range routes {
		faults = append(faults, s.routeFaults(r)...)
	}
	seen := map[string]bool{}
	for _, o := range organisations {
		faults = append(faults, s.organisationFaults(o, seen[o.name])...)
		seen[o.name] = true
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("%w: %s", errInvalidSet, strings.Join(faults, "; "))
	}
	return s, nil
}

func (s *Set) routeFaults(r Route) []string {
	var faults []string
	fault := func(format string, args ...any) {
		faults = append(faults, fmt.Sprintf("route %q ", r.Name())+fmt.Sprintf(format, args...))
	}
	if r.host == "" || !strings.HasPrefix(r.prefix, "/") || !strings.HasSuffix(r.prefix, "/") {
		fault("has no host, or a prefix without a slash at both ends")
	}
	if r.timeout <= 0 {
		fault("has no timeout")
	}
	if _, ok := s.Class(r.class); !ok {
		fault("has class %q, which is not declared", r.class)
	}
	for _, service := range r.Services() {
		if _, ok := s.Service(service); !ok {
			fault("has service %q, which is not declared", service)
		}
	}
	return faults
}

// Services returns the names of all services that may run the route's requests: those of the split, else the one service.
func (r Route) Services() []string {
	if len(r.split) == 0 {
		return []string{r.service}
	}
	services := make([]string, 0, len(r.split))
	for _, p := range r.split {
		services = append(services, p.service)
	}
	return services
}
