package seeds

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// Main runs the tests with the given rapid seed, checks of each property, and steps of each check.
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

// LimitChecks sets the number of checks of each property until the end of a test. Tests whose steps are fixed need fewer.
func LimitChecks(t *testing.T, checks int) {
	t.Helper()
	f := flag.Lookup("rapid.checks")
	before := f.Value.String()
	t.Cleanup(func() { _ = f.Value.Set(before) })
	if err := f.Value.Set(strconv.Itoa(checks)); err != nil {
		t.Fatal(err)
	}
}
