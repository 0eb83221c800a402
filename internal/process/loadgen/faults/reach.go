package faults

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"persimmonwing/internal/process/loadgen"
	"persimmonwing/internal/process/loadgen/partition"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/catalogue"
)

// cutSpan is a partition that took place.
type cutSpan struct {
	span
	name string
	cut  partition.Cut
}

// cutSpans returns the partitions of the run.
func (e *Evidence) cutSpans() ([]cutSpan, error) {
	var list []cutSpan
	for _, v := range e.Events {
		if v.Action != Cut {
			continue
		}
		c := cutSpan{name: v.Target, span: span{v.AtMS, 1 << 62}}
		if err := json.Unmarshal([]byte(v.Value), &c.cut); err != nil {
			return nil, err
		}
		i := slices.IndexFunc(e.Events, func(h Event) bool { return h.Action == Heal && h.Target == v.Target && h.AtMS >= v.AtMS })
		if i >= 0 {
			c.to = e.Events[i].AtMS
		}
		list = append(list, c)
	}
	return list, nil
}

// separated reports whether a partition was between two processes at a time.
func (e *Evidence) separated(a, b string, atMS int64) bool {
	return slices.ContainsFunc(e.Cuts, func(c cutSpan) bool {
		return c.from <= atMS && atMS < c.to && c.cut.Separates(a, b)
	})
}

// obtains reports whether a gateway could get revision n at a time: from the
// platform, or over other gateways from one that has it or reaches the platform.
func (e *Evidence) obtains(name string, n, atMS int64) bool {
	out := slices.ContainsFunc(e.outages(), func(o span) bool { return o.from <= atMS && atMS < o.to })
	reached, next := map[string]bool{name: true}, []string{name}
	for len(next) > 0 {
		g := next[0]
		next = next[1:]
		if !out && !e.separated(g, platformName, atMS) || e.seenBy(g, n) <= atMS {
			return true
		}
		for other := range e.GatewayURLs {
			if !reached[other] && !e.separated(g, other, atMS) {
				reached[other] = true
				next = append(next, other)
			}
		}
	}
	return false
}

// seenBy is the latest time at which a gateway got revision n.
func (e *Evidence) seenBy(name string, n int64) int64 {
	for _, s := range e.Samples {
		if slices.ContainsFunc(s.Gateways, func(g GatewayStatus) bool { return g.Name == name && g.Error == "" && g.Revision >= n }) {
			return s.FromMS + sampleLengthMS
		}
	}
	return 1 << 62
}

// gapKey names a gateway and a revision.
type gapKey struct {
	name string
	n    int64
}

// gaps is unreachable, computed once for each gateway and revision.
func (e *Evidence) gaps(name string, n int64) []span {
	key := gapKey{name, n}
	list, known := e.gapsOf[key]
	if !known {
		if e.gapsOf == nil {
			e.gapsOf = map[gapKey][]span{}
		}
		list = e.unreachable(name, n)
		e.gapsOf[key] = list
	}
	return list
}

// unreachable returns the times in which a gateway could not get revision n.
func (e *Evidence) unreachable(name string, n int64) []span {
	times := map[int64]bool{}
	for _, o := range e.outages() {
		times[o.from], times[o.to] = true, true
	}
	for _, c := range e.Cuts {
		times[c.from], times[c.to] = true, true
	}
	for g := range e.GatewayURLs {
		times[e.seenBy(g, n)] = true
	}
	var list []span
	open := int64(-1)
	for _, t := range slices.Sorted(maps.Keys(times)) {
		switch ok := e.obtains(name, n, t); {
		case !ok && open < 0:
			open = t
		case ok && open >= 0:
			list = append(list, span{open, t})
			open = -1
		}
	}
	if open >= 0 {
		list = append(list, span{open, 1 << 62})
	}
	return list
}

// healMarginMS is the time before the recorded end of a cut in which an answer may
// have come over the healed link already.
const healMarginMS = 1000

// Served counts the exchanges of cut-off gateways during one kind of partition.
type Served struct{ Completed, All int }

// cutOff checks the exchanges of gateways that a partition cut off: generations and
// idempotent calls go on, and no call that may run only once is run without the
// platform.
func (e *Evidence) cutOff() *Check {
	c := &Check{Property: "cut off", What: "exchanges of cut-off gateways: served without platform and peers, single runs refused"}
	e.Served = map[string]*Served{}
	for _, cut := range e.Cuts {
		kind, _, _ := strings.Cut(cut.name, "-")
		for _, what := range []string{"generations", "idempotent calls", "single runs"} {
			if key := kind + " " + what; e.Served[key] == nil {
				e.Served[key] = new(Served)
			}
		}
		for _, name := range cut.cut.A {
			e.cutOffGateway(c, cut, kind, name)
		}
	}
	for key, s := range e.Served {
		if s.Completed == 0 && !strings.HasSuffix(key, "single runs") {
			c.breach("%s: none of %d exchanges was completed", key, s.All)
		}
	}
	return c
}

func (e *Evidence) cutOffGateway(c *Check, cut cutSpan, kind, name string) {
	noPlatform := cut.cut.Separates(name, platformName)
	for _, r := range e.Records {
		for _, l := range r.Links {
			if l.Target != e.GatewayURLs[name] || l.FromMS < cut.from || l.ToMS > cut.to-healMarginMS {
				continue
			}
			c.Checks++
			key := kind + " generations"
			switch {
			case r.Once:
				key = kind + " single runs"
			case r.Kind == catalogue.Service:
				key = kind + " idempotent calls"
			}
			e.Served[key].All++
			if l.Code == loadgen.OutcomeCompleted {
				e.Served[key].Completed++
			}
			if r.Once && noPlatform && l.Code == loadgen.OutcomeCompleted {
				c.breach("%s: completed at %s, which was cut off from the platform (%s)", r.ID, name, cut.name)
			}
			if !r.Once && l.Code == string(fault.PlatformUnavailable) {
				c.breach("%s: refused with %s at %s (%s)", r.ID, l.Code, name, cut.name)
			}
		}
	}
}
