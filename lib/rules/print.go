package rules

import (
	"fmt"
	"strings"
)

// Print formats the set as a rules file, from which Parse builds an equal set.
func (s *Set) Print() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d\n", s.version)
	for _, c := range s.classes {
		fmt.Fprintf(&b, "class %s priority=%d %s %s\n", c.name, c.priority, askedByMarker, c.askedBy)
	}
	for _, v := range s.services {
		b.WriteString(v.line())
	}
	for _, r := range s.routes {
		b.WriteString(r.line())
	}
	for _, o := range s.organisations {
		b.WriteString(o.line())
	}
	for _, l := range s.limits {
		fmt.Fprintf(&b, "limit %s service=%s inFlight=%d %s %s\n",
			l.organisation, l.service, l.inFlight, askedByMarker, l.askedBy)
	}
	return b.String()
}

func (s Service) line() string {
	text := fmt.Sprintf("service %s slots=%d conns=%d queue=%d keys=%d maxBody=%d horizon=%s",
		s.name, s.slots, s.conns, s.queue, s.keys, s.maxBody, s.horizon)
	if s.shedStatus != 0 {
		text += fmt.Sprintf(" shedStatus=%d", s.shedStatus)
	}
	if s.cancelPath != "" {
		text += " cancelPath=" + s.cancelPath
	}
	return fmt.Sprintf("%s %s %s\n", text, askedByMarker, s.askedBy)
}

func (r Route) line() string {
	text := fmt.Sprintf("route %s %s kind=%s class=%s timeout=%s retries=%d", r.method, r.pattern, r.kind(), r.class, r.timeout, r.retries)
	if r.host != "" {
		text += " host=" + r.host
	}
	if r.latencyObjective != 0 {
		text += fmt.Sprintf(" goal=%s", r.latencyObjective)
	}
	if r.open {
		text += " open=1"
	}
	if len(r.split) == 0 {
		return fmt.Sprintf("%s service=%s %s %s\n", text, r.service, askedByMarker, r.askedBy)
	}
	parts := make([]string, 0, len(r.split))
	for _, p := range r.split {
		parts = append(parts, fmt.Sprintf("%s:%d", p.service, p.weight))
	}
	return fmt.Sprintf("%s split=%s %s %s\n", text, strings.Join(parts, ","), askedByMarker, r.askedBy)
}

func (r Route) kind() string {
	switch {
	case r.unkeyed:
		return kindUnkeyed
	case r.nonIdempotent:
		return kindNonIdempotent
	}
	return kindIdempotent
}
