package audit

import (
	"fmt"
	"time"

	"tamarackrudder.org/lib/rules"
)

// Finding is one thing about valid rules that an operator most likely did not mean.
type Finding struct {
	entry string
	text  string
	mend  string
}

// Entry returns the entry that is concerned, by its kind and name.
func (f Finding) Entry() string { return f.entry }

// Text returns what is wrong.
func (f Finding) Text() string { return f.text }

// Mend returns what would mend it.
func (f Finding) Mend() string { return f.mend }

// String returns the entry, what is wrong, and what would mend it.
func (f Finding) String() string { return fmt.Sprintf("%s: %s; %s", f.entry, f.text, f.mend) }

// Surroundings are the limits that rules have to fit into. A zero value is not known and not examined.
type Surroundings struct {
	endpoints   map[string]int
	bodyBytes   int64
	quotaWindow time.Duration
}

// NewSurroundings returns the bytes that one request body may take at a node, and the window in which quotas are counted.
func NewSurroundings(bodyBytes int64, quotaWindow time.Duration) Surroundings {
	return Surroundings{bodyBytes: bodyBytes, quotaWindow: quotaWindow}
}

// WithEndpoints returns the surroundings with the number of endpoints of each service.
func (s Surroundings) WithEndpoints(endpoints map[string]int) Surroundings {
	s.endpoints = endpoints
	return s
}

// Check returns what is wrong with valid rules, in the order of their entries.
func Check(set *rules.Set, around Surroundings) []Finding {
	c := &checker{set: set, around: around}
	c.checkUnused()
	for i, r := range set.Routes() {
		c.checkHidden(i, r)
		c.checkSplit(r)
		c.checkTimes(r)
	}
	for _, s := range set.Services() {
		c.checkService(s)
	}
	for _, o := range set.Organisations() {
		c.checkOrganisation(o)
	}
	for _, l := range set.Limits() {
		if _, declared := set.Organisation(l.Organisation()); !declared {
			c.find("limit "+l.Organisation(), "its organisation is not declared", "declare it or remove the limit")
		}
	}
	return c.findings
}

type checker struct {
	set      *rules.Set
	around   Surroundings
	findings []Finding
}

func (c *checker) find(entry, text, mend string) {
	c.findings = append(c.findings, Finding{entry: entry, text: text, mend: mend})
}

// checkUnused finds classes and services that no route uses.
func (c *checker) checkUnused() {
	classes, services := map[string]bool{}, map[string]bool{}
	for _, r := range c.set.Routes() {
		classes[r.Class()] = true
		for _, name := range r.Services() {
			services[name] = true
		}
	}
	for _, class := range c.set.Classes() {
		if !classes[class.Name()] {
			c.find("class "+class.Name(), "no route uses it", "remove it")
		}
	}
	for _, s := range c.set.Services() {
		if !services[s.Name()] {
			c.find("service "+s.Name(), "no route leads to it", "remove it, or add the route")
		}
	}
}

// checkHidden finds a route that gets no request because an earlier one gets all of them.
func (c *checker) checkHidden(index int, r rules.Route) {
	for _, earlier := range c.set.Routes()[:index] {
		if earlier.Hides(r) {
			text := fmt.Sprintf("it gets no request, route %q before it gets all", earlier.Name())
			c.find("route "+r.Name(), text, "move it up or remove it")
			return
		}
	}
}

// checkSplit finds parts that get no request.
func (c *checker) checkSplit(r rules.Route) {
	total := 0
	for _, p := range r.Split() {
		total += p.Weight()
	}
	for _, p := range r.Split() {
		if p.Weight() == 0 && total > 0 {
			text := fmt.Sprintf("service %q has weight 0 and gets no request", p.Service())
			c.find("route "+r.Name(), text, "remove the part or give it a weight")
		}
	}
	if len(r.Split()) > 0 && total == 0 {
		c.find("route "+r.Name(), "all parts of the split have weight 0", "give at least one a weight")
	}
}

// checkTimes finds timeouts that leave no time for the objective or for retries, and retries that find no endpoint.
func (c *checker) checkTimes(r rules.Route) {
	entry := "route " + r.Name()
	if r.LatencyObjective() > r.Timeout() {
		text := fmt.Sprintf("its timeout %s is shorter than its objective %s", r.Timeout(), r.LatencyObjective())
		c.find(entry, text, "raise the timeout")
	}
	for _, name := range r.Services() {
		known, ok := c.around.endpoints[name]
		if ok && r.Retries() >= known {
			text := fmt.Sprintf("it allows %d attempts, service %q has %d endpoints", r.Retries()+1, name, known)
			c.find(entry, text, "lower its retries")
		}
	}
}

// checkService finds limits that a node cannot keep.
func (c *checker) checkService(s rules.Service) {
	if c.around.bodyBytes > 0 && int64(s.MaxBody()) > c.around.bodyBytes {
		c.find("service "+s.Name(), fmt.Sprintf("it accepts bodies of %d bytes, a node holds %d at most", s.MaxBody(), c.around.bodyBytes),
			"lower maxBody, or give the nodes more memory")
	}
	if s.Slots() > s.Conns() && s.Conns() > 0 {
		c.find("service "+s.Name(), fmt.Sprintf("it has %d slots and accepts %d connections", s.Slots(), s.Conns()), "raise conns")
	}
}

// checkOrganisation finds organisations that cannot send, quotas below one request, and priorities against those of classes.
func (c *checker) checkOrganisation(o rules.Organisation) {
	entry := "organisation " + o.Name()
	if c.set.NeedsKeys() && len(o.Keys()) == 0 {
		c.find(entry, "it has no key, and callers need one", "give it a key or remove it")
	}
	if window := c.around.quotaWindow; window > 0 && o.Rate() > 0 && o.Rate()*window.Seconds()+o.Burst() < 1 {
		c.find(entry, fmt.Sprintf("its quota allows less than one request in %s", window), "raise its rate or its burst")
	}
	if o.Rate() > 0 && o.Burst() < 1 {
		c.find(entry, "its burst is below one request, so that each must wait for its turn", "raise its burst")
	}
	if connections := c.connections(); connections > 0 && o.Burst() > float64(connections) {
		text := fmt.Sprintf("its burst of %g is above the %d connections of all endpoints", o.Burst(), connections)
		c.find(entry, text, "lower its burst")
	}
	c.checkInversion(o)
}

// connections returns how many connections all endpoints accept, 0 if their number is not known.
func (c *checker) connections() int {
	sum := 0
	for _, s := range c.set.Services() {
		sum += s.Conns() * c.around.endpoints[s.Name()]
	}
	return sum
}

// checkInversion finds an organisation whose least urgent requests go before the most urgent ones of another.
func (c *checker) checkInversion(o rules.Organisation) {
	if len(c.set.Classes()) < 2 {
		return
	}
	below := 0
	for _, other := range c.set.Organisations() {
		if other.Priority() < o.Priority() {
			below++
		}
	}
	if below > 0 {
		text := fmt.Sprintf("all of its requests go before the most urgent ones of %d other organisations", below)
		c.find("organisation "+o.Name(), text, "give them one priority unless this is meant")
	}
}
