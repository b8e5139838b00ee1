package rules

import (
	"slices"
	"strconv"
	"time"
)

// options holds the name=value options of one rule. The methods that read an option also remove it.
type options struct {
	parser *parser
	values map[string]string
}

func (o *options) text(name string) string {
	value := o.values[name]
	delete(o.values, name)
	return value
}

// number reads an integer option from low to high. A missing option yields the fallback; a negative fallback marks the
// option as mandatory.
func (o *options) number(name string, fallback, low, high int) int {
	text := o.text(name)
	if text == "" {
		if fallback < 0 {
			o.parser.fault("option %q is missing", name)
		}
		return fallback
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < low || value > high {
		o.parser.fault("option %s=%s is not a number from %d to %d", name, text, low, high)
		return fallback
	}
	return value
}

func (o *options) duration(name string, fallback, low, high time.Duration) time.Duration {
	text := o.text(name)
	if text == "" {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < low || value > high {
		o.parser.fault("option %s=%s is not a duration from %s to %s", name, text, low, high)
		return fallback
	}
	return value
}

// finish records a fault for each option that has not been read, since the rule has no option of that name.
func (o *options) finish() {
	unknown := make([]string, 0, len(o.values))
	for name := range o.values {
		unknown = append(unknown, name)
	}
	slices.Sort(unknown)
	for _, name := range unknown {
		o.parser.fault("unknown option %q", name)
	}
}
