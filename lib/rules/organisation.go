package rules

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// maxRate bounds the rate and the burst of a quota, in requests a second and in requests.
const maxRate = 1e9

var errKeyHash = errors.New("not the SHA-256 hash of a key in hexadecimal digits")

// KeyHash is the hash by which a key is held and compared, so that no key itself is kept.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash in hexadecimal digits.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

func parseKeyHash(text string) (KeyHash, error) {
	var h KeyHash
	n, err := hex.Decode(h[:], []byte(text[:min(len(text), hex.EncodedLen(len(h)))]))
	if err != nil || n != len(h) || len(text) != hex.EncodedLen(len(h)) {
		return KeyHash{}, errKeyHash
	}
	return h, nil
}

// Organisation is a customer by name, with the keys by which its requests are recognised and its quota.
type Organisation struct {
	name     string
	keys     []KeyHash
	priority int
	rate     float64
	burst    float64
	askedBy  string
}

// NewOrganisation returns an organisation for NewSet, recognised by its keys.
func NewOrganisation(name string, keys []KeyHash) Organisation {
	return Organisation{name: name, keys: keys}
}

// WithPriority returns the organisation with its priority, which goes before that of its requests' classes.
func (o Organisation) WithPriority(priority int) Organisation { o.priority = priority; return o }

// WithQuota returns the organisation with its quota over all nodes: a rate in requests a second, 0 for none, and a burst in
// requests.
func (o Organisation) WithQuota(rate, burst float64) Organisation {
	o.rate, o.burst = rate, burst
	return o
}

// Name returns the organisation's name.
func (o Organisation) Name() string { return o.name }

// Keys returns the hashes of the organisation's keys, none if its requests name it without a key.
func (o Organisation) Keys() []KeyHash { return o.keys }

// Priority returns the organisation's priority; requests of a higher one are shed later.
func (o Organisation) Priority() int { return o.priority }

// Rate returns how many requests a second all nodes together may run for the organisation, 0 for no limit.
func (o Organisation) Rate() float64 { return o.rate }

// Burst returns how many requests beyond Rate the organisation may send at once.
func (o Organisation) Burst() float64 { return o.burst }

// AskedBy returns who asked for the rule, empty for an organisation that was not read from a rules file.
func (o Organisation) AskedBy() string { return o.askedBy }

// organisationFaults returns what is wrong with an organisation of the set.
func (s *Set) organisationFaults(o Organisation, declaredBefore bool) []string {
	var faults []string
	fault := func(text string) { faults = append(faults, fmt.Sprintf("organisation %q %s", o.name, text)) }
	if o.name == "" {
		fault("has no name")
	}
	if declaredBefore {
		fault("is declared twice")
	}
	if !isRate(o.rate) || !isRate(o.burst) {
		fault("has a rate or a burst that is negative or too large")
	}
	for _, key := range o.keys {
		if owner := s.organisations[s.organisationsByKey[key]].name; owner != o.name {
			fault(fmt.Sprintf("has a key of organisation %q", owner))
		}
	}
	return faults
}

func isRate(number float64) bool { return number >= 0 && number <= maxRate && !math.IsNaN(number) }

// Organisation returns the organisation of the given name, false if it is not declared.
func (s *Set) Organisation(name string) (Organisation, bool) {
	i, ok := s.organisationsByName[name]
	if !ok {
		return Organisation{}, false
	}
	return s.organisations[i], true
}

// OrganisationOf returns the organisation that a key belongs to, false if the key is unknown.
func (s *Set) OrganisationOf(key string) (Organisation, bool) {
	i, ok := s.organisationsByKey[HashKey(key)]
	if !ok {
		return Organisation{}, false
	}
	return s.organisations[i], true
}

// NeedsKeys reports whether callers are recognised by keys: any organisation has one.
func (s *Set) NeedsKeys() bool { return len(s.organisationsByKey) > 0 }

// Priority returns the priority of an organisation's requests of a class: that of the organisation goes before that of the
// class. An empty or unknown name stands for an organisation of the lowest priority.
func (s *Set) Priority(class Class, organisation string) int {
	o, ok := s.Organisation(organisation)
	if !ok {
		return s.lowestPriority*prioritySpan + class.priority
	}
	return o.priority*prioritySpan + class.priority
}

// Weight returns the share of an organisation's requests among those that wait: its rate, or the mean rate of the organisations
// that have one.
func (s *Set) Weight(organisation string) float64 {
	if o, ok := s.Organisation(organisation); ok && o.rate > 0 {
		return o.rate
	}
	return s.meanRate
}

// prioritySpan is the number of priorities that the classes of one organisation can have.
const prioritySpan = maxPriority + 1

// Priorities returns the priorities that requests can have, highest first.
func (s *Set) Priorities() []int { return s.priorities }

// indexOrganisations fills the fields derived from the organisations. Of a key of several, the first one counts.
func (s *Set) indexOrganisations() {
	s.organisationsByName, s.organisationsByKey = map[string]int{}, map[KeyHash]int{}
	ofOrganisations := map[int]bool{}
	for i, o := range s.organisations {
		s.organisationsByName[o.name] = i
		ofOrganisations[o.priority] = true
		for _, key := range o.keys {
			if _, taken := s.organisationsByKey[key]; !taken {
				s.organisationsByKey[key] = i
			}
		}
		if i == 0 || o.priority < s.lowestPriority {
			s.lowestPriority = o.priority
		}
	}
	s.meanRate = meanRate(s.organisations)
	if len(s.organisations) == 0 {
		ofOrganisations[s.lowestPriority] = true
	}
	s.priorities = nil
	for p := range ofOrganisations {
		for _, c := range s.classes {
			s.priorities = append(s.priorities, p*prioritySpan+c.priority)
		}
	}
	slices.SortFunc(s.priorities, func(a, b int) int { return cmp.Compare(b, a) })
	s.priorities = slices.Compact(s.priorities)
}

// meanRate returns the mean rate of the organisations that have one, 1 if none has.
func meanRate(all []Organisation) float64 {
	sum, count := 0.0, 0
	for _, o := range all {
		if o.rate > 0 {
			sum += o.rate
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return sum / float64(count)
}

func (p *parser) readOrganisation(args []string, askedBy string) {
	names, opts, ok := p.splitArgs(args, 1)
	if !ok {
		return
	}
	o := Organisation{name: p.checkName("organisation", names[0]), askedBy: askedBy}
	o.keys = p.parseKeys(opts.text("keys"))
	o.priority = opts.number("priority", 0, 0, maxPriority)
	o.rate = opts.rate("rate")
	o.burst = opts.rate("burst")
	opts.finish()
	if o.rate == 0 && o.burst > 0 {
		p.fault("organisation %q has a burst without a rate", o.name)
	}
	for _, other := range p.set.organisations {
		if other.name == o.name {
			p.fault("organisation %q is declared twice", o.name)
		}
		for _, key := range o.keys {
			if slices.Contains(other.keys, key) {
				p.fault("organisation %q has a key of organisation %q", o.name, other.name)
			}
		}
	}
	p.set.organisations = append(p.set.organisations, o)
}

// parseKeys parses the hashes of keys, separated by commas.
func (p *parser) parseKeys(text string) []KeyHash {
	if text == "" {
		return nil
	}
	var keys []KeyHash
	for _, word := range strings.Split(text, ",") {
		key, err := parseKeyHash(word)
		if err != nil {
			p.fault("key is %v", err)
		}
		keys = append(keys, key)
	}
	return keys
}

// rate reads a number of requests, 0 if it is missing.
func (o *options) rate(name string) float64 {
	text := o.text(name)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !isRate(value) {
		o.parser.fault("option %s=%s is not a number from 0 to %g", name, text, float64(maxRate))
		return 0
	}
	return value
}

// line returns the rule of the organisation, as Parse reads it.
func (o Organisation) line() string {
	text := "organisation " + o.name
	for i, key := range o.keys {
		separator := ","
		if i == 0 {
			separator = " keys="
		}
		text += separator + key.String()
	}
	if o.priority != 0 {
		text += fmt.Sprintf(" priority=%d", o.priority)
	}
	for _, option := range []struct {
		name  string
		value float64
	}{{"rate", o.rate}, {"burst", o.burst}} {
		if option.value != 0 {
			text += fmt.Sprintf(" %s=%s", option.name, strconv.FormatFloat(option.value, 'g', -1, 64))
		}
	}
	return fmt.Sprintf("%s %s %s\n", text, askedByMarker, o.askedBy)
}
