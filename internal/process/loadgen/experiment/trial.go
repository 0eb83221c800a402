package experiment

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/process/fleet"
	"persimmonwing/internal/process/loadgen"
)

// trial is one run of an experiment with one policy.
type trial struct {
	policy string
	exp    *experiment
	fleet  *fleet.Fleet
	result *loadgen.Result
	// startCounters and endCounters are the engines' counters at the start and end
	// of the measured window, and finalCounters their counters at the end of the run.
	startCounters, endCounters, finalCounters fleet.Counters
	metrics                                   []Metric
	goals                                     []Goal
	violations                                map[loadgen.Violation]int

	mu sync.Mutex
	// recorded holds the values that were recorded for evaluate, by name.
	recorded map[string]float64
}

// record stores a value for evaluate.
func (t *trial) record(name string, v float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recorded[name] = v
}

// Settings of a comparison.
type Settings struct {
	Seed     uint64
	Scale    string
	Policies []string
	// Disable names the mechanisms of the gateways to switch off.
	Disable []string
	// Logger receives the gateways' log; nil discards it.
	Logger log.Logger
	// Progress is called like loadgen.Config.Progress, with the policy's name as an
	// additional argument.
	Progress func(policy string, elapsed, total time.Duration, requests, tokens int)
}

// Names of the fleet sizes.
const (
	ScaleSmall = "small"
	ScaleToday = "today"
)

func (s *Settings) fleetOptions() (fleet.Options, error) {
	switch s.Scale {
	case ScaleSmall:
		return fleet.Small(), nil
	case ScaleToday:
		return fleet.Today(), nil
	}
	return fleet.Options{}, fmt.Errorf("scale: %q is not allowed; use %s or %s", s.Scale, ScaleSmall, ScaleToday)
}

// Run runs the experiment once for each policy, each time with a new fleet. The first
// policy is the baseline.
func (d Definition) Run(ctx context.Context, s Settings) (*Comparison, error) {
	if len(s.Policies) == 0 {
		return nil, fmt.Errorf("policies: has 0 elements; allowed are 1 or more")
	}
	out := &Comparison{Experiment: d.Name, Summary: d.Summary, Seed: s.Seed, Scale: s.Scale}
	var baseline *trial
	for _, policy := range s.Policies {
		t, err := d.runPolicy(ctx, s, policy)
		if err != nil {
			return nil, fmt.Errorf("policy %s: %w", policy, err)
		}
		if baseline == nil {
			baseline = t
		}
		t.evaluate(baseline)
		out.add(t)
	}
	return out, nil
}

func (d Definition) runPolicy(ctx context.Context, s Settings, policy string) (*trial, error) {
	o, err := s.fleetOptions()
	if err != nil {
		return nil, err
	}
	o.Policy, o.Disable, o.Seed, o.Logger = policy, s.Disable, s.Seed, s.Logger
	e := d.build(o)
	body, err := e.plan.catalogue()
	if err != nil {
		return nil, err
	}
	o = e.plan.fleet
	o.Catalogue = body
	f, err := fleet.Start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	t := &trial{policy: policy, exp: e, fleet: f, recorded: map[string]float64{}}
	if err := f.WaitServing(ctx, workspaceKey(0), entryUrgent); err != nil {
		return nil, err
	}
	return t, t.run(ctx, s)
}

// run sends the load. Meanwhile it triggers each event at its time, and reads the
// counters at the start and end of the measured window and at the end of the run.
func (t *trial) run(ctx context.Context, s Settings) error {
	timers, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	at := func(d time.Duration, do func()) {
		wait.Go(func() {
			select {
			case <-time.After(d):
				do()
			case <-timers.Done():
			}
		})
	}
	window := t.exp.measuredWindow()
	at(window.From, func() { t.startCounters = t.fleet.Counters(ctx) })
	at(window.To-counterMargin, func() { t.endCounters = t.fleet.Counters(ctx) })
	for _, e := range t.exp.events {
		at(e.at, func() { e.do(ctx, t) })
	}
	var err error
	t.result, err = loadgen.Run(ctx, t.config(s))
	stop()
	wait.Wait()
	if err != nil {
		return err
	}
	t.finalCounters = t.fleet.Counters(ctx)
	t.violations = maps.Clone(t.result.Violations)
	t.checkRuns(ctx)
	return ctx.Err()
}

// counterMargin is how long before the end of the measured window endCounters are
// read, because the readers of streams disconnect at the end of the run.
const counterMargin = 50 * time.Millisecond

func (t *trial) config(s Settings) loadgen.Config {
	c := loadgen.Config{
		Workload:  t.exp.workload,
		Targets:   t.fleet.Targets(),
		Duration:  t.exp.duration,
		Seed:      s.Seed,
		Windows:   t.exp.windows,
		ResumeFor: loadgen.DefaultResumeFor,
	}
	if s.Progress != nil {
		c.Progress = func(elapsed time.Duration, requests, tokens int) {
			s.Progress(t.policy, elapsed, t.exp.duration, requests, tokens)
		}
	}
	return c
}

// checkRuns compares the answers that callers received with the runs that the
// backend servers counted, and adds violations for contradictions.
func (t *trial) checkRuns(ctx context.Context) {
	generations, calls := t.fleet.Runs(ctx), t.fleet.CallRuns()
	t.record(valueGenerationsRun, float64(len(generations)))
	for _, id := range t.result.NotRunIDs {
		if generations[id]+calls[id] > 0 {
			t.violations[loadgen.RanThoughNotRun]++
		}
	}
	for _, id := range t.result.AtMostOnceIDs {
		if calls[id] > 1 {
			t.violations[loadgen.RanTwice]++
		}
	}
}
