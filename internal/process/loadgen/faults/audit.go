package faults

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"persimmonwing/internal/process/loadgen"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/catalogue"
)

// Check is the audit result of one property: its short name, such as P1, what was
// checked, the number of checks made, and a description of each breach.
type Check struct {
	Property string
	What     string
	Checks   int
	Breaches []string
}

func (c *Check) breach(format string, args ...any) {
	c.Breaches = append(c.Breaches, fmt.Sprintf(format, args...))
}

// Passed reports whether the property was checked at least once and never
// breached. A property that the run did not exercise counts as not passed.
func (c *Check) Passed() bool { return c.Checks > 0 && len(c.Breaches) == 0 }

// Audit checks all properties and returns one result for each.
func (e *Evidence) Audit() []*Check {
	return []*Check{
		e.checkStreams(),
		e.checkAnswers(),
		e.checkNotRun(),
		e.checkAtMostOnce(),
		e.checkLeavingServers(),
		e.checkShutdowns(),
		e.checkRevisions(),
		e.checkEdits(),
		e.checkLease(),
		e.checkCrashBound(),
		e.checkCutOffGateways(),
		e.checkRequestEnds(),
	}
}

var streamViolations = []loadgen.Violation{loadgen.Lost, loadgen.Duplicated, loadgen.OutOfOrder, loadgen.MixedGenerations}

func (e *Evidence) checkStreams() *Check {
	c := &Check{Property: "P1", What: "streams with tokens: lost, repeated, out of order or mixed"}
	for _, r := range e.Records {
		if r.Tokens == 0 {
			continue
		}
		c.Checks++
		for _, v := range streamViolations {
			if n := r.Violations[v]; n > 0 {
				c.breach("%s: %s %d", r.ID, v, n)
			}
		}
	}
	return c
}

func (e *Evidence) checkAnswers() *Check {
	c := &Check{Property: "P2", What: "streams and service answers: foreign parts"}
	for _, r := range e.Records {
		if r.Tokens == 0 && r.Code != loadgen.OutcomeCompleted {
			continue
		}
		c.Checks++
		if n := r.Violations[loadgen.Foreign]; n > 0 {
			c.breach("%s: foreign %d", r.ID, n)
		}
	}
	return c
}

// totalRuns returns the number of runs of each request, summed over all servers.
func (e *Evidence) totalRuns() Runs {
	all := Runs{}
	for _, runs := range e.Runs {
		for id, n := range runs {
			all[id] += n
		}
	}
	return all
}

func (e *Evidence) checkNotRun() *Check {
	c := &Check{Property: "P3", What: "answers not_run compared with the run counters"}
	runs := e.totalRuns()
	for _, r := range e.Records {
		if r.Execution != api.NotRun {
			continue
		}
		c.Checks++
		if n := runs[r.ID]; n > 0 {
			c.breach("%s: told %s/not_run and ran %d times", r.ID, r.Code, n)
		}
	}
	return c
}

func (e *Evidence) checkAtMostOnce() *Check {
	c := &Check{Property: "P4", What: "non-idempotent calls that ran, by run counters"}
	runs := e.totalRuns()
	for _, r := range e.Records {
		if !r.AtMostOnce || runs[r.ID] == 0 {
			continue
		}
		c.Checks++
		if n := runs[r.ID]; n > 1 || r.Violations[loadgen.RanTwice] > 0 {
			c.breach("%s: ran %d times", r.ID, n)
		}
	}
	return c
}

func (e *Evidence) checkLeavingServers() *Check {
	c := &Check{Property: "P5", What: "leaving servers: new runs later than 3 s"}
	for name, before := range e.Settled {
		after, ok := e.Returned[name]
		if !ok {
			continue
		}
		c.Checks++
		for id, n := range after {
			if n > before[id] {
				c.breach("%s ran %s after the bound", name, id)
			}
		}
	}
	return c
}

// checkShutdowns checks that each gateway ends with exit code 0 after SIGTERM and
// does not break exchanges that were open during its shutdown.
func (e *Evidence) checkShutdowns() *Check {
	c := &Check{Property: "P6", What: "exchanges open during a SIGTERM and exit codes"}
	for _, term := range e.Events {
		if term.Action != Term {
			continue
		}
		i := slices.IndexFunc(e.Exits, func(x Exit) bool { return x.Name == term.Target && x.AtMS >= term.AtMS })
		if i < 0 {
			c.breach("%s did not end after SIGTERM", term.Target)
			continue
		}
		if exit := e.Exits[i]; exit.Code != 0 {
			c.breach("%s ended with exit code %d", term.Target, exit.Code)
		}
		e.checkOpenExchanges(c, term, e.Exits[i])
	}
	return c
}

func (e *Evidence) checkOpenExchanges(c *Check, term Event, exit Exit) {
	for _, r := range e.Records {
		for _, x := range r.Exchanges {
			if x.Target != e.GatewayURLs[term.Target] || x.ToMS < term.AtMS || x.FromMS > exit.AtMS {
				continue
			}
			c.Checks++
			if x.Code == loadgen.OutcomeLinkBroken {
				c.breach("%s: link to %s broken (began %d ms after SIGTERM, ended %d ms after it, answered %v)",
					r.ID, term.Target, x.FromMS-term.AtMS, x.ToMS-term.AtMS, x.Answered)
			}
		}
	}
}

// checkRequestEnds checks that no request hangs and that no accepted generation
// ends without a typed error.
func (e *Evidence) checkRequestEnds() *Check {
	c := &Check{Property: "ends", What: "requests that hang, accepted generations without a typed end"}
	for _, r := range e.Records {
		c.Checks++
		switch {
		case r.Code == loadgen.OutcomeUnfinished:
			c.breach("%s: unfinished %d ms after its arrival", r.ID, r.EndedMS-r.ArrivedMS)
		case r.Kind == catalogue.Generation && r.Accepted && (r.Code == loadgen.OutcomeLinkBroken || r.Code == loadgen.OutcomeUnreachable):
			c.breach("%s: accepted, ended with %s", r.ID, r.Code)
		}
	}
	return c
}

// checkLease checks that each fencing number has only one holder in a data centre,
// and that another controller took over the lease of a frozen holder.
func (e *Evidence) checkLease() *Check {
	c := &Check{Property: "lease", What: "controllers with permission for orders: one per fencing number, taken over"}
	type term struct {
		dataCentre string
		fencing    int64
	}
	holders := map[term]string{}
	names := map[string]map[string]bool{}
	for _, s := range e.Controllers {
		if !s.Active {
			continue
		}
		c.Checks++
		t := term{s.DataCentre, s.Fencing}
		if other := holders[t]; other != "" && other != s.Name {
			c.breach("fencing number %d of %s has holders %s and %s", s.Fencing, s.DataCentre, other, s.Name)
		}
		holders[t] = s.Name
		if names[s.DataCentre] == nil {
			names[s.DataCentre] = map[string]bool{}
		}
		names[s.DataCentre][s.Name] = true
	}
	holderFrozen := slices.ContainsFunc(e.Events, func(v Event) bool { return v.Action == StopHolder })
	takenOver := slices.ContainsFunc(slices.Collect(maps.Values(names)), func(n map[string]bool) bool { return len(n) > 1 })
	if holderFrozen && !takenOver {
		c.breach("the lease of the frozen holder was not taken over (holders %v)", names)
	}
	return c
}

// maxCrashes is the maximum number of servers that one request may crash.
const maxCrashes = 2

// checkCrashBound checks that the crashing request crashed at most maxCrashes
// servers and was eventually refused.
func (e *Evidence) checkCrashBound() *Check {
	c := &Check{Property: "crash bound", What: "resends of a request that crashes engines: at most 2 engines"}
	if len(e.Crashes) == 0 {
		return c
	}
	c.Checks = len(e.CrashResends)
	if n := len(e.Crashes); n > maxCrashes {
		c.breach("%d engines crashed: %v; answers %v", n, e.Crashes, e.CrashResends)
	}
	if !slices.Contains(e.CrashResends, string(fault.RequestCrashes)) {
		c.breach("the request was never refused: %v", e.CrashResends)
	}
	return c
}

// Injected returns the number of injected faults of each kind. Steps that end a
// fault are not counted.
func (e *Evidence) Injected() map[string]int {
	counts := map[string]int{}
	for _, v := range e.Events {
		kind, _, _ := strings.Cut(v.Target, "-")
		switch v.Action {
		case Start, Continue, Clear, Return, Settled, ContinueHolder, Heal, CrashAgain:
			continue
		case Cut:
			counts["cut "+v.Target]++
		case Put:
			counts[kind+" "+strings.Trim(v.Value, "{}")]++
		default:
			counts[kind+" "+string(v.Action)]++
		}
	}
	return counts
}

// maxPrintedBreaches is the maximum number of breaches printed for each property.
const maxPrintedBreaches = 20

// Report writes the injected faults and the results of all checks to w. It returns
// true if at least one fault was injected and all checks passed.
func (e *Evidence) Report(w io.Writer) (bool, error) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FAULT\tTIMES")
	injected := e.Injected()
	for _, kind := range slices.Sorted(maps.Keys(injected)) {
		fmt.Fprintf(t, "%s\t%d\n", kind, injected[kind])
	}
	fmt.Fprintln(t, "\nPROPERTY\tCHECKED\tCHECKS\tBREACHES\tRESULT")
	passed := len(injected) > 0
	checks := e.Audit()
	for _, c := range checks {
		passed = passed && c.Passed()
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\n", c.Property, c.What, c.Checks, len(c.Breaches), c.result())
	}
	fmt.Fprintln(t, "\nAT CUT-OFF GATEWAYS\tCOMPLETED\tEXCHANGES")
	for _, key := range slices.Sorted(maps.Keys(e.Served)) {
		fmt.Fprintf(t, "%s\t%d\t%d\n", key, e.Served[key].Completed, e.Served[key].All)
	}
	if err := t.Flush(); err != nil {
		return false, err
	}
	for _, c := range checks {
		for i, b := range c.Breaches {
			if i == maxPrintedBreaches {
				fmt.Fprintf(w, "%s: %d more\n", c.Property, len(c.Breaches)-maxPrintedBreaches)
				break
			}
			fmt.Fprintf(w, "%s: %s\n", c.Property, b)
		}
	}
	return passed, nil
}

func (c *Check) result() string {
	switch {
	case len(c.Breaches) > 0:
		return "BREACH"
	case c.Checks == 0:
		return "not exercised"
	default:
		return "held"
	}
}
