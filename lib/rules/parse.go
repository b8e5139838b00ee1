package rules

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Fault is one error in a rules file.
type Fault struct {
	line int
	text string
}

// Line returns the number of the line with the error, starting at 1.
func (f Fault) Line() int { return f.line }

// Text returns the error message without the line number.
func (f Fault) Text() string { return f.text }

// Faults holds all errors of a refused file, and is the type of the error that Parse returns.
type Faults []Fault

// Error returns one line "line N: TEXT" for each fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fmt.Sprintf("line %d: %s", fault.line, fault.text))
	}
	return strings.Join(lines, "\n")
}

const (
	askedByMarker     = "# asked by:"
	defaultQueue      = 64
	defaultHorizon    = 10 * time.Minute
	defaultKeys       = 200_000
	defaultMaxBody    = 1 << 20
	defaultTimeout    = 2 * time.Second
	maxBodyLimit      = 16 << 20
	maxTimeout        = 5 * time.Minute
	maxRetries        = 5
	maxSlots          = 10_000
	maxKeys           = 1_000_000
	maxHorizon        = 24 * time.Hour
	minHorizon        = 10 * time.Second
	maxClasses        = 16
	maxPriority       = 1000
	kindIdempotent    = "idempotent"
	kindNonIdempotent = "nonIdempotent"
	kindUnkeyed       = "nonIdempotentUnkeyed"
	maxWeight         = 1_000_000
	optionSeparator   = "="
)

var (
	namePattern    = regexp.MustCompile(`^[a-z][a-zA-Z0-9]{0,39}$`)
	segmentPattern = regexp.MustCompile(`^([A-Za-z0-9._~-]+|\{[a-z][a-zA-Z0-9]*\})$`)
	methodPattern  = regexp.MustCompile(`^(GET|HEAD|POST|PUT|PATCH|DELETE|ANY)$`)
)

// parser collects the rules and the faults of one file, so that a refusal lists all faults at once.
type parser struct {
	set    *Set
	faults Faults
	line   int
	// routeLines holds the line numbers of set.routes, index by index.
	routeLines []int
}

// Parse parses and checks a rules file. If there is any fault, it returns a nil set and all faults as a Faults error.
func Parse(text []byte) (*Set, error) {
	if len(text) > MaxBytes {
		return nil, Faults{{line: 1, text: fmt.Sprintf("file of %d bytes, at most %d are allowed", len(text), MaxBytes)}}
	}
	p := &parser{set: &Set{}}
	for i, line := range strings.Split(string(text), "\n") {
		p.line = i + 1
		p.readLine(strings.TrimSpace(line))
	}
	p.checkPriorities()
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	p.set.index()
	return p.set, nil
}

func (p *parser) fault(format string, args ...any) {
	p.faults = append(p.faults, Fault{line: p.line, text: fmt.Sprintf(format, args...)})
}

func (p *parser) readLine(line string) {
	if p.line == 1 {
		p.readVersion(line)
		return
	}
	if line == "" {
		return
	}
	rule, askedBy, found := strings.Cut(line, askedByMarker)
	askedBy = strings.TrimSpace(askedBy)
	if !found || askedBy == "" {
		p.fault("rule does not end in a comment %q WHO", askedByMarker)
		return
	}
	words := strings.Fields(rule)
	if len(words) == 0 {
		p.fault("no rule before the comment")
		return
	}
	p.readRule(words[0], words[1:], askedBy)
}

func (p *parser) readVersion(line string) {
	word, number, _ := strings.Cut(line, " ")
	version, err := strconv.ParseUint(strings.TrimSpace(number), 10, 63)
	if word != "version" || err != nil || version == 0 {
		p.fault(`first line must be "version N" with N of 1 or more`)
		return
	}
	p.set.version = version
}

func (p *parser) readRule(word string, args []string, askedBy string) {
	switch word {
	case "class":
		p.readClass(args, askedBy)
	case "service":
		p.readService(args, askedBy)
	case "route":
		p.readRoute(args, askedBy)
	case "organisation", "tenant": // the word in files from before
		p.readOrganisation(args, askedBy)
	case "limit":
		p.readLimit(args, askedBy)
	default:
		p.fault("unknown rule %q", word)
	}
}

// splitArgs splits a rule's words into the given number of leading names and the name=value options after them. It
// returns false after recording a fault.
func (p *parser) splitArgs(args []string, names int) ([]string, *options, bool) {
	if len(args) < names {
		p.fault("rule needs %d words before its options", names)
		return nil, nil, false
	}
	opts := &options{parser: p, values: map[string]string{}}
	for _, arg := range args[names:] {
		name, value, ok := strings.Cut(arg, optionSeparator)
		if !ok || value == "" {
			p.fault("option %q is not name=value", arg)
			return nil, nil, false
		}
		if _, duplicate := opts.values[name]; duplicate {
			p.fault("option %q is given twice", name)
			return nil, nil, false
		}
		opts.values[name] = value
	}
	return args[:names], opts, true
}

func (p *parser) checkName(kind, name string) string {
	if !namePattern.MatchString(name) {
		p.fault("%s name %q is not camel case of at most 40 letters and digits", kind, name)
	}
	return name
}

func (p *parser) readClass(args []string, askedBy string) {
	names, opts, ok := p.splitArgs(args, 1)
	if !ok {
		return
	}
	c := Class{name: p.checkName("class", names[0]), askedBy: askedBy}
	c.priority = opts.number("priority", -1, 0, maxPriority)
	opts.finish()
	if _, duplicate := p.set.Class(c.name); duplicate {
		p.fault("class %q is declared twice", c.name)
	}
	p.set.classes = append(p.set.classes, c)
	if len(p.set.classes) > maxClasses {
		p.fault("more than %d classes", maxClasses)
	}
}

func (p *parser) readService(args []string, askedBy string) {
	names, opts, ok := p.splitArgs(args, 1)
	if !ok {
		return
	}
	s := Service{name: p.checkName("service", names[0]), askedBy: askedBy}
	s.slots = opts.number("slots", -1, 1, maxSlots)
	s.conns = opts.number("conns", s.slots, 1, maxSlots)
	s.queue = opts.number("queue", defaultQueue, 1, maxSlots)
	s.keys = opts.number("keys", defaultKeys, 1, maxKeys)
	s.maxBody = opts.number("maxBody", defaultMaxBody, 1, maxBodyLimit)
	s.shedStatus = opts.number("shedStatus", 0, 0, 599)
	s.horizon = opts.duration("horizon", defaultHorizon, minHorizon, maxHorizon)
	s.cancelPath = opts.text("cancelPath")
	opts.finish()
	if _, duplicate := p.set.Service(s.name); duplicate {
		p.fault("service %q is declared twice", s.name)
	}
	p.set.services = append(p.set.services, s)
}

func (p *parser) readRoute(args []string, askedBy string) {
	names, opts, ok := p.splitArgs(args, 2)
	if !ok {
		return
	}
	r := Route{method: names[0], pattern: names[1], askedBy: askedBy}
	if !methodPattern.MatchString(r.method) {
		p.fault("unknown method %q", r.method)
	}
	r.segments = p.parseSegments(r.pattern)
	if rest, ok := strings.CutSuffix(r.pattern, "/*"); ok {
		r.prefix = rest + "/"
	}
	r.host = opts.text("host")
	r.service = opts.text("service")
	r.split = p.parseSplit(opts.text("split"))
	r.class = opts.text("class")
	r.latencyObjective = opts.duration("goal", 0, time.Millisecond, maxTimeout)
	r.timeout = opts.duration("timeout", defaultTimeout, time.Millisecond, maxTimeout)
	r.retries = opts.number("retries", 0, 0, maxRetries)
	r.open = opts.number("open", 0, 0, 1) == 1
	switch kind := opts.text("kind"); kind {
	case kindIdempotent:
	case kindNonIdempotent:
		r.nonIdempotent = true
	case kindUnkeyed:
		r.nonIdempotent, r.unkeyed = true, true
	default:
		p.fault("kind %q is neither %s nor %s nor %s", kind, kindIdempotent, kindNonIdempotent, kindUnkeyed)
	}
	opts.finish()
	p.checkRoute(r)
	p.set.routes = append(p.set.routes, r)
	p.routeLines = append(p.routeLines, p.line)
}

// checkRoute checks a route against the rules on the lines above it, where its services and class must be declared.
func (p *parser) checkRoute(r Route) {
	for _, service := range r.Services() {
		if _, ok := p.set.Service(service); !ok {
			p.fault("service %q is not declared above", service)
		}
	}
	if r.host != "" && r.prefix == "" {
		p.fault("pattern %q of a route with a host does not end with /*", r.pattern)
	}
	if _, ok := p.set.Class(r.class); !ok {
		p.fault("class %q is not declared above", r.class)
	}
	if r.Keyed() && (r.method == "GET" || r.method == "HEAD") {
		p.fault("%s cannot be %s", r.method, kindNonIdempotent)
	}
	for _, other := range p.set.routes {
		if other.Name() == r.Name() {
			p.fault("route %q is declared twice", r.Name())
		}
	}
}

func (p *parser) parseSegments(pattern string) []string {
	if !strings.HasPrefix(pattern, "/") {
		p.fault("pattern %q does not start with /", pattern)
		return nil
	}
	segments := strings.Split(pattern[1:], "/")
	for i, segment := range segments {
		last := i == len(segments)-1
		if last && (segment == "*" || (segment == "" && i == 0)) {
			continue
		}
		if !segmentPattern.MatchString(segment) {
			p.fault("pattern %q has segment %q, which is neither letters, digits and ._~- nor {name}", pattern, segment)
		}
	}
	return segments
}

// parseSplit parses the services of a split route, written as name:weight,name:weight.
func (p *parser) parseSplit(text string) []Part {
	if text == "" {
		return nil
	}
	var parts []Part
	for _, word := range strings.Split(text, ",") {
		service, number, _ := strings.Cut(word, ":")
		weight, err := strconv.Atoi(number)
		if err != nil || weight < 0 || weight > maxWeight {
			p.fault("part %q of a split is not name:weight with a weight from 0 to %d", word, maxWeight)
		}
		parts = append(parts, NewPart(service, weight))
	}
	return parts
}

func (p *parser) readLimit(args []string, askedBy string) {
	names, opts, ok := p.splitArgs(args, 1)
	if !ok {
		return
	}
	l := Limit{organisation: p.checkName("organisation", names[0]), askedBy: askedBy}
	l.service = opts.text("service")
	l.inFlight = opts.number("inFlight", -1, 1, maxSlots)
	opts.finish()
	if _, ok := p.set.Service(l.service); !ok {
		p.fault("service %q is not declared above", l.service)
	}
	if _, duplicate := p.set.OrganisationLimit(l.organisation, l.service); duplicate {
		p.fault("limit of organisation %q at service %q is declared twice", l.organisation, l.service)
	}
	p.set.limits = append(p.set.limits, l)
}

// checkPriorities checks that at each service the classes of idempotent routes have lower priorities than those of all
// non-idempotent routes. It needs all routes, so it runs after the last line.
func (p *parser) checkPriorities() {
	lowestNonIdempotent := map[string]int{}
	for _, r := range p.set.routes {
		c, _ := p.set.Class(r.class)
		for _, service := range r.Services() {
			lowest, seen := lowestNonIdempotent[service]
			if r.nonIdempotent && (!seen || c.priority < lowest) {
				lowestNonIdempotent[service] = c.priority
			}
		}
	}
	for i, r := range p.set.routes {
		p.line = p.routeLines[i]
		c, _ := p.set.Class(r.class)
		for _, service := range r.Services() {
			limit, found := lowestNonIdempotent[service]
			if !r.nonIdempotent && found && c.priority >= limit {
				p.fault("route %q is %s and must have a lower priority than the %s routes of service %q",
					r.Name(), kindIdempotent, kindNonIdempotent, service)
			}
		}
	}
}
