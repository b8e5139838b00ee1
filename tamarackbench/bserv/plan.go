package bserv

import (
	"fmt"
	"strings"
	"time"
)

// Step is one downstream call of a plan.
type Step struct {
	method string
	path   string
}

// Plan describes how the server runs the requests of one method whose paths begin with a prefix: some time of work, then
// downstream calls one after another.
type Plan struct {
	method string
	prefix string
	work   time.Duration
	steps  []Step
}

// Method returns the HTTP method of the downstream call.
func (s Step) Method() string { return s.method }

// Path returns the path of the downstream call.
func (s Step) Path() string { return s.path }

// Matches reports whether the plan applies to requests with this method and path.
func (p Plan) Matches(method, path string) bool {
	return p.method == method && strings.HasPrefix(path, p.prefix)
}

// Work returns the planned work time, without the downstream calls.
func (p Plan) Work() time.Duration { return p.work }

// Steps returns the downstream calls in the order in which they are made; not to be changed.
func (p Plan) Steps() []Step { return p.steps }

// ParsePlan reads a plan in the format "METHOD /prefix WORK [METHOD:/path ...]", where WORK is a duration such as 10ms.
func ParsePlan(text string) (Plan, error) {
	words := strings.Fields(text)
	if len(words) < 3 {
		return Plan{}, fmt.Errorf("plan %q is not METHOD /prefix WORK [METHOD:/path ...]", text)
	}
	work, err := time.ParseDuration(words[2])
	if err != nil {
		return Plan{}, fmt.Errorf("plan %q: %w", text, err)
	}
	p := Plan{method: words[0], prefix: words[1], work: work}
	for _, word := range words[3:] {
		method, path, ok := strings.Cut(word, ":")
		if !ok {
			return Plan{}, fmt.Errorf("plan %q: step %q is not METHOD:/path", text, word)
		}
		p.steps = append(p.steps, Step{method: method, path: path})
	}
	return p, nil
}
