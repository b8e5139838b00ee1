package seeds

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// Main runs the tests with a seed, checks for each state machine, and steps for each check.
func Main(m *testing.M, seed, checks, steps int) {
	defaults := map[string]string{
		"rapid.seed": strconv.Itoa(seed), "rapid.checks": strconv.Itoa(checks), "rapid.steps": strconv.Itoa(steps),
		"rapid.nofailfile": "true",
	}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

// LimitChecks lowers the checks of each state machine for the rest of one test whose steps are fixed.
func LimitChecks(t *testing.T, checks int) {
	t.Helper()
	f := flag.Lookup("rapid.checks")
	before := f.Value.String()
	t.Cleanup(func() { _ = f.Value.Set(before) })
	if err := f.Value.Set(strconv.Itoa(checks)); err != nil {
		t.Fatal(err)
	}
}
