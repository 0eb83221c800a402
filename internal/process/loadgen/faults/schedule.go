// Package faults draws the schedule of a fault run over real processes and
// audits the evidence that the run leaves behind. It starts, stops and signals
// nothing itself: scripts/faults.sh carries out the schedule.
package faults

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Action is what the script does at a step.
type Action string

// The actions. Those that last have a second action that ends them.
const (
	// Kill sends SIGKILL; Start starts the process again.
	Kill  Action = "kill"
	Start Action = "start"
	// Stop sends SIGSTOP; Continue sends SIGCONT.
	Stop     Action = "stop"
	Continue Action = "continue"
	// Term sends SIGTERM; the script starts the process again when it has ended.
	Term Action = "term"
	// Put sends the value as the body of PUT /control/faults. Clear takes all
	// faults of the target back.
	Put   Action = "put"
	Clear Action = "clear"
	// Leave marks a backend server as leaving in the host list, and Return as live.
	Leave  Action = "leave"
	Return Action = "return"
	// Settled comes LeaveBound after Leave; the script then reads the run counters.
	Settled Action = "settled"
	// Edit accepts a new catalogue revision, Race lets two operators edit from the
	// same base, and EditOutage starts a platform outage right after an edit.
	Edit       Action = "edit"
	Race       Action = "race"
	EditOutage Action = "edit_outage"
	// Crash sends a request that crashes engines again and again to all gateways but
	// the one named by the value, and CrashAgain to that one.
	Crash      Action = "crash"
	CrashAgain Action = "crash_again"
	// Cut sends the value, a partition.Cut, to the forwarder, and Heal takes it back.
	Cut  Action = "cut"
	Heal Action = "heal"
	// StopHolder sends SIGSTOP to the controller that holds the lease, and
	// ContinueHolder wakes it.
	StopHolder     Action = "stop_holder"
	ContinueHolder Action = "continue_holder"
)

// Length is the time in which faults begin and end.
const Length = 75 * time.Second

// LeaveBound is the time after which a leaving server gets no new work (P5).
const LeaveBound = 3 * time.Second

// Step is one line of a schedule.
type Step struct {
	At     time.Duration
	Action Action
	Target string
	// Value is the body of Put, without spaces, or empty.
	Value string
}

// WriteSteps prints the steps as "milliseconds action target value".
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

// Fleet is the number of processes of each kind, named as in scripts/fleet.sh.
type Fleet struct {
	Gateways, Engines int
	// Gateways and controllers are dealt out to the data centres in turn.
	DataCentres, Controllers int
}

// The fewest processes that a schedule needs, so that no process has two faults
// at once and a terminated gateway has no other fault.
const (
	minGateways = 7
	minEngines  = 13
	// One or two data centres are cut off from the others.
	minDataCentres = 3
	// controllersPerCentre gives a frozen holder of a lease a successor.
	controllersPerCentre = 2
)

// plan collects the steps of a schedule.
type plan struct {
	random *rand.Rand
	fleet  Fleet
	steps  []Step
}

// Schedule draws the faults of a run. The same seed and fleet give the same
// schedule.
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
	undisturbed := slices.Clone(gateways[disturbedGateways:])
	p.gateways(gateways)
	p.engines(leaving[1:])
	p.platform(leaving[0], undisturbed[0])
	p.apps()
	p.controller()
	p.cuts(undisturbed[1:])
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

// between draws a duration in whole milliseconds.
func (p *plan) between(least, most time.Duration) time.Duration {
	return least + time.Duration(p.random.Int64N(int64(most-least)/int64(time.Millisecond)+1))*time.Millisecond
}

// pair adds an action that lasts and the one that ends it, both in the run.
func (p *plan) pair(begin, end Action, target, value string, least, most time.Duration) {
	lasts := p.between(least, most)
	at := p.between(time.Second, Length-lasts)
	p.add(at, begin, target, value)
	p.add(at+lasts, end, target, "")
}

const (
	leastDown   = 2 * time.Second
	mostDown    = 6 * time.Second
	leastFreeze = 2 * time.Second
	mostFreeze  = 12 * time.Second
)

// disturbedGateways is the number of gateways that are killed or frozen.
const disturbedGateways = 4

// gateways kills two and freezes two in one half of the run, and restarts all of
// them one after the other in the other half. A terminated gateway has no other
// fault, since P6 holds for a shutdown that is not itself cut off.
func (p *plan) gateways(names []string) {
	const half = Length / 2
	faults, restarts := time.Second, half+time.Second
	if p.random.IntN(2) == 0 {
		// The restarted gateways need some seconds to finish their requests.
		faults, restarts = half+10*time.Second, time.Second
	}
	for i, name := range names[:disturbedGateways] {
		begin, end, least, most := Kill, Start, leastDown, mostDown
		if i >= 2 {
			begin, end, least, most = Stop, Continue, leastFreeze, mostFreeze
		}
		lasts := p.between(least, most)
		at := faults + p.between(0, half-11*time.Second-lasts)
		p.add(at, begin, name, "")
		p.add(at+lasts, end, name, "")
	}
	p.random.Shuffle(len(names), func(i, k int) { names[i], names[k] = names[k], names[i] })
	at := restarts
	for _, name := range names {
		at += p.between(2*time.Second, half/time.Duration(len(names)))
		p.add(at, Term, name, "")
	}
}

// engineFaults are the faults that an engine has by itself.
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

// engines kills and freezes processes, and gives each fault to one engine.
func (p *plan) engines(names []string) {
	p.pair(Kill, Start, names[0], "", leastDown, mostDown)
	p.pair(Kill, Start, names[1], "", leastDown, mostDown)
	p.pair(Stop, Continue, names[2], "", leastFreeze, mostFreeze)
	for i, f := range engineFaults {
		p.pair(Put, Clear, names[3+i], f, 3*time.Second, mostFreeze)
	}
}

// block is a part of a lane: it adds its steps at a time and returns its length.
type block func(at time.Duration) time.Duration

// lane puts blocks in random order, with random gaps, so that they don't overlap
// and end with the run.
func (p *plan) lane(blocks []block) {
	p.random.Shuffle(len(blocks), func(i, k int) { blocks[i], blocks[k] = blocks[k], blocks[i] })
	// The lengths are known only after drawing, so the steps are moved afterwards.
	kept := p.steps
	var parts [][]Step
	var lengths []time.Duration
	free := Length - time.Second
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
		gap := p.between(0, max(0, free)/time.Duration(len(parts)))
		at += gap
		for _, s := range part {
			s.At += at
			p.steps = append(p.steps, s)
		}
		at += lengths[i]
	}
}

// crashLength is the time for the resends of a request that crashes engines, and
// rejoin the time after which a gateway that was cut off has the others' reports.
const (
	crashLength = 7 * time.Second
	rejoin      = 2 * time.Second
)

// platform draws the faults of the platform, the edits, one of them while a data
// centre is cut off from everything, the request that crashes engines while the
// gateway is cut off from the others, and the time in which two backend servers
// leave. Nobody can learn of a leaving server from a host list that doesn't answer,
// so these don't overlap with the platform's faults.
func (p *plan) platform(engine, gateway string) {
	fault := func(value string, least, most time.Duration) block {
		return func(at time.Duration) time.Duration {
			n := p.between(least, most)
			p.add(at, Put, "platform", value)
			p.add(at+n, Clear, "platform", "")
			return n + time.Second
		}
	}
	p.lane([]block{
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
			n := p.between(4*time.Second, 6*time.Second)
			kind := p.either()
			target := cutIsland + "-" + string(kind)
			p.add(at, Cut, target, p.island(kind))
			p.add(at+time.Second, Edit, "catalogue", "")
			p.add(at+n, Heal, target, "")
			return n + time.Second
		},
		func(at time.Duration) time.Duration {
			p.add(at, Race, "catalogue", "")
			return 2 * time.Second
		},
		func(at time.Duration) time.Duration {
			n := p.between(5*time.Second, 6*time.Second)
			p.add(at, EditOutage, "platform", `{"outage":true}`)
			p.add(at+n, Clear, "platform", "")
			return n + time.Second
		},
		// An engine that crashes loses its run counters, which P5 needs, so that
		// this doesn't overlap with leaving servers either.
		func(at time.Duration) time.Duration {
			kind := p.either()
			target := cutCrash + "-" + string(kind)
			p.add(at, Cut, target, p.alone(kind, gateway))
			p.add(at+time.Second, Crash, "request", gateway)
			p.add(at+time.Second+crashLength, Heal, target, "")
			p.add(at+time.Second+crashLength+rejoin, CrashAgain, "request", gateway)
			return 2*crashLength - 2*time.Second
		},
		func(at time.Duration) time.Duration {
			n := LeaveBound + p.between(4*time.Second, 6*time.Second)
			for _, name := range []string{engine, leavingApp} {
				p.add(at, Leave, name, "")
				p.add(at+LeaveBound, Settled, name, "")
				p.add(at+n, Return, name, "")
			}
			return n + time.Second
		},
	})
}

// The application servers by their service in scripts/fleet.sh.
const (
	leavingApp = "app-1"
	rosterApp  = "app-2"
	recordsApp = "app-3"
	bookingApp = "app-4"
)

// apps gives one bookings server and both lookup servers faults in turn. The
// other bookings server is the one that leaves.
func (p *plan) apps() {
	for _, name := range []string{bookingApp, rosterApp, recordsApp} {
		var blocks []block
		for _, value := range []string{`{"reset_after":4}`, `{"reset_before":4}`, `{"error_with_body":4}`, `{"error_without_body":4}`, `{"freeze":true}`} {
			blocks = append(blocks, func(at time.Duration) time.Duration {
				n := p.between(2*time.Second, 6*time.Second)
				p.add(at, Put, name, value)
				p.add(at+n, Clear, name, "")
				return n + 500*time.Millisecond
			})
		}
		p.lane(blocks)
	}
}

// controller freezes the holder of the lease until after another one took over:
// 10 s of the lease and 3 s in which an order may be in flight. Nobody can take
// the lease during an outage, so a time without one is preferred.
func (p *plan) controller() {
	var at, lasts time.Duration
	for range placements {
		lasts = p.between(16*time.Second, 20*time.Second)
		at = p.between(time.Second, Length-lasts)
		if !p.outageBetween(at, at+lasts) {
			break
		}
	}
	p.add(at, StopHolder, "controller", "")
	p.add(at+lasts, ContinueHolder, "controller", "")
}

// placements bounds the draws of a time without an outage.
const placements = 200

// outageBetween tells whether the platform is out in a part of the time.
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
