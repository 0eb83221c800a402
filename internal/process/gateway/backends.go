package gateway

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"persimmonwing/internal/process/adminapi"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/owner"
)

// listBackends serves GET /backends. Ejection is a local decision of this gateway;
// other gateways may list the same server as accepting.
func (g *Gateway) listBackends(w http.ResponseWriter, _ *http.Request) {
	list := []adminapi.Backend{}
	if g.backendSource != nil {
		list = append(list, g.backendSource()...)
	}
	now := time.Now()
	for i := range list {
		b := &list[i]
		if b.Accepting && b.Service != "" && g.serviceSets.ejected(now, b.Service, b.Name) {
			b.Accepting, b.Reason = false, adminapi.ReasonEjected
		}
	}
	writeJSON(w, http.StatusOK, list)
}

// backends returns all backend servers known to this gateway, sorted by name.
func (p *process) backends() []adminapi.Backend {
	engines := p.gossiper.Engines("")
	states := p.manager.EngineStates(time.Now())
	draining := p.draining()
	list := make([]adminapi.Backend, 0, len(engines))
	polled := p.gossiper.BackendsToPoll(engines)
	for _, b := range engines {
		list = append(list, p.engineView(b, states[b.Name], slices.Contains(polled, b), draining))
	}
	applications := p.applications(engines)
	polled = p.gossiper.BackendsToPoll(applications)
	for _, b := range applications {
		list = append(list, p.applicationView(b, slices.Contains(polled, b), draining))
	}
	slices.SortFunc(list, func(a, b adminapi.Backend) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (p *process) draining() []string {
	if s := p.holder.Current(); s != nil {
		return s.Draining
	}
	return nil
}

// applications returns the application servers of all known data centres: those of
// the host list, of the live gateways and of engines.
func (p *process) applications(engines []membership.Backend) []membership.Backend {
	centres := p.hostObserver.dataCentres()
	for _, b := range engines {
		centres[b.DataCentre] = true
	}
	for _, g := range p.gossiper.Live() {
		centres[g.DataCentre] = true
	}
	var out []membership.Backend
	for c := range centres {
		out = append(out, p.gossiper.Applications(c)...)
	}
	return out
}

func (p *process) engineView(b membership.Backend, s owner.EngineState, polled bool, draining []string) adminapi.Backend {
	models, _ := p.gossiper.Reported(b.Name)
	view := adminapi.Backend{
		Name: b.Name, Kind: adminapi.KindEngine, DataCentre: b.DataCentre, Models: models,
		Source: adminapi.SourceGossip, Reason: p.engineReason(b, s, draining),
	}
	view.Accepting = view.Reason == ""
	switch {
	case s.Owned:
		view.Source = adminapi.SourceOwner
	case polled:
		view.Source = adminapi.SourcePoll
	}
	if s.Owned && s.Polled {
		view.Load = &adminapi.Load{
			Running: s.Replica.Running, BatchBound: s.Replica.BatchBound,
			KVUsedTokens: s.Report.KVUsedTokens, KVCapacityTokens: s.Report.KVCapacityTokens,
		}
	}
	return view
}

// engineReason returns why an engine does not accept new work, or "" if it does. If
// there are several reasons, it returns the one that an operator can act on first.
func (p *process) engineReason(b membership.Backend, s owner.EngineState, draining []string) adminapi.Reason {
	// The report may be outdated if this gateway no longer polls the engine.
	reportsDraining := s.Report.Draining && (s.Owned || !b.Accepting)
	switch {
	case slices.Contains(draining, b.Name) || reportsDraining:
		return adminapi.ReasonDraining
	case p.evacuations.contains(b.DataCentre):
		return adminapi.ReasonEvacuated
	case !b.Accepting && p.hostObserver.leaving(b.Name):
		return adminapi.ReasonLeaving
	case !b.Stopped && b.ColdWait > 0:
		return adminapi.ReasonCold
	case s.Unreachable:
		return adminapi.ReasonUnreachable
	case !b.Accepting:
		return adminapi.ReasonReported
	case s.Owned && !s.Polled:
		return adminapi.ReasonStarting
	case s.Replica.Resting:
		return adminapi.ReasonResting
	default:
		return ""
	}
}

func (p *process) applicationView(b membership.Backend, polled bool, draining []string) adminapi.Backend {
	view := adminapi.Backend{
		Name: b.Name, Kind: adminapi.KindApplication, DataCentre: b.DataCentre, Service: b.Service,
		Accepting: b.Accepting, Source: adminapi.SourceGossip,
	}
	lastProbe := p.hostObserver.lastProbe(b.Name)
	if polled {
		view.Source = adminapi.SourcePoll
	}
	switch {
	case b.Accepting:
	case slices.Contains(draining, b.Name):
		view.Reason = adminapi.ReasonDraining
	case p.evacuations.contains(b.DataCentre):
		view.Reason = adminapi.ReasonEvacuated
	case p.hostObserver.leaving(b.Name):
		view.Reason = adminapi.ReasonLeaving
	case !b.Stopped && b.ColdWait > 0:
		view.Reason = adminapi.ReasonCold
	case polled && lastProbe != "":
		view.Reason = lastProbe
	default:
		view.Reason = adminapi.ReasonReported
	}
	return view
}
