package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"persimmonwing/internal/process/fleet"
	"persimmonwing/internal/process/standin/platform"
)

// Names of the numbers that events note.
const (
	markDistinct  = "generations that ran"
	markAtLimit   = "runs when the limit passed"
	markCrashSent = "attempts"
	markCrashCode = "refused as crashing"
)

// Load of the experiments with one incident that takes no capacity away.
const (
	calmerUrgent     = 0.35
	calmerBackground = 0.25
)

// leaveLimit is the time after which a leaving host receives no new work.
const leaveLimit = 3 * time.Second

func leaving(o fleet.Options) *experiment {
	p := newPlan(o)
	e := newExperiment(p, p.mix(calmerUrgent, calmerBackground)).withIncident(leaveLimit)
	var host string
	e.events = []event{
		{incident, func(ctx context.Context, t *trial) {
			host = t.fleet.EngineName(0)
			if err := t.fleet.MarkLeaving(ctx, host); err != nil {
				t.mark("error", 1)
			}
		}},
		{incident + leaveLimit, func(ctx context.Context, t *trial) {
			t.mark(markAtLimit, float64(t.fleet.Counters(ctx).ByEngine[host].Accepted))
		}},
	}
	e.judge = func(t, _ *trial) {
		late := float64(t.last.ByEngine[host].Accepted) - t.marks[markAtLimit]
		t.metric("runs at the leaving host after 3 s", "", late)
		t.atMost("runs at the leaving host after 3 s", late, 0, "")
		t.atLeast("runs at the leaving host before", t.marks[markAtLimit], 1, "")
	}
	return e
}

// A caller of crash-request sends its request so often, so long apart.
const (
	crashResends = 12
	crashPause   = 500 * time.Millisecond
	// maxCrashed is the number of engines that one request may crash.
	maxCrashed = 2
)

func crashRequest(o fleet.Options) *experiment {
	p := newPlan(o)
	e := newExperiment(p, p.mix(calmerUrgent, calmerBackground)).withIncident(settling)
	e.events = []event{{incident, func(ctx context.Context, t *trial) { t.crashAgainAndAgain(ctx, o.Seed) }}}
	e.judge = func(t, _ *trial) {
		lost := float64(len(t.last.ByEngine) - t.last.Engines)
		t.metric("engines lost", "", lost)
		t.metric("attempts of the crashing request", "", t.marks[markCrashSent])
		t.metric("attempts refused as request_crashes_servers", "", t.marks[markCrashCode])
		t.atMost("engines lost to the crashing request", lost, maxCrashed, "")
		t.atLeast("engines lost to the crashing request", lost, 1, "")
	}
	return e
}

// crashAgainAndAgain is a caller that sends a request that crashes engines at
// random gateways until its patience ends.
func (t *trial) crashAgainAndAgain(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, crashResends))
	targets := t.fleet.Targets()
	refused := 0.0
	for i := range crashResends {
		target := targets[random.IntN(len(targets))]
		failed := t.fleet.Generate(ctx, target, workspaceKey(workspaces-1), entryUrgent, "#id=crashing #tokens=50 #crash ")
		if failed != nil && failed.Code == "request_crashes_servers" {
			refused++
		}
		t.mark(markCrashSent, float64(i+1))
		t.mark(markCrashCode, refused)
		select {
		case <-time.After(crashPause):
		case <-ctx.Done():
			return
		}
	}
}

// outageLength is the time for which the platform fails.
const outageLength = 10 * time.Second

func platformOutage(o fleet.Options) *experiment {
	p := newPlan(o)
	e := newExperiment(p, p.mix(calmerUrgent, calmerBackground)).withIncident(0)
	e.windows[0].To = incident + outageLength
	after := e.windows[1]
	after.Name, after.From, after.To = windowAfter, incident+outageLength+settling, runLength
	e.windows = append(e.windows, after)
	set := func(outage bool) func(context.Context, *trial) {
		return func(_ context.Context, t *trial) { t.fleet.SetPlatformFaults(platform.Faults{Outage: outage}) }
	}
	e.events = []event{{incident, set(true)}, {incident + outageLength, set(false)}}
	e.judge = func(t, _ *trial) {
		for _, w := range t.result.Windows {
			for _, s := range w.Streams {
				if s.Name == "bookings" || s.Name == "stock" {
					t.metric(fmt.Sprintf("%s: %s completed", w.Name, s.Name), "%", 100*divide(float64(s.Completed()), float64(s.Requests)))
				}
			}
		}
	}
	return e
}
