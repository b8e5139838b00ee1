// Command stand plays the cases of this review with processes of the deploy file and stand-ins for everything else. It writes
// record.txt into the working folder and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// outcome is the result of a case: the findings that break the rule.
type outcome struct {
	broken   bool
	findings []string
}

func (o *outcome) find(format string, args ...any) {
	o.findings = append(o.findings, fmt.Sprintf(format, args...))
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(trouble bool) (*world, *outcome, error){
	"late-copy":   playLateCopy,
	"resurrected": playResurrected,
	"left-queue":  playLeftQueue,
	"many-marks":  playManyMarks,
	"upload":      playUpload,
	"slashes":     playSlashes,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Getenv("TROUBLE") != "0"))
}

func play(name string, trouble bool) int {
	w, result, err := cases[name](trouble)
	if w != nil {
		w.close()
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
		if w != nil {
			w.record("the case could not run: %v", err)
			_ = w.save("record.txt")
		}
		return exitNotRun
	}
	for _, f := range result.findings {
		w.record("finding: %s", f)
		fmt.Println(f)
	}
	verdict := "the rule held"
	if result.broken {
		verdict = "the rule was broken"
	}
	w.record("%s", verdict)
	fmt.Println(verdict)
	if err := w.save("record.txt"); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	if result.broken {
		return exitBroken
	}
	return exitHeld
}
