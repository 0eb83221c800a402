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

// cutSpan is a partition that took place, with its begin and end.
type cutSpan struct {
	span
	name string
	cut  partition.Cut
}

// cutSpans returns the partitions in the events of the run. A partition that was not
// healed has the end 1<<62, which is later than any event.
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

// separated reports whether a partition separated two processes at atMS.
func (e *Evidence) separated(a, b string, atMS int64) bool {
	return slices.ContainsFunc(e.Cuts, func(c cutSpan) bool {
		return c.from <= atMS && atMS < c.to && c.cut.Separates(a, b)
	})
}

// canObtain reports whether a gateway could get revision n at atMS: from the
// platform, or through other gateways from one that has the revision or can reach
// the platform.
func (e *Evidence) canObtain(name string, n, atMS int64) bool {
	outage := slices.ContainsFunc(e.outages(), func(o span) bool { return o.from <= atMS && atMS < o.to })
	reached, next := map[string]bool{name: true}, []string{name}
	for len(next) > 0 {
		g := next[0]
		next = next[1:]
		if !outage && !e.separated(g, platformName, atMS) || e.obtainedBy(g, n) <= atMS {
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

// obtainedBy returns the time in Unix milliseconds by which a gateway certainly had
// revision n, according to the status samples.
func (e *Evidence) obtainedBy(name string, n int64) int64 {
	for _, s := range e.Samples {
		if slices.ContainsFunc(s.Gateways, func(g GatewayStatus) bool { return g.Name == name && g.Error == "" && g.Revision >= n }) {
			return s.FromMS + maxSampleDurationMS
		}
	}
	return 1 << 62
}

// revisionKey identifies a gateway and a revision.
type revisionKey struct {
	name string
	n    int64
}

// cachedUnreachable returns the result of unreachable, which it computes only once
// for each gateway and revision.
func (e *Evidence) cachedUnreachable(name string, n int64) []span {
	key := revisionKey{name, n}
	list, cached := e.unreachableCache[key]
	if !cached {
		if e.unreachableCache == nil {
			e.unreachableCache = map[revisionKey][]span{}
		}
		list = e.unreachable(name, n)
		e.unreachableCache[key] = list
	}
	return list
}

// unreachable returns the intervals in which a gateway could not get revision n.
func (e *Evidence) unreachable(name string, n int64) []span {
	times := map[int64]bool{}
	for _, o := range e.outages() {
		times[o.from], times[o.to] = true, true
	}
	for _, c := range e.Cuts {
		times[c.from], times[c.to] = true, true
	}
	for g := range e.GatewayURLs {
		times[e.obtainedBy(g, n)] = true
	}
	var list []span
	open := int64(-1)
	for _, t := range slices.Sorted(maps.Keys(times)) {
		switch ok := e.canObtain(name, n, t); {
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

// healMarginMS is subtracted from the recorded end of a partition, in ms, because the
// partition may have ended slightly earlier than recorded.
const healMarginMS = 1000

// Served counts the exchanges of the gateways on side A of partitions, for one area of
// partitions and one kind of request.
type Served struct{ Completed, All int }

// checkCutOffGateways checks the exchanges of the gateways on side A of each partition
// during that partition: generations and idempotent calls are still served, and calls
// that may run only once are not completed while the platform is unreachable.
func (e *Evidence) checkCutOffGateways() *Check {
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
			e.checkCutOffGateway(c, cut, kind, name)
		}
	}
	for key, s := range e.Served {
		if s.Completed == 0 && !strings.HasSuffix(key, "single runs") {
			c.breach("%s: none of %d exchanges was completed", key, s.All)
		}
	}
	return c
}

func (e *Evidence) checkCutOffGateway(c *Check, cut cutSpan, kind, name string) {
	noPlatform := cut.cut.Separates(name, platformName)
	for _, r := range e.Records {
		for _, x := range r.Exchanges {
			if x.Target != e.GatewayURLs[name] || x.FromMS < cut.from || x.ToMS > cut.to-healMarginMS {
				continue
			}
			c.Checks++
			key := kind + " generations"
			switch {
			case r.AtMostOnce:
				key = kind + " single runs"
			case r.Kind == catalogue.Service:
				key = kind + " idempotent calls"
			}
			e.Served[key].All++
			if x.Code == loadgen.OutcomeCompleted {
				e.Served[key].Completed++
			}
			if r.AtMostOnce && noPlatform && x.Code == loadgen.OutcomeCompleted {
				c.breach("%s: completed at %s, which was cut off from the platform (%s)", r.ID, name, cut.name)
			}
			if !r.AtMostOnce && x.Code == string(fault.PlatformUnavailable) {
				c.breach("%s: refused with %s at %s (%s)", r.ID, x.Code, name, cut.name)
			}
		}
	}
}
