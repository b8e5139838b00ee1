package rules

import "strings"

// Hides reports whether the other route, which comes later in its set, gets no request because this route gets all of them.
func (r Route) Hides(other Route) bool {
	if r.host != other.host || !(r.method == AnyMethod || r.method == other.method) {
		return false
	}
	if r.host != "" {
		return r.prefix == other.prefix // else the longer prefix wins
	}
	return r.coversPath(other.segments)
}

// coversPath reports whether the pattern matches every path that other segments match.
func (r Route) coversPath(segments []string) bool {
	for i, segment := range r.segments {
		if segment == "*" {
			return true
		}
		if i >= len(segments) || segments[i] == "*" {
			return false
		}
		if !strings.HasPrefix(segment, "{") && segment != segments[i] {
			return false
		}
	}
	return len(r.segments) == len(segments)
}
