package verbs_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tamarackrudder.org/tamarackctl/verbs"
)

func TestExpand(t *testing.T) {
	tests := []struct {
		name    string
		aliases string
		args    []string
		want    string
		faulty  bool
	}{
		{"no alias", "", []string{"ctl", "status"}, "status", false},
		{"old name", "showpool=status, bleed=drain", []string{"ctl", "bleed"}, "drain", false},
		{"behind flags", "showpool=status", []string{"ctl", "--nodes", "127.0.0.1:1", "--json", "showpool"}, "status", false},
		{"unknown verb", "showpool=explode", []string{"ctl", "showpool"}, "", true},
		{"no verb", "showpool", []string{"ctl", "showpool"}, "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			args, err := verbs.Expand(test.args, test.aliases)
			is.Equal(errors.Is(err, verbs.ErrSettings), test.faulty)
			if !test.faulty {
				is.Equal(args[len(args)-1], test.want)
			}
		})
	}
}

// TestCheck checks that check prints the version of a valid file, and reports all faulty lines of another one.
func TestCheck(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "rules")
	run := func(text string) (string, error) {
		is.NoErr(os.WriteFile(file, []byte(text), 0o600))
		var out bytes.Buffer
		err := verbs.NewCommand(&out).Run(t.Context(), []string{"tamarackctl", "check", file})
		return out.String(), err
	}
	out, err := run("version 3\nclass a priority=1 # asked by: x\n")
	is.NoErr(err)
	is.True(strings.Contains(out, "version 3"))
	_, err = run("version 3\nclass a priority=1\nclass b\n")
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "line 2") && strings.Contains(err.Error(), "line 3"))
}
