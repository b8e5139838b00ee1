package rules

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

var errBadSet = errors.New("bad set of rules")

// NewClass returns a class; classes of higher priority are shed later.
func NewClass(name string, priority int) Class { return Class{name: name, priority: priority} }

// NewService returns a service whose endpoints publish their slots themselves.
func NewService(name string, conns, maxBody int) Service {
	return Service{name: name, conns: conns, maxBody: maxBody, queue: defaultQueue, keys: defaultKeys, horizon: defaultHorizon}
}

// NewRoute returns a route for all paths of a host that begin with a prefix, which ends with a slash.
func NewRoute(host, prefix, class string) Route {
	return Route{method: AnyMethod, host: host, prefix: prefix, pattern: prefix + "*", class: class, timeout: defaultTimeout}
}

// WithService returns the route run by a service.
func (r Route) WithService(service string) Route { r.service = service; return r }

// WithSplit returns the route run by several services.
func (r Route) WithSplit(parts []Part) Route { r.split = parts; return r }

// WithOnce returns the route with requests that run at most once for each time that they are sent.
func (r Route) WithOnce() Route { r.nonIdempotent, r.unkeyed = true, true; return r }

// WithTimes returns the route with the longest time a caller waits, and the one within which answers are worth most.
func (r Route) WithTimes(timeout, goal time.Duration) Route {
	r.timeout, r.goal = timeout, goal
	return r
}

// WithRetries returns the route with how many retries a request may spend.
func (r Route) WithRetries(retries int) Route { r.retries = retries; return r }

// NewSet checks rules that were not read from a file of the own format, and returns them as a set.
func NewSet(version uint64, classes []Class, services []Service, routes []Route) (*Set, error) {
	s := &Set{version: version, classes: classes, services: services, routes: routes}
	if version == 0 {
		return nil, fmt.Errorf("%w: no version", errBadSet)
	}
	for _, r := range routes {
		if err := s.checkBuilt(r); err != nil {
			return nil, err
		}
	}
	s.index()
	return s, nil
}

func (s *Set) checkBuilt(r Route) error {
	if r.host == "" || !strings.HasPrefix(r.prefix, "/") || !strings.HasSuffix(r.prefix, "/") {
		return fmt.Errorf("%w: route %q has no host, or a prefix without a slash at both ends", errBadSet, r.Name())
	}
	if r.timeout <= 0 {
		return fmt.Errorf("%w: route %q has no timeout", errBadSet, r.Name())
	}
	if _, ok := s.Class(r.class); !ok {
		return fmt.Errorf("%w: class %q of route %q is not declared", errBadSet, r.class, r.Name())
	}
	for _, service := range r.Services() {
		if _, ok := s.Service(service); !ok {
			return fmt.Errorf("%w: service %q of route %q is not declared", errBadSet, service, r.Name())
		}
	}
	return nil
}

// Services returns all services that may run the route.
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
