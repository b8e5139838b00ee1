package verbs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/urfave/cli/v3"

	"tamarackrudder.org/lib/opsapi"
	"tamarackrudder.org/tamarackctl/texts"
)

// Version is the version of tamarackctl that --version prints.
const Version = "0.1.0"

const (
	flagNodes        = "nodes"
	flagJSON         = "json"
	flagKey          = "key"
	flagOrganisation = "organisation"
	flagAgainst      = "against"
	flagStrict       = "strict"
	flagEndpoints    = "endpoints"
	flagBodyMemory   = "body-memory"
	flagQuotaWindow  = "quota-window"
)

// controller implements the verbs; their results are printed to out.
type controller struct {
	out io.Writer
}

// NewCommand returns the command line; reports go to out, and errors are returned.
func NewCommand(out io.Writer) *cli.Command {
	c := controller{out: out}
	return &cli.Command{
		Name: "tamarackctl", Usage: texts.Usage, Description: texts.Description, Version: Version,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: flagNodes, Usage: texts.UsageNodes, Value: []string{"127.0.0.1:8082"},
				Sources: cli.EnvVars("TAMARACK_NODES"),
			},
			&cli.BoolFlag{Name: flagJSON, Usage: texts.UsageJSON, Sources: cli.EnvVars("TAMARACK_JSON")},
		},
		Commands: []*cli.Command{
			{Name: "check", Usage: texts.UsageCheck, ArgsUsage: "FILE", Action: c.check, Flags: checkFlags()},
			{Name: "status", Usage: texts.UsageStatus, Action: c.status},
			{Name: "drain", Usage: texts.UsageDrain, Action: c.drain},
			{Name: "undrain", Usage: texts.UsageUndrain, Action: c.undrain},
			{Name: "rules", Usage: texts.UsageRules, Action: c.rules},
			{
				Name: "explain", Usage: texts.UsageExplain, ArgsUsage: "METHOD PATH", Action: c.explain,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: flagKey, Usage: texts.UsageKey},
					&cli.StringFlag{Name: flagOrganisation, Usage: texts.UsageOrganisation},
				},
			},
			{Name: "histogram", Usage: texts.UsageHistogram, Action: c.histogram},
			{Name: "quota", Usage: texts.UsageQuota, ArgsUsage: "[ORGANISATION]", Action: c.quota},
		},
	}
}

// reply is one node's answer to a verb. If the call failed, Error is set and Report is empty.
type reply[T any] struct {
	Node   string `json:"node"`
	Error  string `json:"error,omitempty"`
	Report T      `json:"report"`
}

// queryNodes calls all nodes one after the other and returns one reply per node. The error joins those of all calls that
// failed.
func queryNodes[T any](cmd *cli.Command, verb func(client *opsapi.Client) (T, error)) ([]reply[T], error) {
	nodes := cmd.StringSlice(flagNodes)
	replies := make([]reply[T], 0, len(nodes))
	var failed []error
	for _, addr := range nodes {
		r := reply[T]{Node: addr}
		report, err := verb(opsapi.NewClient(addr))
		if err != nil {
			r.Error = err.Error()
			failed = append(failed, fmt.Errorf(texts.NodeFailed, addr, err))
		}
		r.Report = report
		replies = append(replies, r)
	}
	return replies, errors.Join(failed...)
}

// show prints the replies as JSON with --json, else with the table function, and returns the failed calls' error as well.
func show[T any](c controller, cmd *cli.Command, replies []reply[T], failed error, table func([]reply[T]) error) error {
	if cmd.Bool(flagJSON) {
		return errors.Join(c.printJSON(replies), failed)
	}
	return errors.Join(table(replies), failed)
}

func (c controller) status(ctx context.Context, cmd *cli.Command) error {
	replies, err := queryNodes(cmd, func(client *opsapi.Client) (opsapi.Status, error) { return client.Status(ctx) })
	return show(c, cmd, replies, err, c.printStatus)
}

func (c controller) drain(ctx context.Context, cmd *cli.Command) error {
	replies, err := queryNodes(cmd, func(client *opsapi.Client) (opsapi.Status, error) { return client.Drain(ctx) })
	return show(c, cmd, replies, err, c.printStatus)
}

func (c controller) undrain(ctx context.Context, cmd *cli.Command) error {
	replies, err := queryNodes(cmd, func(client *opsapi.Client) (opsapi.Status, error) { return client.Undrain(ctx) })
	return show(c, cmd, replies, err, c.printStatus)
}

func (c controller) rules(ctx context.Context, cmd *cli.Command) error {
	replies, err := queryNodes(cmd, func(client *opsapi.Client) (opsapi.Rules, error) { return client.Rules(ctx) })
	return show(c, cmd, replies, err, c.printRules)
}

func (c controller) explain(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return fmt.Errorf("%w: explain needs METHOD and PATH", ErrSettings)
	}
	replies, err := queryNodes(cmd, func(client *opsapi.Client) (opsapi.Explanation, error) {
		return client.Explain(ctx, cmd.Args().Get(0), cmd.Args().Get(1), cmd.String(flagKey), cmd.String(flagOrganisation))
	})
	return show(c, cmd, replies, err, c.printExplanation)
}

func (c controller) histogram(ctx context.Context, cmd *cli.Command) error {
	replies, err := queryNodes(cmd, func(client *opsapi.Client) ([]opsapi.Histogram, error) { return client.Histograms(ctx) })
	return show(c, cmd, replies, err, c.printHistograms)
}

// quota shows the quotas that the nodes grant from, or that of one organisation.
func (c controller) quota(ctx context.Context, cmd *cli.Command) error {
	organisation := cmd.Args().First()
	replies, err := queryNodes(cmd, func(client *opsapi.Client) ([]opsapi.Quota, error) {
		rows, err := client.Quotas(ctx)
		return slices.DeleteFunc(rows, func(q opsapi.Quota) bool { return organisation != "" && q.Organisation != organisation }), err
	})
	return show(c, cmd, replies, err, c.printQuotas)
}
