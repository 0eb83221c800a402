// Package faults generates the random schedule of a fault-injection run with real
// processes and audits the files that the run wrote. It doesn't start, stop or
// signal processes itself: scripts/faults.sh carries out the schedule.
package faults

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Action is the kind of a step that scripts/faults.sh carries out.
type Action string

// The actions. A fault that lasts has a second action that ends it.
const (
	// Kill sends SIGKILL; Start starts the process again.
	Kill  Action = "kill"
	Start Action = "start"
	// Stop sends SIGSTOP; Continue sends SIGCONT.
	Stop     Action = "stop"
	Continue Action = "continue"
	// Term sends SIGTERM; the script restarts the process after it has exited.
	Term Action = "term"
	// Put sends the value as the body of PUT /control/faults. Clear removes all
	// faults of the target.
	Put   Action = "put"
	Clear Action = "clear"
	// Leave marks a backend server as leaving in the host list, and Return marks it
	// as live.
	Leave  Action = "leave"
	Return Action = "return"
	// Settled comes LeaveBound (3 s) after Leave; the script then reads the run
	// counters.
	Settled Action = "settled"
	// Edit creates a new catalogue revision, Race makes two concurrent edits based on
	// the same revision, and EditOutage starts a platform outage right after an edit.
	Edit       Action = "edit"
	Race       Action = "race"
	EditOutage Action = "edit_outage"
	// Crash repeatedly sends a request that crashes engines to all gateways except
	// the one named by the value; CrashAgain sends the same request to that gateway.
	Crash      Action = "crash"
	CrashAgain Action = "crash_again"
	// Cut begins a partition: it sends the value, an encoded partition.Cut, to the
	// forwarder between the processes. Heal ends the partition.
	Cut  Action = "cut"
	Heal Action = "heal"
	// StopHolder sends SIGSTOP to the controller that holds the lease, and
	// ContinueHolder sends it SIGCONT.
	StopHolder     Action = "stop_holder"
	ContinueHolder Action = "continue_holder"
)

// RunDuration is the length of a run. All faults begin and end within it.
const RunDuration = 75 * time.Second

// LeaveBound is the time after which a leaving server receives no new work (P5).
const LeaveBound = 3 * time.Second

// Step is one step of a schedule. At is relative to the start of the run.
type Step struct {
	At     time.Duration
	Action Action
	Target string
	// Value is the argument of the action, without spaces, or empty.
	Value string
}

// WriteSteps writes each step to w as a line "milliseconds action target value". An
// empty value is written as "-".
func WriteSteps(w io.Writer, steps []Step) error {
	for _, s := range steps {
		value := s.Value
		if value == "" {
			value = "-"
		}
		if _, err := fmt.Fprintln(w, s.At.Milliseconds(), s.Action, s.Target, value); err != nil {
			return err
		}
	}
	return nil
}

// Fleet holds the number of processes of each kind. The processes have the names
// that scripts/fleet.sh gives them.
type Fleet struct {
	Gateways, Engines int
	// Gateways and controllers are distributed round-robin over the data centres.
	DataCentres, Controllers int
}

// The minimum numbers of processes of a schedule. With fewer processes, one could have
// two faults at once, or a terminated gateway could have another fault.
const (
	minGateways = 7
	minEngines  = 13
	// A partition separates one or two data centres from the others.
	minDataCentres = 3
	// controllersPerCentre leaves a controller that can take over the lease of a
	// frozen holder.
	controllersPerCentre = 2
)

// plan is a schedule that is being generated.
type plan struct {
	random *rand.Rand
	fleet  Fleet
	steps  []Step
}

// Schedule generates the random steps of a run, in order of time. The same seed and
// fleet give the same schedule. A fleet that is too small gives an error.
func Schedule(seed uint64, f Fleet) ([]Step, error) {
	if f.Gateways < minGateways || f.Engines < minEngines {
		return nil, fmt.Errorf("fleet: %d gateways and %d engines are not enough; use %d and %d or more", f.Gateways, f.Engines, minGateways, minEngines)
	}
	if f.DataCentres < minDataCentres || f.Controllers < controllersPerCentre*f.DataCentres {
		return nil, fmt.Errorf("fleet: use %d or more data centres and %d or more controllers in each", minDataCentres, controllersPerCentre)
	}
	p := &plan{random: rand.New(rand.NewPCG(seed, 0)), fleet: f}
	leaving := p.names("engine", f.Engines)
	gateways := p.names("gateway", f.Gateways)
	undisturbed := slices.Clone(gateways[faultyGateways:])
	p.gateways(gateways)
	p.engines(leaving[1:])
	p.platform(leaving[0], undisturbed[0])
	p.apps()
	p.controller()
	p.addCuts(undisturbed[1:])
	slices.SortStableFunc(p.steps, func(a, b Step) int { return int(a.At - b.At) })
	return p.steps, nil
}

// names returns the names of all processes of a kind in random order.
func (p *plan) names(kind string, n int) []string {
	list := make([]string, n)
	for i, k := range p.random.Perm(n) {
		list[i] = fmt.Sprintf("%s-%d", kind, k+1)
	}
	return list
}

func (p *plan) add(at time.Duration, a Action, target, value string) {
	p.steps = append(p.steps, Step{At: at, Action: a, Target: target, Value: value})
}

// randomDuration draws a duration between shortest and longest, in whole
// milliseconds.
func (p *plan) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(p.random.Int64N(int64(longest-shortest)/int64(time.Millisecond)+1))*time.Millisecond
}

// addPair adds an action that begins a fault and the one that ends it, both at
// random times within the run.
func (p *plan) addPair(begin, end Action, target, value string, shortest, longest time.Duration) {
	duration := p.randomDuration(shortest, longest)
	at := p.randomDuration(time.Second, RunDuration-duration)
	p.add(at, begin, target, value)
	p.add(at+duration, end, target, "")
}

const (
	minDown   = 2 * time.Second
	maxDown   = 6 * time.Second
	minFreeze = 2 * time.Second
	maxFreeze = 12 * time.Second
)

// faultyGateways is the number of gateways that are killed or frozen. The other
// gateways are only restarted or separated by partitions.
const faultyGateways = 4

// gateways adds the faults of gateways. It kills two and freezes two in one half of
// the run, and restarts all gateways one after the other with SIGTERM in the other
// half. A terminated gateway has no other fault, since P6 holds only for a shutdown
// that is not itself interrupted.
func (p *plan) gateways(names []string) {
	const half = RunDuration / 2
	faults, restarts := time.Second, half+time.Second
	if p.random.IntN(2) == 0 {
		// The restarted gateways need a few seconds to finish their requests.
		faults, restarts = half+10*time.Second, time.Second
	}
	for i, name := range names[:faultyGateways] {
		begin, end, shortest, longest := Kill, Start, minDown, maxDown
		if i >= 2 {
			begin, end, shortest, longest = Stop, Continue, minFreeze, maxFreeze
		}
		duration := p.randomDuration(shortest, longest)
		at := faults + p.randomDuration(0, half-11*time.Second-duration)
		p.add(at, begin, name, "")
		p.add(at+duration, end, name, "")
	}
	p.random.Shuffle(len(names), func(i, k int) { names[i], names[k] = names[k], names[i] })
	at := restarts
	for _, name := range names {
		at += p.randomDuration(2*time.Second, half/time.Duration(len(names)))
		p.add(at, Term, name, "")
	}
}

// engineFaults are the faults that an engine simulates, as bodies of Put.
var engineFaults = []string{
	`{"cut_streams":true}`,
	`{"stall_streams":true}`,
	`{"duplicate_events":true}`,
	`{"cross_events":true}`,
	`{"error_after_accept":true}`,
	`{"freeze":true}`,
	`{"refuse":true}`,
	`{"hide_reports":true}`,
	`{"drain":true}`,
}

// engines adds the faults of engines. It kills two engines, freezes one and assigns
// each of engineFaults to one of the others.
func (p *plan) engines(names []string) {
	p.addPair(Kill, Start, names[0], "", minDown, maxDown)
	p.addPair(Kill, Start, names[1], "", minDown, maxDown)
	p.addPair(Stop, Continue, names[2], "", minFreeze, maxFreeze)
	for i, f := range engineFaults {
		p.addPair(Put, Clear, names[3+i], f, 3*time.Second, maxFreeze)
	}
}

// block adds steps that belong together, beginning at the given time, and returns
// the time that they take.
type block func(at time.Duration) time.Duration

// addSequence adds blocks in random order, with random gaps between them. The blocks
// don't overlap, and all of them end within the run.
func (p *plan) addSequence(blocks []block) {
	p.random.Shuffle(len(blocks), func(i, k int) { blocks[i], blocks[k] = blocks[k], blocks[i] })
	// The random lengths are known only after each block has been generated, so its
	// steps are generated at time 0 and shifted afterwards.
	kept := p.steps
	var parts [][]Step
	var lengths []time.Duration
	free := RunDuration - time.Second
	for _, b := range blocks {
		p.steps = nil
		n := b(0)
		parts = append(parts, p.steps)
		lengths = append(lengths, n)
		free -= n
	}
	p.steps = kept
	at := time.Second
	for i, part := range parts {
		gap := p.randomDuration(0, max(0, free)/time.Duration(len(parts)))
		at += gap
		for _, s := range part {
			s.At += at
			p.steps = append(p.steps, s)
		}
		at += lengths[i]
	}
}

// crashDuration is the time in which a request that crashes engines is resent, and
// reportDelay the time after the end of a partition in which the separated gateway
// receives the crash reports of the others.
const (
	crashDuration = 7 * time.Second
	reportDelay   = 2 * time.Second
)

// platform adds the following groups of steps, which don't overlap with each other:
//   - the faults of the platform;
//   - the catalogue edits, one of them while a partition isolates a data centre;
//   - a request that crashes engines while a partition separates the given gateway
//     from the others;
//   - the given engine and an application server leaving and returning. Gateways
//     cannot learn of a leaving server while the host list doesn't answer, so these
//     steps must not overlap with the platform's faults.
func (p *plan) platform(engine, gateway string) {
	fault := func(value string, shortest, longest time.Duration) block {
		return func(at time.Duration) time.Duration {
			n := p.randomDuration(shortest, longest)
			p.add(at, Put, "platform", value)
			p.add(at+n, Clear, "platform", "")
			return n + time.Second
		}
	}
	p.addSequence([]block{
		fault(`{"outage":true}`, 5*time.Second, 12*time.Second),
		func(at time.Duration) time.Duration {
			p.add(at, Put, "platform", `{"lose_answers":3}`)
			p.add(at, Edit, "catalogue", "")
			p.add(at+2*time.Second, Clear, "platform", "")
			return 3 * time.Second
		},
		fault(`{"delay_ms":300}`, 2*time.Second, 5*time.Second),
		fault(`{"host_list_frozen":true}`, 2*time.Second, 4*time.Second),
		func(at time.Duration) time.Duration {
			n := p.randomDuration(4*time.Second, 6*time.Second)
			kind := p.randomKind()
			target := cutIsland + "-" + string(kind)
			p.add(at, Cut, target, p.isolateDataCentre(kind))
			p.add(at+time.Second, Edit, "catalogue", "")
			p.add(at+n, Heal, target, "")
			return n + time.Second
		},
		func(at time.Duration) time.Duration {
			p.add(at, Race, "catalogue", "")
			return 2 * time.Second
		},
		func(at time.Duration) time.Duration {
			n := p.randomDuration(5*time.Second, 6*time.Second)
			p.add(at, EditOutage, "platform", `{"outage":true}`)
			p.add(at+n, Clear, "platform", "")
			return n + time.Second
		},
		// A crashing engine loses its run counters, which the check of P5 needs, so
		// these steps must not overlap with those of the leaving servers either.
		func(at time.Duration) time.Duration {
			kind := p.randomKind()
			target := cutCrash + "-" + string(kind)
			p.add(at, Cut, target, p.isolateGateway(kind, gateway))
			p.add(at+time.Second, Crash, "request", gateway)
			p.add(at+time.Second+crashDuration, Heal, target, "")
			p.add(at+time.Second+crashDuration+reportDelay, CrashAgain, "request", gateway)
			return 2*crashDuration - 2*time.Second
		},
		func(at time.Duration) time.Duration {
			n := LeaveBound + p.randomDuration(4*time.Second, 6*time.Second)
			for _, name := range []string{engine, leavingApp} {
				p.add(at, Leave, name, "")
				p.add(at+LeaveBound, Settled, name, "")
				p.add(at+n, Return, name, "")
			}
			return n + time.Second
		},
	})
}

// The names of application servers that scripts/fleet.sh starts. leavingApp and
// bookingApp serve bookings; rosterApp and recordsApp are named after their service.
const (
	leavingApp = "app-1"
	rosterApp  = "app-2"
	recordsApp = "app-3"
	bookingApp = "app-4"
)

// apps adds a sequence of faults for one bookings server, bookingApp, and for each of
// the two lookup servers, rosterApp and recordsApp. The other bookings server,
// leavingApp, leaves instead.
func (p *plan) apps() {
	for _, name := range []string{bookingApp, rosterApp, recordsApp} {
		var blocks []block
		for _, value := range []string{`{"reset_after":4}`, `{"reset_before":4}`, `{"error_with_body":4}`, `{"error_without_body":4}`, `{"freeze":true}`} {
			blocks = append(blocks, func(at time.Duration) time.Duration {
				n := p.randomDuration(2*time.Second, 6*time.Second)
				p.add(at, Put, name, value)
				p.add(at+n, Clear, name, "")
				return n + 500*time.Millisecond
			})
		}
		p.addSequence(blocks)
	}
}

// controller freezes the lease holder until another controller has taken over,
// which takes the lease duration of 10 s and 3 s for an order in flight. The lease
// cannot be acquired during a platform outage, so a time without an outage is
// preferred.
func (p *plan) controller() {
	var at, duration time.Duration
	for range maxPlacementAttempts {
		duration = p.randomDuration(16*time.Second, 20*time.Second)
		at = p.randomDuration(time.Second, RunDuration-duration)
		if !p.outageBetween(at, at+duration) {
			break
		}
	}
	p.add(at, StopHolder, "controller", "")
	p.add(at+duration, ContinueHolder, "controller", "")
}

// maxPlacementAttempts is the maximum number of attempts to draw a time without an
// outage.
const maxPlacementAttempts = 200

// outageBetween reports whether a platform outage overlaps with the interval.
func (p *plan) outageBetween(from, to time.Duration) bool {
	out, since := false, time.Duration(0)
	for _, s := range p.steps {
		switch {
		case s.Target != "platform":
		case strings.Contains(s.Value, "outage"):
			out, since = true, s.At
		case s.Action == Clear:
			if out && since < to && s.At > from {
				return true
			}
			out = false
		}
	}
	return false
}
