// Command tamarackbench runs the stand-ins for tests and measurements (platform, backend server, callers), the
// measurements themselves, and a demo.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"tamarackrudder.org/tamarackbench/benchd"
	"tamarackrudder.org/tamarackd/wiring"
)

const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

func main() {
	err := benchd.NewCommand().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if errors.Is(err, wiring.ErrSettings) {
		os.Exit(exitInvalidSettings)
	}
	os.Exit(exitFailed)
}
