package faults

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"persimmonwing/internal/process/loadgen/partition"
)

// The kinds of partitions. The target of a Cut is one of them, a dash and a
// partition.Kind.
const (
	cutDataCentres = "data_centres"  // data centres from each other
	cutGateway     = "gateway"       // one gateway from all others
	cutPlatform    = "platform_link" // a data centre from the platform
	cutIsland      = "island"        // a data centre from everything
	cutCrash       = "crash"         // one gateway, while a request crashes engines
)

// platformName is the platform's name in cuts.
const platformName = "platform"

const (
	leastCut = 4 * time.Second
	mostCut  = 6 * time.Second
	// rejoinAfter is the time that peers need to reach each other again: the
	// request that crashes engines is bounded only where reports get through.
	rejoinAfter = 3 * time.Second
)

// members returns the gateways and controllers of a data centre.
func (p *plan) members(dataCentre int) []string {
	list := p.gatewaysOf(dataCentre)
	for i := dataCentre; i < p.fleet.Controllers; i += p.fleet.DataCentres {
		list = append(list, fmt.Sprintf("controller-%d", i+1))
	}
	return list
}

func (p *plan) gatewaysOf(dataCentre int) []string {
	var list []string
	for i := dataCentre; i < p.fleet.Gateways; i += p.fleet.DataCentres {
		list = append(list, fmt.Sprintf("gateway-%d", i+1))
	}
	return list
}

// others returns all gateways that are not in the list.
func (p *plan) others(list []string) []string {
	var out []string
	for i := range p.fleet.Gateways {
		if name := fmt.Sprintf("gateway-%d", i+1); !slices.Contains(list, name) {
			out = append(out, name)
		}
	}
	return out
}

func cutValue(c partition.Cut) string {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // strings only
	}
	return string(b)
}

// either draws a kind.
func (p *plan) either() partition.Kind {
	return []partition.Kind{partition.Drop, partition.Reset}[p.random.IntN(2)]
}

// alone cuts one gateway off from all others.
func (p *plan) alone(kind partition.Kind, gateway string) string {
	side := []string{gateway}
	return cutValue(partition.Cut{Kind: kind, A: side, B: p.others(side)})
}

// apart cuts one or two data centres off from the others.
func (p *plan) apart(kind partition.Kind) string {
	var side []string
	for _, dc := range p.random.Perm(p.fleet.DataCentres)[:1+p.random.IntN(2)] {
		side = append(side, p.gatewaysOf(dc)...)
	}
	return cutValue(partition.Cut{Kind: kind, A: side, B: p.others(side)})
}

// island cuts a data centre off from everything. It is not the first one, whose
// holder is frozen: the cut could keep that lease from being taken over.
func (p *plan) island(kind partition.Kind) string {
	dc := 1 + p.random.IntN(p.fleet.DataCentres-1)
	return cutValue(partition.Cut{Kind: kind, A: p.members(dc), B: append(p.others(p.gatewaysOf(dc)), platformName)})
}

// fromPlatform cuts a data centre off from the platform.
func (p *plan) fromPlatform(kind partition.Kind) string {
	return cutValue(partition.Cut{Kind: kind, A: p.members(p.random.IntN(p.fleet.DataCentres)), B: []string{platformName}})
}

// window is a part of the run.
type window struct{ from, to time.Duration }

// cuts draws two partitions of each kind, one that drops and one that resets.
// Partitions of gateways keep away from the request that crashes engines, and
// those from the platform from leaving servers, of which a data centre without
// host list cannot know, and from the frozen holder of the lease.
func (p *plan) cuts(gateways []string) {
	crash := p.windows(Crash, "request", CrashAgain, "request")
	leaving := p.windows(Leave, leavingApp, Return, leavingApp)
	holder := p.windows(StopHolder, "controller", ContinueHolder, "controller")
	for i, kind := range []partition.Kind{partition.Drop, partition.Reset} {
		p.cut(cutDataCentres, kind, p.apart(kind), crash)
		p.cut(cutGateway, kind, p.alone(kind, gateways[i]), crash)
		p.cut(cutPlatform, kind, p.fromPlatform(kind), append(leaving, holder...))
	}
}

// windows returns the times between two actions.
func (p *plan) windows(begin Action, beginTarget string, end Action, endTarget string) []window {
	var list []window
	var from time.Duration
	steps := slices.Clone(p.steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	for _, s := range steps {
		switch {
		case s.Action == begin && s.Target == beginTarget:
			from = s.At
		case s.Action == end && s.Target == endTarget:
			list = append(list, window{from, s.At})
		}
	}
	return list
}

// cut adds a partition at a time that is not close to any of the windows.
func (p *plan) cut(name string, kind partition.Kind, value string, avoid []window) {
	for {
		lasts := p.between(leastCut, mostCut)
		at := p.between(time.Second, Length-lasts)
		if slices.ContainsFunc(avoid, func(w window) bool { return at < w.to+rejoinAfter && at+lasts > w.from-rejoinAfter }) {
			continue
		}
		target := name + "-" + string(kind)
		p.add(at, Cut, target, value)
		p.add(at+lasts, Heal, target, "")
		return
	}
}
