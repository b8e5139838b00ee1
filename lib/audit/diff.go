package audit

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Change is what differs between two versions of rules in one entry.
type Change struct {
	entry   string
	text    string
	effects []string
}

// Entry returns the entry that differs, by its kind and name.
func (c Change) Entry() string { return c.entry }

// Text returns how it differs: added, removed, or which options changed, from what to what.
func (c Change) Text() string { return c.text }

// Effects returns what the change does to requests, none if nothing is taken away.
func (c Change) Effects() []string { return c.effects }

// String returns the entry, how it differs, and the effects.
func (c Change) String() string {
	text := c.entry + ": " + c.text
	if len(c.effects) > 0 {
		text += " -> " + strings.Join(c.effects, ", ")
	}
	return text
}

// options of the printed rules that have a meaning here.
const (
	optionKeys    = "keys"
	optionService = "service"
	optionSplit   = "split"
	optionRate    = "rate"
	optionBurst   = "burst"
	optionHost    = "host"
)

// entryOf splits one printed rule into its name and its options. Who asked for it is no part of either.
func entryOf(line string) (name string, options map[string]string) {
	rule, _, _ := strings.Cut(line, "#")
	options = map[string]string{}
	var words []string
	for _, word := range strings.Fields(rule) {
		option, value, isOption := strings.Cut(word, "=")
		if isOption {
			options[option] = value
			continue
		}
		words = append(words, word)
	}
	if host := options[optionHost]; host != "" {
		words = append(words, "of "+host)
	}
	return strings.Join(words, " "), options
}

// parse returns the entries of printed rules by name, without the version.
func parse(text string) map[string]map[string]string {
	entries := map[string]map[string]string{}
	for line := range strings.Lines(text) {
		name, options := entryOf(line)
		if name != "" && !strings.HasPrefix(name, "version ") {
			entries[name] = options
		}
	}
	return entries
}

// Diff returns what differs from the rules in force, both as rules.Set prints them, sorted by entry.
func Diff(inForce, next string) []Change {
	before, after := parse(inForce), parse(next)
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if c, differs := compare(name, before[name], after[name]); differs {
			changes = append(changes, c)
		}
	}
	return changes
}

// compare returns the difference between the options of an entry in two versions, nil for a version without it.
func compare(name string, before, after map[string]string) (Change, bool) {
	c := Change{entry: name}
	switch {
	case before == nil:
		c.text = "added"
		return c, true
	case after == nil:
		c.text = "removed"
		c.effects = removalEffects(name)
		return c, true
	}
	options := maps.Clone(before)
	maps.Copy(options, after)
	var texts []string
	for _, option := range slices.Sorted(maps.Keys(options)) {
		if before[option] != after[option] {
			texts = append(texts, describe(option, before[option], after[option]))
		}
	}
	c.text = strings.Join(texts, ", ")
	c.effects = effects(before, after)
	return c, len(texts) > 0
}

// describe returns how an option changed. Of keys it tells only the number.
func describe(option, before, after string) string {
	if option == optionKeys {
		return fmt.Sprintf("keys from %d to %d", len(list(before)), len(list(after)))
	}
	return fmt.Sprintf("%s from %s to %s", option, orNone(before), orNone(after))
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

func list(value string) []string {
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

func removalEffects(name string) []string {
	kind, _, _ := strings.Cut(name, " ")
	switch kind {
	case "route":
		return []string{"its requests are refused as of no route, or taken by a less specific one"}
	case "organisation":
		return []string{"its keys are refused"}
	}
	return nil
}

// effects returns what a change of options takes away.
func effects(before, after map[string]string) []string {
	var found []string
	taken := 0
	for _, key := range list(before[optionKeys]) {
		if !slices.Contains(list(after[optionKeys]), key) {
			taken++
		}
	}
	if taken > 0 {
		found = append(found, fmt.Sprintf("%d keys are taken away", taken))
	}
	if lost := lostServices(before, after); len(lost) > 0 {
		found = append(found, "no longer goes to "+strings.Join(lost, " and "))
	}
	if lowers(before[optionRate], after[optionRate]) || (after[optionRate] != "" && lowers(before[optionBurst], after[optionBurst])) {
		found = append(found, "its quota is lowered")
	}
	return found
}

// lowers reports whether a quota is lowered; no number is no limit.
func lowers(before, after string) bool {
	to, err := strconv.ParseFloat(after, 64)
	if err != nil {
		return false
	}
	from, err := strconv.ParseFloat(before, 64)
	return err != nil || to < from
}

// lostServices returns the services that a route goes to before a change and not after it.
func lostServices(before, after map[string]string) []string {
	kept := services(after)
	return slices.DeleteFunc(services(before), func(name string) bool { return slices.Contains(kept, name) })
}

func services(options map[string]string) []string {
	var names []string
	if name := options[optionService]; name != "" {
		names = append(names, name)
	}
	for _, part := range list(options[optionSplit]) {
		name, weight, _ := strings.Cut(part, ":")
		if weight != "0" {
			names = append(names, name)
		}
	}
	return names
}
