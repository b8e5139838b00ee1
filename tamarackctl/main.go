// Command tamarackctl is the operators' tool: it checks rules files, and inspects and controls nodes over their operators'
// listeners. It exits with status 2 on faulty aliases or a wrong number of arguments, and with status 1 on any other error.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"tamarackrudder.org/tamarackctl/verbs"
)

const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	args, err := verbs.Expand(os.Args, os.Getenv(verbs.EnvAliases))
	if err == nil {
		err = verbs.NewCommand(os.Stdout).Run(context.Background(), args)
	}
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if errors.Is(err, verbs.ErrSettings) {
		os.Exit(exitSettings)
	}
	os.Exit(exitFailed)
}
