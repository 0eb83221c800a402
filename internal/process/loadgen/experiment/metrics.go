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

// Goal is a goal of the design page together with the measured value.
type Goal struct {
	Name string `json:"name"`
	// Want is the bound as text, such as "at most 26 ms".
	Want  string  `json:"want"`
	Value float64 `json:"value"`
	Met   bool    `json:"met"`
}

func (t *trial) addMetric(name, unit string, value float64) {
	t.metrics = append(t.metrics, Metric{Name: name, Unit: unit, Value: value})
}

func (t *trial) atMost(name string, value, bound float64, unit string) {
	t.goals = append(t.goals, Goal{Name: name, Want: fmt.Sprintf("at most %.4g%s", bound, unit), Value: value, Met: value <= bound})
}

func (t *trial) atLeast(name string, value, bound float64, unit string) {
	t.goals = append(t.goals, Goal{Name: name, Want: fmt.Sprintf("at least %.4g%s", bound, unit), Value: value, Met: value >= bound})
}

// evaluate computes the metrics and goals of a trial. The baseline is the trial of
// the first policy.
func (t *trial) evaluate(baseline *trial) {
	t.addEngineMetrics()
	w := t.window(windowMeasured)
	t.addGapMetrics("all", w.Total)
	for _, c := range []catalogue.Class{catalogue.Urgent, catalogue.Background} {
		if g := w.Class(c); g.Requests+g.Tokens > 0 {
			t.addClassMetrics(string(c), g)
		}
	}
	for _, g := range w.Groups {
		t.addFirstTokenMetrics("workspaces "+g.Name, g)
	}
	for _, g := range w.Classes {
		if g.Tokens == 0 && g.Requests > 0 {
			t.addFirstTokenMetrics(g.Name, g)
		}
	}
	t.addReferenceMetrics()
	t.addCallerMetrics(w)
	t.exp.evaluate(t, baseline)
	t.atMost("violations", float64(t.violationCount()), 0, "")
}

// window returns the result of a window of the experiment.
func (t *trial) window(name string) *loadgen.WindowResult { return t.result.Window(name) }

func (t *trial) addEngineMetrics() {
	t.addMetric("stall time of all generations", "s", t.window(windowMeasured).Total.StallSeconds)
	t.addMetric("preemptions per 1000 generations", "", t.preemptionsPerThousand())
	t.addMetric("decode slots in use", "%", 100*fleet.Utilisation(t.startCounters, t.endCounters))
	t.addMetric("engine runs per generation", "", t.runsPerGeneration())
}

func (t *trial) preemptionsPerThousand() float64 {
	return 1000 * ratio(float64(t.endCounters.Preempted-t.startCounters.Preempted), float64(t.endCounters.Accepted-t.startCounters.Accepted))
}

// runsPerGeneration returns the mean number of runs at engines for each generation
// that ran at least once, over the whole trial.
func (t *trial) runsPerGeneration() float64 {
	return ratio(float64(t.finalCounters.Accepted), t.recorded[valueGenerationsRun])
}

func (t *trial) addGapMetrics(name string, g loadgen.Group) {
	t.addMetric(name+": token gap p50", "ms", g.GapMS.P50)
	t.addMetric(name+": token gap p95", "ms", g.GapMS.P95)
	t.addMetric(name+": token gap p99", "ms", g.GapMS.P99)
	t.addMetric(name+": stall time p95 per generation", "ms", g.StallMS.P95)
}

func (t *trial) addClassMetrics(name string, g loadgen.Group) {
	t.addFirstTokenMetrics(name, g)
	t.addGapMetrics(name, g)
	t.addMetric(name+": stall time", "s", g.StallSeconds)
	t.addMetric(name+": tokens", "/s", g.TokensPerSecond)
	t.addMetric(name+": tokens on time", "/s", g.OnTimeTokensPerSecond)
}

// addReferenceMetrics adds the metrics of all windows other than the measured window,
// for comparison with the metrics of the measured window.
func (t *trial) addReferenceMetrics() {
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
			t.addFirstTokenMetrics(name, g)
			t.addMetric(name+": tokens", "/s", g.TokensPerSecond)
		}
	}
}

func (t *trial) addFirstTokenMetrics(name string, g loadgen.Group) {
	t.addMetric(name+": first token p50", "ms", g.FirstTokenMS.P50)
	t.addMetric(name+": first token p95", "ms", g.FirstTokenMS.P95)
	t.addMetric(name+": on time", "%", 100*g.OnTimeShare)
	t.addMetric(name+": refused", "%", 100*ratio(float64(g.Refused()), float64(g.Requests)))
}

func (t *trial) addCallerMetrics(w *loadgen.WindowResult) {
	t.addMetric("tokens", "/s", w.Total.TokensPerSecond)
	t.addMetric("refused as not run", "", float64(w.Total.Refused()))
	t.addMetric("unknown whether run", "", float64(w.Total.Unknown()))
	t.addMetric("streams resumed", "", float64(w.Total.Resumed))
	t.addMetric("violations", "", float64(t.violationCount()))
	t.addMetric("sent late by the tool p99", "ms", t.result.LatenessMS.P99)
}

func (t *trial) violationCount() int {
	sum := 0
	for _, n := range t.violations {
		sum += n
	}
	return sum
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
