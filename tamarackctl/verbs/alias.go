package verbs

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// EnvAliases is the environment variable that maps commands of an old system to verbs.
const EnvAliases = "TAMARACK_ALIASES"

// ErrSettings is wrapped by errors about faulty aliases or a wrong number of arguments.
var ErrSettings = errors.New("faulty settings")

var verbNames = []string{"check", "status", "drain", "undrain", "rules", "explain", "histogram"}

// Expand replaces the command in args by the verb to which aliases, written "OLD=VERB,...", map it. It returns a copy of
// args, unchanged if the command has no alias, and an error wrapping ErrSettings if an alias is faulty.
func Expand(args []string, aliases string) ([]string, error) {
	table := map[string]string{}
	for pair := range strings.SplitSeq(aliases, ",") {
		if strings.TrimSpace(pair) == "" {
			continue
		}
		old, verb, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok || old == "" || !slices.Contains(verbNames, verb) {
			return nil, fmt.Errorf("%w: %s: %q is not OLD=VERB with one of %v", ErrSettings, EnvAliases, pair, verbNames)
		}
		table[old] = verb
	}
	expanded := slices.Clone(args)
	if i := commandIndex(args); i > 0 {
		if verb, ok := table[args[i]]; ok {
			expanded[i] = verb
		}
	}
	return expanded, nil
}

// commandIndex returns the index of the first argument that is neither a flag nor the value of --nodes, 0 for none.
func commandIndex(args []string) int {
	for i := 1; i < len(args); i++ {
		if !strings.HasPrefix(args[i], "-") {
			return i
		}
		if args[i] == "--"+flagNodes {
			i++
		}
	}
	return 0
}
