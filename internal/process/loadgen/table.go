package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable writes the result as text tables, one for each window.
func (r *Result) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "seed %d, %.1f s, requests sent late by the tool (ms): p50 %.1f, p99 %.1f\n",
		r.Seed, r.DurationSeconds, r.LatenessMS.P50, r.LatenessMS.P99)
	if r.Overloaded() {
		fmt.Fprintln(w, OverloadWarning)
	}
	fmt.Fprintf(w, "violations: %s\n", FormatViolations(r.Violations))
	for i := range r.Windows {
		if err := r.Windows[i].writeTable(w); err != nil {
			return err
		}
	}
	return nil
}

// maxLatenessMS is the lateness in milliseconds with which the tool may send its
// requests. Above it the tool's machine, not the measured system, determines the times.
const maxLatenessMS = 10

// OverloadWarning is printed with results whose times are not reliable.
const OverloadWarning = "WARNING: the tool sent its requests late; the machine is overloaded and the times are not reliable"

// Overloaded reports whether the tool itself sent at least 1 of 100 requests too late.
func (r *Result) Overloaded() bool { return r.LatenessMS.P99 > maxLatenessMS }

// FormatViolations lists the counts above 0, or returns "none".
func FormatViolations(counts map[Violation]int) string {
	var parts []string
	for _, p := range AllViolations {
		if counts[p] > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", p, counts[p]))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

const tableHeader = "group\trequests\ton time\tfirst p50\tp95\tgap p50\tp95\tp99\tstall p95\tstall sum s\ttokens/s\ton-time tokens/s\tattempts\t"

func (r *WindowResult) writeTable(w io.Writer) error {
	fmt.Fprintf(w, "\nwindow %q, %.1f s; times in ms\n", r.Name, r.Seconds)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, tableHeader)
	for _, section := range []struct {
		prefix string
		groups []Group
	}{{"", []Group{r.Total}}, {"class ", r.Classes}, {"workspace ", r.Workspaces}, {"group ", r.Groups}, {"stream ", r.Streams}} {
		for _, g := range section.groups {
			fmt.Fprintln(t, section.prefix+g.row())
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, g := range r.Classes {
		fmt.Fprintf(w, "outcomes of %s: %s\n", g.Name, FormatOutcomes(g.Outcomes))
	}
	return nil
}

func (g *Group) row() string {
	return fmt.Sprintf("%s\t%d\t%.1f%%\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\t%.0f\t%d\t",
		g.Name, g.Requests, 100*g.OnTimeShare, g.FirstTokenMS.P50, g.FirstTokenMS.P95,
		g.GapMS.P50, g.GapMS.P95, g.GapMS.P99, g.StallMS.P95, g.StallSeconds,
		g.TokensPerSecond, g.OnTimeTokensPerSecond, g.Attempts)
}

// FormatOutcomes lists the counts, sorted by their keys, which contain code and
// execution.
func FormatOutcomes(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
