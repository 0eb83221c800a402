package experiment

import (
	"context"
	"fmt"
	"slices"
	"time"

	"persimmonwing/internal/process/fleet"
	"persimmonwing/internal/process/loadgen"
)

// Names of the time windows of a run. Every experiment has windowMeasured.
const (
	windowMeasured = "measured"
	windowBefore   = "before"
	windowAfter    = "after"
)

// event is an action on the fleet at a given time after the start of a run.
type event struct {
	at time.Duration
	do func(ctx context.Context, r *trial)
}

// experiment is one named experiment, built for a fleet of a given size.
type experiment struct {
	plan     *plan
	workload *loadgen.Workload
	duration time.Duration
	windows  []loadgen.Window
	events   []event
	// evaluate adds the goals of the design page and the metrics that are specific
	// to this experiment.
	evaluate func(r *trial, baseline *trial)
}

// measuredWindow returns the window that policies are compared in.
func (e *experiment) measuredWindow() loadgen.Window {
	i := slices.IndexFunc(e.windows, func(w loadgen.Window) bool { return w.Name == windowMeasured })
	return e.windows[i]
}

// Definition is the name of an experiment, its summary for lists and help texts,
// and the function that builds it.
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

// Find returns the definition with this name, or an error that lists all names.
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

// Times of an experiment. The load starts in its steady state, so the warm-up is
// needed only until estimates and caches have settled.
const (
	warmUp            = 8 * time.Second
	referenceDuration = 5 * time.Second
	incidentStart     = warmUp + referenceDuration
	runDuration       = 28 * time.Second
	// settlingTime is the time after an incident that is excluded from the
	// measured window.
	settlingTime = 2 * time.Second
)

// newExperiment returns an experiment without events. Its only window is the whole
// time after the warm-up.
func newExperiment(p *plan, w *loadgen.Workload) *experiment {
	return &experiment{
		plan:     p,
		workload: w,
		duration: runDuration,
		windows:  []loadgen.Window{{Name: windowMeasured, From: warmUp, To: runDuration}},
		evaluate: func(*trial, *trial) {},
	}
}

// withIncident sets the measured window to begin the given time after the incident,
// and adds the time between warm-up and incident as windowBefore.
func (e *experiment) withIncident(after time.Duration) *experiment {
	e.windows = []loadgen.Window{
		{Name: windowMeasured, From: incidentStart + after, To: runDuration},
		{Name: windowBefore, From: warmUp, To: incidentStart},
	}
	return e
}
