// Command stand3 plays one case of the third review: the project's nodes as processes, with stand-ins of the platform, the
// endpoints and the clients. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// outcome is how a case ended.
type outcome int

const (
	held outcome = iota
	broken
	notRun
)

var cases = map[string]func(rec *record, trouble bool) outcome{
	"hang":   hang,
	"poison": poison,
	"leave":  leave,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		os.Exit(int(notRun))
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(notRun))
	}
	os.Exit(int(cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")))
}
