package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"persimmonwing/internal/process/fleet"
	"persimmonwing/internal/process/standin/platform"
)

// Names of the values that a trial records for its evaluation.
const (
	valueGenerationsRun = "generations that ran"
	valueRunsAtLimit    = "runs when the limit passed"
	valueCrashAttempts  = "attempts"
	valueCrashRefusals  = "refused as crashing"
)

// Load of the experiments whose incident leaves the capacity as it is, as fractions
// of the fleet's token capacity.
const (
	moderateUrgent     = 0.35
	moderateBackground = 0.25
)

// leaveLimit is the time after which a leaving host must not receive new work.
const leaveLimit = 3 * time.Second

func leaving(o fleet.Options) *experiment {
	p := newPlan(o)
	e := newExperiment(p, p.mix(moderateUrgent, moderateBackground)).withIncident(leaveLimit)
	var host string
	e.events = []event{
		{incidentStart, func(ctx context.Context, t *trial) {
			host = t.fleet.EngineName(0)
			if err := t.fleet.MarkLeaving(ctx, host); err != nil {
				t.record("error", 1)
			}
		}},
		{incidentStart + leaveLimit, func(ctx context.Context, t *trial) {
			t.record(valueRunsAtLimit, float64(t.fleet.Counters(ctx).ByEngine[host].Accepted))
		}},
	}
	e.evaluate = func(t, _ *trial) {
		late := float64(t.finalCounters.ByEngine[host].Accepted) - t.recorded[valueRunsAtLimit]
		t.addMetric("runs at the leaving host after 3 s", "", late)
		t.atMost("runs at the leaving host after 3 s", late, 0, "")
		t.atLeast("runs at the leaving host before", t.recorded[valueRunsAtLimit], 1, "")
	}
	return e
}

// Number of attempts of the request that crashes engines, and the interval between them.
const (
	crashResends        = 12
	crashResendInterval = 500 * time.Millisecond
	// maxCrashes is the maximum number of engines that one request may crash.
	maxCrashes = 2
)

func crashRequest(o fleet.Options) *experiment {
	p := newPlan(o)
	e := newExperiment(p, p.mix(moderateUrgent, moderateBackground)).withIncident(settlingTime)
	e.events = []event{{incidentStart, func(ctx context.Context, t *trial) { t.resendCrashingRequest(ctx, o.Seed) }}}
	e.evaluate = func(t, _ *trial) {
		lost := float64(len(t.finalCounters.ByEngine) - t.finalCounters.Engines)
		t.addMetric("engines lost", "", lost)
		t.addMetric("attempts of the crashing request", "", t.recorded[valueCrashAttempts])
		t.addMetric("attempts refused as request_crashes_servers", "", t.recorded[valueCrashRefusals])
		t.atMost("engines lost to the crashing request", lost, maxCrashes, "")
		t.atLeast("engines lost to the crashing request", lost, 1, "")
	}
	return e
}

// resendCrashingRequest sends a request that crashes engines to random gateways,
// crashResends times in all.
func (t *trial) resendCrashingRequest(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, crashResends))
	targets := t.fleet.Targets()
	refused := 0.0
	for i := range crashResends {
		target := targets[random.IntN(len(targets))]
		failed := t.fleet.Generate(ctx, target, workspaceKey(workspaces-1), entryUrgent, "#id=crashing #tokens=50 #crash ")
		if failed != nil && failed.Code == "request_crashes_servers" {
			refused++
		}
		t.record(valueCrashAttempts, float64(i+1))
		t.record(valueCrashRefusals, refused)
		select {
		case <-time.After(crashResendInterval):
		case <-ctx.Done():
			return
		}
	}
}

// outageDuration is the length of the platform outage.
const outageDuration = 10 * time.Second

func platformOutage(o fleet.Options) *experiment {
	p := newPlan(o)
	e := newExperiment(p, p.mix(moderateUrgent, moderateBackground)).withIncident(0)
	e.windows[0].To = incidentStart + outageDuration
	after := e.windows[1]
	after.Name, after.From, after.To = windowAfter, incidentStart+outageDuration+settlingTime, runDuration
	e.windows = append(e.windows, after)
	set := func(outage bool) func(context.Context, *trial) {
		return func(_ context.Context, t *trial) { t.fleet.SetPlatformFaults(platform.Faults{Outage: outage}) }
	}
	e.events = []event{{incidentStart, set(true)}, {incidentStart + outageDuration, set(false)}}
	e.evaluate = func(t, _ *trial) {
		for _, w := range t.result.Windows {
			for _, s := range w.Streams {
				if s.Name == "bookings" || s.Name == "stock" {
					t.addMetric(fmt.Sprintf("%s: %s completed", w.Name, s.Name), "%", 100*ratio(float64(s.Completed()), float64(s.Requests)))
				}
			}
		}
	}
	return e
}
