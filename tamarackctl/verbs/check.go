package verbs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"tamarackrudder.org/lib/audit"
	"tamarackrudder.org/lib/opsapi"
	"tamarackrudder.org/lib/rules"
	"tamarackrudder.org/platform"
	"tamarackrudder.org/tamarackctl/texts"
)

// Verdict is the result of a check, as --json prints it.
type Verdict struct {
	Version  uint64   `json:"version"`
	Accepted bool     `json:"accepted"`
	Faults   []string `json:"faults"`
	Warnings []string `json:"warnings"`
	Changes  []string `json:"changes"`
}

func checkFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagAgainst, Usage: texts.UsageAgainst},
		&cli.BoolFlag{Name: flagStrict, Usage: texts.UsageStrict},
		&cli.StringSliceFlag{Name: flagEndpoints, Usage: texts.UsageEndpoints},
		&cli.Int64Flag{Name: flagBodyMemory, Usage: texts.UsageBodyMemory},
		&cli.DurationFlag{Name: flagQuotaWindow, Usage: texts.UsageQuotaWindow},
	}
}

// check checks a rules file, or a configuration of the users' platform, as the nodes do. The error lists all faults; with
// --strict, warnings are faults too.
func (c controller) check(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return fmt.Errorf("%w: check needs one FILE", ErrSettings)
	}
	around, err := surroundings(cmd)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(cmd.Args().First())
	if err != nil {
		return fmt.Errorf("rules file: %w", err)
	}
	set, err := decode(text)
	if err != nil {
		return c.refuse(cmd, faultsOf(err))
	}
	v := Verdict{Version: set.Version(), Accepted: true}
	for _, f := range audit.Check(set, around) {
		v.Warnings = append(v.Warnings, f.String())
	}
	if against := cmd.String(flagAgainst); against != "" {
		inForce, err := printed(ctx, against)
		if err != nil {
			return err
		}
		for _, change := range audit.Diff(inForce, set.Print()) {
			v.Changes = append(v.Changes, change.String())
		}
	}
	if err := c.printVerdict(cmd, v, set); err != nil {
		return err
	}
	if cmd.Bool(flagStrict) && len(v.Warnings) > 0 {
		return fmt.Errorf(texts.RefusedStrictly, len(v.Warnings))
	}
	return nil
}

// decode reads a rules file, or a configuration of the users' platform, which is a JSON object.
func decode(text []byte) (*rules.Set, error) {
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		return platform.DecodeConfig(text)
	}
	return rules.Parse(text)
}

func faultsOf(err error) []string {
	var faults rules.Faults
	if !errors.As(err, &faults) {
		return []string{err.Error()}
	}
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, fmt.Sprintf("line %d: %s", f.Line(), f.Text()))
	}
	return lines
}

// refuse prints the faults with --json, and returns them as an error.
func (c controller) refuse(cmd *cli.Command, faults []string) error {
	if cmd.Bool(flagJSON) {
		if err := c.printJSON(Verdict{Faults: faults}); err != nil {
			return err
		}
	}
	return fmt.Errorf(texts.Refused, len(faults), strings.Join(faults, "\n"))
}

// surroundings returns what the flags say of the nodes that the rules are for.
func surroundings(cmd *cli.Command) (audit.Surroundings, error) {
	endpoints := map[string]int{}
	for _, word := range cmd.StringSlice(flagEndpoints) {
		service, number, _ := strings.Cut(word, "=")
		count, err := strconv.Atoi(number)
		if err != nil || count < 0 {
			return audit.Surroundings{}, fmt.Errorf("%w: --%s: %q is not SERVICE=NUMBER", ErrSettings, flagEndpoints, word)
		}
		endpoints[service] = count
	}
	around := audit.NewSurroundings(cmd.Int64(flagBodyMemory), cmd.Duration(flagQuotaWindow))
	return around.WithEndpoints(endpoints), nil
}

// printed returns the rules of a file, or those in force at a node, as rules.Set prints them.
func printed(ctx context.Context, against string) (string, error) {
	text, err := os.ReadFile(against)
	if errors.Is(err, os.ErrNotExist) {
		inForce, err := opsapi.NewClient(against).Rules(ctx)
		if err != nil {
			return "", fmt.Errorf("--%s %s is neither a file nor a node that answers: %w", flagAgainst, against, err)
		}
		return inForce.Text, nil
	}
	if err != nil {
		return "", fmt.Errorf("rules file: %w", err)
	}
	set, err := decode(text)
	if err != nil {
		return "", fmt.Errorf("%s: %w", against, err)
	}
	return set.Print(), nil
}

func (c controller) printVerdict(cmd *cli.Command, v Verdict, set *rules.Set) error {
	if cmd.Bool(flagJSON) {
		return c.printJSON(v)
	}
	_, err := fmt.Fprintf(c.out, texts.Accepted, v.Version, len(set.Services()), len(set.Routes()))
	for _, w := range v.Warnings {
		_, _ = fmt.Fprintf(c.out, texts.Warning, w)
	}
	for _, change := range v.Changes {
		_, _ = fmt.Fprintf(c.out, texts.Change, change)
	}
	return err
}

func (c controller) printJSON(v any) error {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
