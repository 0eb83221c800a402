package experiment

import (
	"context"
	"fmt"
	"slices"
	"time"

	"persimmonwing/internal/process/fleet"
	"persimmonwing/internal/process/loadgen"
)

// Names of the windows. Every experiment has windowMeasured.
const (
	windowMeasured = "measured"
	windowBefore   = "before"
	windowAfter    = "after"
)

// event is something that happens to the fleet during a run.
type event struct {
	at time.Duration
	do func(ctx context.Context, r *trial)
}

// experiment is one named experiment, ready to run on a scale.
type experiment struct {
	plan     *plan
	workload *loadgen.Workload
	duration time.Duration
	windows  []loadgen.Window
	events   []event
	// judge adds the goals of the design page and measures of its own.
	judge func(r *trial, baseline *trial)
}

// measured is the window for comparisons.
func (e *experiment) measured() loadgen.Window {
	i := slices.IndexFunc(e.windows, func(w loadgen.Window) bool { return w.Name == windowMeasured })
	return e.windows[i]
}

// Definition describes an experiment in lists and help texts.
type Definition struct {
	Name    string
	Summary string
	build   func(o fleet.Options) *experiment
}

// Definitions lists all experiments.
func Definitions() []Definition {
	return []Definition{
		{"steady", "90% of the fleet's token capacity", steady},
		{"flood-background", "a flood of background work of 4 times the capacity", floodBackground},
		{"flood-urgent", "a flood of urgent work of 2 times the capacity", floodUrgent},
		{"large-workspaces", "two workspaces ask 20 times their share", largeWorkspaces},
		{"memory-full", "small KV pools and long outputs", memoryFull},
		{"engine-loss", "3 of 14 engines are killed at once", engineLoss},
		{"leaving", "a host is marked as leaving", leaving},
		{"crash-request", "a request that crashes engines is sent again and again", crashRequest},
		{"platform-outage", "the platform fails for 10 s", platformOutage},
	}
}

// Find returns the definition with this name.
func Find(name string) (Definition, error) {
	var names []string
	for _, d := range Definitions() {
		if d.Name == name {
			return d, nil
		}
		names = append(names, d.Name)
	}
	return Definition{}, fmt.Errorf("experiment: %q is not allowed; use one of %q", name, names)
}

// Times of an experiment. The load starts in its steady state, so that the
// warm-up is only needed for estimates and caches.
const (
	warmUp    = 8 * time.Second
	reference = 5 * time.Second
	incident  = warmUp + reference
	runLength = 28 * time.Second
	// settling is the time after an incident that is not measured.
	settling = 2 * time.Second
)

// newExperiment has one window after the warm-up.
func newExperiment(p *plan, w *loadgen.Workload) *experiment {
	return &experiment{
		plan:     p,
		workload: w,
		duration: runLength,
		windows:  []loadgen.Window{{Name: windowMeasured, From: warmUp, To: runLength}},
		judge:    func(*trial, *trial) {},
	}
}

// withIncident measures from some time after the incident and keeps the time
// before it as the reference.
func (e *experiment) withIncident(after time.Duration) *experiment {
	e.windows = []loadgen.Window{
		{Name: windowMeasured, From: incident + after, To: runLength},
		{Name: windowBefore, From: warmUp, To: incident},
	}
	return e
}
