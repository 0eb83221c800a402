package faults

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"persimmonwing/internal/process/loadgen/partition"
)

// A partition separates two sets of processes for a time, from a Cut step to the Heal
// step with the same target. A partition.Cut describes its two sides and its kind.
// These constants name the areas of partitions, that is, what a partition separates.
// The target of a Cut step is one of these names, a dash and a partition.Kind.
const (
	cutDataCentres = "data_centres"  // data centres from each other
	cutGateway     = "gateway"       // one gateway from all others
	cutPlatform    = "platform_link" // a data centre from the platform
	cutIsland      = "island"        // a data centre from the platform and all other data centres
	cutCrash       = "crash"         // one gateway from all others, while a request crashes engines
)

// platformName is the name of the platform in a partition.Cut.
const platformName = "platform"

const (
	minCut = 4 * time.Second
	maxCut = 6 * time.Second
	// reconnectMargin is the time that peers need to reconnect after a partition.
	// addCut keeps it free between its partitions and the periods in which a request
	// crashes engines, because gateways limit the number of engines that the request
	// crashes only if they receive each other's crash reports.
	reconnectMargin = 3 * time.Second
)

// processesOf returns the names of the gateways and controllers of a data centre.
func (p *plan) processesOf(dataCentre int) []string {
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

// otherGateways returns the names of all gateways that are not in the list.
func (p *plan) otherGateways(list []string) []string {
	var out []string
	for i := range p.fleet.Gateways {
		if name := fmt.Sprintf("gateway-%d", i+1); !slices.Contains(list, name) {
			out = append(out, name)
		}
	}
	return out
}

func encodeCut(c partition.Cut) string {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // cannot happen: a Cut consists of strings only
	}
	return string(b)
}

// randomKind draws a kind of partition.
func (p *plan) randomKind() partition.Kind {
	return []partition.Kind{partition.Drop, partition.Reset}[p.random.IntN(2)]
}

// isolateGateway returns the encoded partition between one gateway and all others.
func (p *plan) isolateGateway(kind partition.Kind, gateway string) string {
	side := []string{gateway}
	return encodeCut(partition.Cut{Kind: kind, A: side, B: p.otherGateways(side)})
}

// splitDataCentres returns the encoded partition between one or two random data
// centres and the others.
func (p *plan) splitDataCentres(kind partition.Kind) string {
	var side []string
	for _, dc := range p.random.Perm(p.fleet.DataCentres)[:1+p.random.IntN(2)] {
		side = append(side, p.gatewaysOf(dc)...)
	}
	return encodeCut(partition.Cut{Kind: kind, A: side, B: p.otherGateways(side)})
}

// isolateDataCentre returns the encoded partition that separates a random data centre
// from all other data centres and from the platform. It never picks the first data
// centre, where the lease holder is frozen: the partition could prevent the takeover
// of that lease.
func (p *plan) isolateDataCentre(kind partition.Kind) string {
	dc := 1 + p.random.IntN(p.fleet.DataCentres-1)
	return encodeCut(partition.Cut{Kind: kind, A: p.processesOf(dc), B: append(p.otherGateways(p.gatewaysOf(dc)), platformName)})
}

// cutFromPlatform returns the encoded partition between a random data centre and the
// platform.
func (p *plan) cutFromPlatform(kind partition.Kind) string {
	return encodeCut(partition.Cut{Kind: kind, A: p.processesOf(p.random.IntN(p.fleet.DataCentres)), B: []string{platformName}})
}

// window is a time interval, relative to the start of the run.
type window struct{ from, to time.Duration }

// addCuts adds two partitions for each of the areas cutDataCentres, cutGateway and
// cutPlatform: one of kind Drop and one of kind Reset. Partitions between gateways don't
// overlap the periods in which a request crashes engines. Partitions from the platform
// don't overlap the periods in which a server leaves (a data centre learns of that only
// from the host list) or the lease holder is frozen.
func (p *plan) addCuts(gateways []string) {
	crash := p.windows(Crash, "request", CrashAgain, "request")
	leaving := p.windows(Leave, leavingApp, Return, leavingApp)
	holder := p.windows(StopHolder, "controller", ContinueHolder, "controller")
	for i, kind := range []partition.Kind{partition.Drop, partition.Reset} {
		p.addCut(cutDataCentres, kind, p.splitDataCentres(kind), crash)
		p.addCut(cutGateway, kind, p.isolateGateway(kind, gateways[i]), crash)
		p.addCut(cutPlatform, kind, p.cutFromPlatform(kind), append(leaving, holder...))
	}
}

// windows returns the intervals between each begin step and the end step after it.
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

// addCut adds a partition at a random time, at least reconnectMargin before or after
// each of the windows in avoid.
func (p *plan) addCut(name string, kind partition.Kind, value string, avoid []window) {
	for {
		duration := p.randomDuration(minCut, maxCut)
		at := p.randomDuration(time.Second, RunDuration-duration)
		if slices.ContainsFunc(avoid, func(w window) bool { return at < w.to+reconnectMargin && at+duration > w.from-reconnectMargin }) {
			continue
		}
		target := name + "-" + string(kind)
		p.add(at, Cut, target, value)
		p.add(at+duration, Heal, target, "")
		return
	}
}
