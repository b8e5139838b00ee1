// Command stand2 holds the stand-ins of the second review, and plays one case against the nodes of this repository.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts by name. Each returns whether the rule was broken, or an error if it could not run.
var cases = map[string]func(w *World, trouble bool) (bool, error){
	"cut":            cutWatches,
	"left-poison":    leftPoison,
	"foreign":        foreignEntries,
	"long-answers":   longAnswers,
	"callers-poison": callersPoison,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER NODE-PROGRAM")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(run func(*World, bool) (bool, error), dir, binary string) int {
	w, err := NewWorld(dir, binary)
	if err != nil {
		fmt.Println("not run:", err)
		return exitNotRun
	}
	defer w.record.Close()
	defer w.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := run(w, trouble)
	switch {
	case err != nil:
		w.record.Say("not run: %v", err)
		return exitNotRun
	case broken:
		w.record.Say("the rule was broken")
		return exitBroken
	}
	w.record.Say("the rule held")
	return exitHeld
}
