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
	// from and to are the engines' counters at the ends of the measured window,
	// and last those at the end of the run.
	from, to, last fleet.Counters
	metrics        []Metric
	goals          []Goal
	violations     map[loadgen.Violation]int

	mu sync.Mutex
	// marks holds what events noted for the judge.
	marks map[string]float64
}

// mark notes a number for the judge.
func (t *trial) mark(name string, v float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.marks[name] = v
}

// Settings of a comparison.
type Settings struct {
	Seed     uint64
	Scale    string
	Policies []string
	// Disable switches off mechanisms of the gateways.
	Disable []string
	// Logger gets the gateways' log; nil drops it.
	Logger log.Logger
	// Progress is called as in loadgen.Config, with the policy's name.
	Progress func(policy string, elapsed, total time.Duration, requests, tokens int)
}

// Scales of a fleet.
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

// Run runs the experiment once for each policy, each time with a fresh fleet.
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
		t.judge(baseline)
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
	t := &trial{policy: policy, exp: e, fleet: f, marks: map[string]float64{}}
	if err := f.WaitServing(ctx, workspaceKey(0), entryUrgent); err != nil {
		return nil, err
	}
	return t, t.run(ctx, s)
}

// run sends the load, with the events and counters at their times.
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
	window := t.exp.measured()
	at(window.From, func() { t.from = t.fleet.Counters(ctx) })
	at(window.To-counterMargin, func() { t.to = t.fleet.Counters(ctx) })
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
	t.last = t.fleet.Counters(ctx)
	t.violations = maps.Clone(t.result.Violations)
	t.checkRuns(ctx)
	return ctx.Err()
}

// counterMargin takes the last counters before the readers leave.
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

// checkRuns compares what callers were told with the runs that the backend
// servers counted.
func (t *trial) checkRuns(ctx context.Context) {
	generations, calls := t.fleet.Runs(ctx), t.fleet.CallRuns()
	t.mark(markDistinct, float64(len(generations)))
	for _, id := range t.result.NotRun {
		if generations[id]+calls[id] > 0 {
			t.violations[loadgen.RanThoughRefused]++
		}
	}
	for _, id := range t.result.Once {
		if calls[id] > 1 {
			t.violations[loadgen.RanTwice]++
		}
	}
}
