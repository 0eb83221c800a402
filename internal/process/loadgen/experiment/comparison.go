package experiment

import (
	"fmt"
	"io"
	"path/filepath"
	"text/tabwriter"

	"persimmonwing/internal/process/loadgen"
)

// Comparison holds the results of an experiment for each policy. The first policy
// is the baseline for ratios.
type Comparison struct {
	Experiment string   `json:"experiment"`
	Summary    string   `json:"summary"`
	Seed       uint64   `json:"seed"`
	Scale      string   `json:"scale"`
	Policies   []Policy `json:"policies"`
}

// Policy is the result of one policy.
type Policy struct {
	Name       string                    `json:"name"`
	Metrics    []Metric                  `json:"metrics"`
	Goals      []Goal                    `json:"goals"`
	Violations map[loadgen.Violation]int `json:"violations"`
	Result     *loadgen.Result           `json:"result"`
}

func (c *Comparison) add(t *trial) {
	c.Policies = append(c.Policies, Policy{
		Name:       t.policy,
		Metrics:    t.metrics,
		Goals:      t.goals,
		Violations: t.violations,
		Result:     t.result,
	})
}

// value returns the policy's value of a metric and whether the policy has it.
func (p *Policy) value(name string) (float64, bool) {
	for _, m := range p.Metrics {
		if m.Name == name {
			return m.Value, true
		}
	}
	return 0, false
}

// WriteTable writes the metrics of all policies side by side, with their ratios to
// the baseline, and then the goals of each policy.
func (c *Comparison) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "experiment %s (%s), scale %s, seed %d\n\n", c.Experiment, c.Summary, c.Scale, c.Seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "measure\t")
	for i, p := range c.Policies {
		fmt.Fprintf(t, "%s\t", p.Name)
		if i > 0 {
			fmt.Fprintf(t, "ratio\t")
		}
	}
	fmt.Fprintln(t)
	for _, m := range c.Policies[0].Metrics {
		c.writeRow(t, m)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, p := range c.Policies {
		if err := p.writeGoals(w); err != nil {
			return err
		}
	}
	return nil
}

func (c *Comparison) writeRow(w io.Writer, m Metric) {
	name := m.Name
	if m.Unit != "" {
		name += " (" + m.Unit + ")"
	}
	fmt.Fprintf(w, "%s\t", name)
	for i, p := range c.Policies {
		v, ok := p.value(m.Name)
		if !ok {
			fmt.Fprint(w, "-\t")
		} else {
			fmt.Fprintf(w, "%.6g\t", v)
		}
		if i == 0 {
			continue
		}
		if m.Value == 0 || !ok {
			fmt.Fprint(w, "-\t")
			continue
		}
		fmt.Fprintf(w, "%.3f\t", v/m.Value)
	}
	fmt.Fprintln(w)
}

func (p *Policy) writeGoals(w io.Writer) error {
	fmt.Fprintf(w, "\ngoals, policy %s (violations: %s)\n", p.Name, loadgen.FormatViolations(p.Violations))
	if p.Result.Overloaded() {
		fmt.Fprintln(w, loadgen.OverloadWarning)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, g := range p.Goals {
		verdict := "met"
		if !g.Met {
			verdict = "MISSED"
		}
		fmt.Fprintf(t, "  %s\t%.5g\t%s\t%s\n", g.Name, g.Value, g.Want, verdict)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, g := range p.Result.Window(windowMeasured).Classes {
		fmt.Fprintf(w, "  outcomes of %s: %s\n", g.Name, loadgen.FormatOutcomes(g.Outcomes))
	}
	return nil
}

// WritePlots writes the distributions of the measured window of all policies
// as SVG files into dir.
func (c *Comparison) WritePlots(dir string) error {
	dir = filepath.Join(dir, c.Experiment)
	var first, gaps []loadgen.Curve
	for _, p := range c.Policies {
		w := p.Result.Window(windowMeasured)
		for i := range w.Classes {
			g := &w.Classes[i]
			first = append(first, g.FirstTokenCurve(p.Name+" "+g.Name))
			gaps = append(gaps, g.GapCurve(p.Name+" "+g.Name))
		}
	}
	if err := loadgen.WriteCDF(dir, "first_token.svg", "First token, "+c.Experiment, first); err != nil {
		return err
	}
	return loadgen.WriteCDF(dir, "token_gap.svg", "Gap between tokens, "+c.Experiment, gaps)
}
