package membership

import (
	"slices"
	"sort"
	"time"

	"persimmonwing/internal/connection/platform"
)

// leavingHoldDown is how long a host that was leaving must be listed as live before it
// is accepted as live again, because copies of the host list that lag may disagree.
const leavingHoldDown = 10 * time.Second

// SetHosts applies a copy of the host list. Hosts that are missing from it are marked as
// leaving if it lists other hosts of their data centre. An empty copy is considered a
// fault of the list and ignored.
func (g *Gossiper) SetHosts(hosts []platform.Host) {
	if len(hosts) == 0 {
		return
	}
	g.mu.Lock()
	listed := make(map[string]bool, len(hosts))
	centres := map[string]bool{}
	for _, h := range hosts {
		listed[h.Name] = true
		centres[h.DataCentre] = true
		g.setHost(time.Now(), h)
	}
	for _, k := range slices.Clone(g.state.facts.keys) {
		f, _ := g.state.facts.Get(k)
		if k.Kind == FactHost && !f.Leaving && !listed[k.Name] && centres[f.DataCentre] {
			f.Leaving = true
			g.state.facts.State(time.Now(), f)
		}
	}
	g.mu.Unlock()
	g.changed()
}

func (g *Gossiper) setHost(now time.Time, h platform.Host) {
	f := Fact{
		FactKey: FactKey{FactHost, h.Name}, Leaving: h.State == platform.HostLeaving,
		Address: h.Address, DataCentre: h.DataCentre, Service: h.Service,
	}
	old, ok := g.state.facts.Get(f.FactKey)
	returns := ok && old.Leaving && !f.Leaving && old.Address == f.Address
	if !returns {
		delete(g.liveAgainSince, h.Name)
		g.state.facts.State(now, f)
		return
	}
	since, ok := g.liveAgainSince[h.Name]
	if !ok {
		g.liveAgainSince[h.Name] = now
		return
	}
	if now.Sub(since) >= leavingHoldDown {
		delete(g.liveAgainSince, h.Name)
		g.state.facts.State(now, f)
	}
}

// SetReport publishes the latest report of a backend server about itself.
func (g *Gossiper) SetReport(name string, draining bool, models []string, incarnation string) {
	g.mu.Lock()
	old, _ := g.state.facts.Get(FactKey{FactReport, name})
	changed := g.state.facts.State(time.Now(), Fact{
		FactKey: FactKey{FactReport, name}, Leaving: draining,
		Models: slices.Sorted(slices.Values(models)), Incarnation: incarnation, ColdMS: old.ColdMS,
	})
	g.mu.Unlock()
	if changed {
		g.changed()
	}
}

// Reported returns the models and the incarnation in the latest known report of an
// engine, whichever gateway received it.
func (g *Gossiper) Reported(name string) (models []string, incarnation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f, _ := g.state.facts.Get(FactKey{FactReport, name})
	return f.Models, f.Incarnation
}

// SetFailed marks a backend server as unreachable or reachable from this gateway. The
// mark is not gossiped, because the server may be reachable from other gateways.
func (g *Gossiper) SetFailed(name string, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if failed {
		g.failed[name] = true
	} else {
		delete(g.failed, name)
	}
}

// Services returns the replicas of a service. Those of this data centre come first;
// within each part they are sorted by name.
func (g *Gossiper) Services(service string) []Backend {
	out := g.backends(func(f Fact) bool { return f.Service == service && service != "" })
	own := g.opt.Self.DataCentre
	sort.SliceStable(out, func(i, j int) bool {
		return out[i].DataCentre == own && out[j].DataCentre != own
	})
	return out
}

// Engines returns the engines of a data centre, or of all data centres if dataCentre is
// empty, sorted by name.
func (g *Gossiper) Engines(dataCentre string) []Backend {
	return g.backends(func(f Fact) bool {
		return f.Service == "" && (dataCentre == "" || f.DataCentre == dataCentre)
	})
}

// Applications returns all application servers of a data centre, sorted by name.
func (g *Gossiper) Applications(dataCentre string) []Backend {
	return g.backends(func(f Fact) bool { return f.Service != "" && f.DataCentre == dataCentre })
}

// backends returns the listed backend servers that keep selects. A server isn't
// accepting if any one of the host list, its report, the catalogue's draining list, an
// evacuation or failed calls says so, or while it is cold and this gateway has no right to send to it.
func (g *Gossiper) backends(keep func(Fact) bool) []Backend {
	draining := g.opt.Draining()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Backend
	for _, k := range g.state.facts.keys {
		f, _ := g.state.facts.Get(k)
		if k.Kind != FactHost || !keep(f) {
			continue
		}
		report, _ := g.state.facts.Get(FactKey{FactReport, k.Name})
		evacuated := g.opt.Evacuated != nil && g.opt.Evacuated(f.DataCentre)
		stopped := evacuated || f.Leaving || report.Leaving || g.failed[k.Name] || slices.Contains(draining, k.Name)
		maxStarts, denied := g.coldBounds(now, k.Name)
		out = append(out, Backend{
			Name: k.Name, Address: f.Address, DataCentre: f.DataCentre,
			Service: f.Service, Accepting: !stopped && denied == 0, Evacuated: evacuated,
			MaxStarts: maxStarts, ColdWait: denied, Stopped: stopped,
		})
	}
	return out
}
