package experiment

import (
	"fmt"

	"persimmonwing/internal/process/fleet"
	"persimmonwing/internal/process/loadgen"
	"persimmonwing/internal/version/catalogue"
)

// Metric is one measured value.
type Metric struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Goal is a goal of the design page beside the measured value.
type Goal struct {
	Name string `json:"name"`
	// Want is the bound as text, such as "at most 26 ms".
	Want  string  `json:"want"`
	Value float64 `json:"value"`
	Met   bool    `json:"met"`
}

func (t *trial) metric(name, unit string, value float64) {
	t.metrics = append(t.metrics, Metric{Name: name, Unit: unit, Value: value})
}

func (t *trial) atMost(name string, value, bound float64, unit string) {
	t.goals = append(t.goals, Goal{Name: name, Want: fmt.Sprintf("at most %.4g%s", bound, unit), Value: value, Met: value <= bound})
}

func (t *trial) atLeast(name string, value, bound float64, unit string) {
	t.goals = append(t.goals, Goal{Name: name, Want: fmt.Sprintf("at least %.4g%s", bound, unit), Value: value, Met: value >= bound})
}

// judge computes the metrics of a trial and its goals.
func (t *trial) judge(baseline *trial) {
	t.engineMetrics()
	w := t.window(windowMeasured)
	t.gapMetrics("all", w.Total)
	for _, c := range []catalogue.Class{catalogue.Urgent, catalogue.Background} {
		if g := w.Class(c); g.Requests+g.Tokens > 0 {
			t.classMetrics(string(c), g)
		}
	}
	for _, g := range w.Groups {
		t.firstTokenMetrics("workspaces "+g.Name, g)
	}
	for _, g := range w.Classes {
		if g.Tokens == 0 && g.Requests > 0 {
			t.firstTokenMetrics(g.Name, g)
		}
	}
	t.otherWindows()
	t.callerMetrics(w)
	t.exp.judge(t, baseline)
	t.atMost("violations", float64(t.violationCount()), 0, "")
}

// window returns the result of a window, which every trial of the experiment has.
func (t *trial) window(name string) *loadgen.WindowResult { return t.result.Window(name) }

func (t *trial) engineMetrics() {
	t.metric("stall time of all generations", "s", t.window(windowMeasured).Total.StallSeconds)
	t.metric("preemptions per 1000 generations", "", t.preemptionsPerThousand())
	t.metric("decode slots in use", "%", 100*fleet.Utilisation(t.from, t.to))
	t.metric("engine runs per generation", "", t.runsPerGeneration())
}

func (t *trial) preemptionsPerThousand() float64 {
	return 1000 * divide(float64(t.to.Preempted-t.from.Preempted), float64(t.to.Accepted-t.from.Accepted))
}

// runsPerGeneration is the number of runs at engines of each generation that
// ran at all, over the whole trial.
func (t *trial) runsPerGeneration() float64 {
	return divide(float64(t.last.Accepted), t.marks[markDistinct])
}

func (t *trial) gapMetrics(name string, g loadgen.Group) {
	t.metric(name+": token gap p50", "ms", g.GapMS.P50)
	t.metric(name+": token gap p95", "ms", g.GapMS.P95)
	t.metric(name+": token gap p99", "ms", g.GapMS.P99)
	t.metric(name+": stall time p95 per generation", "ms", g.StallMS.P95)
}

func (t *trial) classMetrics(name string, g loadgen.Group) {
	t.firstTokenMetrics(name, g)
	t.gapMetrics(name, g)
	t.metric(name+": stall time", "s", g.StallSeconds)
	t.metric(name+": tokens", "/s", g.TokensPerSecond)
	t.metric(name+": tokens on time", "/s", g.OnTimePerSecond)
}

// otherWindows adds the values that the measured window is compared with.
func (t *trial) otherWindows() {
	for i := range t.result.Windows {
		w := &t.result.Windows[i]
		if w.Name == windowMeasured {
			continue
		}
		for _, c := range []catalogue.Class{catalogue.Urgent, catalogue.Background} {
			g := w.Class(c)
			if g.Requests+g.Tokens == 0 {
				continue
			}
			name := w.Name + ", " + string(c)
			t.firstTokenMetrics(name, g)
			t.metric(name+": tokens", "/s", g.TokensPerSecond)
		}
	}
}

func (t *trial) firstTokenMetrics(name string, g loadgen.Group) {
	t.metric(name+": first token p50", "ms", g.FirstTokenMS.P50)
	t.metric(name+": first token p95", "ms", g.FirstTokenMS.P95)
	t.metric(name+": on time", "%", 100*g.OnTimeShare)
}

func (t *trial) callerMetrics(w *loadgen.WindowResult) {
	t.metric("tokens", "/s", w.Total.TokensPerSecond)
	t.metric("refused as not run", "", float64(w.Total.Refused()))
	t.metric("unknown whether run", "", float64(w.Total.Unknown()))
	t.metric("streams resumed", "", float64(w.Total.Resumed))
	t.metric("violations", "", float64(t.violationCount()))
	t.metric("sent late by the tool p99", "ms", t.result.LatenessMS.P99)
}

func (t *trial) violationCount() int {
	sum := 0
	for _, n := range t.violations {
		sum += n
	}
	return sum
}

// divide is 0 when there is nothing to divide by.
func divide(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
