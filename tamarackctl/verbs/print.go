package verbs

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"tamarackrudder.org/lib/opsapi"
	"tamarackrudder.org/tamarackctl/texts"
)

const columnGap = 2

func (c controller) newTable() *tabwriter.Writer {
	return tabwriter.NewWriter(c.out, 0, 0, columnGap, ' ', 0)
}

func (c controller) printStatus(replies []reply[opsapi.Status]) error {
	w := c.newTable()
	_, _ = fmt.Fprintln(w, texts.StatusHeader)
	for _, r := range replies {
		if r.Error != "" {
			continue
		}
		s := r.Report
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\n",
			s.Node, s.Service, s.Zone, nodeState(s), s.RulesVersion, s.ListVersion, activeSince(s.Lease), leaseState(s.Lease),
			s.Keys, s.Limit, s.Running, formatCounts(s.Queued), formatCounts(s.Shed), joinOrNone(s.Ejected))
	}
	return w.Flush()
}

func nodeState(s opsapi.Status) string {
	switch {
	case s.Leaving:
		return texts.StateLeaving
	case !s.Ready:
		return texts.StateStarting
	}
	return texts.StateServing
}

// activeSince returns when the node's ownership period began, or "-" while it has none under the newest list of hosts.
func activeSince(l opsapi.Lease) string {
	if !l.Active {
		return texts.None
	}
	return l.Since.UTC().Format(time.RFC3339)
}

// leaseState distinguishes an endpoint that holds the lease from one that also grants leases to its peers.
func leaseState(l opsapi.Lease) string {
	switch {
	case !l.Leased || l.Released:
		return texts.LeaseNone
	case !l.Granting:
		return texts.LeaseNotGranting
	}
	return texts.LeaseHeld
}

func formatCounts(all []opsapi.ClassCount) string {
	words := make([]string, 0, len(all))
	for _, c := range all {
		words = append(words, fmt.Sprintf("%s=%d", c.Class, c.Count))
	}
	return joinOrNone(words)
}

func joinOrNone(words []string) string {
	if len(words) == 0 {
		return texts.None
	}
	return strings.Join(words, ",")
}

func (c controller) printRules(replies []reply[opsapi.Rules]) error {
	for _, r := range replies {
		if r.Error == "" {
			_, _ = fmt.Fprintf(c.out, texts.NodeHeading, r.Node)
			_, _ = fmt.Fprintln(c.out, strings.TrimRight(r.Report.Text, "\n"))
		}
	}
	return nil
}

func (c controller) printExplanation(replies []reply[opsapi.Explanation]) error {
	for _, r := range replies {
		if r.Error != "" {
			continue
		}
		_, _ = fmt.Fprintf(c.out, texts.NodeHeading, r.Node)
		for _, line := range r.Report.Lines {
			_, _ = fmt.Fprintf(c.out, "  %s\n", line)
		}
	}
	return nil
}

func (c controller) printHistograms(replies []reply[[]opsapi.Histogram]) error {
	w := c.newTable()
	_, _ = fmt.Fprintln(w, texts.HistHeader)
	for _, r := range replies {
		for _, h := range r.Report {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%s\n",
				r.Node, h.Organisation, h.Class, h.Ran, h.NotRun, h.MayHaveRun, h.P50Ms, h.P99Ms, h.P999Ms, formatReasons(h.Reasons))
		}
	}
	return w.Flush()
}

func (c controller) printQuotas(replies []reply[[]opsapi.Quota]) error {
	w := c.newTable()
	_, _ = fmt.Fprintln(w, texts.QuotaHeader)
	for _, r := range replies {
		for _, q := range r.Report {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%g\t%g\t%.0f\t%.0f\t%.0f\n",
				r.Node, q.Organisation, q.Home, q.Rate, q.Burst, q.Left, q.Used, q.Refused)
		}
	}
	return w.Flush()
}

func formatReasons(all []opsapi.ReasonCount) string {
	words := make([]string, 0, len(all))
	for _, c := range all {
		words = append(words, fmt.Sprintf("%s=%d", c.Reason, c.Count))
	}
	return joinOrNone(words)
}
