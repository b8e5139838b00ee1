// Command tamarackd runs a node, the process beside each backend server that controls its load. It exits with status 2 on
// faulty settings, and with status 1 on any other error.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"tamarackrudder.org/tamarackd/wiring"
)

const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	err := wiring.NewCommand().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if errors.Is(err, wiring.ErrSettings) {
		os.Exit(exitSettings)
	}
	os.Exit(exitFailed)
}
