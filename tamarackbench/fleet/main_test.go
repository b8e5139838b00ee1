package fleet_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"testing"

	"tamarackrudder.org/tamarackbench/benchd"
)

// roleVariable is the environment variable that makes the test binary run the command line of tamarackbench instead of
// the tests, so that a fleet in a test needs no other program.
const roleVariable = "TAMARACKBENCH_ROLE"

func TestMain(m *testing.M) {
	if os.Getenv(roleVariable) == "" {
		os.Exit(m.Run())
	}
	if err := benchd.NewCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func launch(args ...string) (*exec.Cmd, error) {
	path, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(path, args...)
	cmd.Env = append(os.Environ(), roleVariable+"=process")
	return cmd, nil
}
