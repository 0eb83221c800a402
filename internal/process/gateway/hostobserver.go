package gateway

import (
	"context"
	"sync"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/process/adminapi"
	"persimmonwing/internal/process/membership"
)

// hostObserver wraps the host list and the prober of application servers and stores
// their latest results. GET /backends uses them to show why a server receives no new
// work; membership merges all reasons into a single flag.
type hostObserver struct {
	list   membership.HostList
	prober membership.Prober

	mu    sync.Mutex
	hosts map[string]platform.Host
	// probes maps the application servers that this gateway probes to the reason why
	// they are not ready; "" means ready.
	probes map[string]adminapi.Reason
}

func newHostObserver(l membership.HostList, p membership.Prober) *hostObserver {
	return &hostObserver{list: l, prober: p, probes: map[string]adminapi.Reason{}}
}

// Hosts implements membership.HostList. Every gateway reads the list at least every
// 10 s.
func (o *hostObserver) Hosts(ctx context.Context) ([]platform.Host, error) {
	hosts, err := o.list.Hosts(ctx)
	if err == nil && len(hosts) > 0 {
		o.recordHosts(hosts)
	}
	return hosts, err
}

func (o *hostObserver) recordHosts(hosts []platform.Host) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hosts = make(map[string]platform.Host, len(hosts))
	for _, h := range hosts {
		o.hosts[h.Name] = h
	}
	for name := range o.probes {
		if _, listed := o.hosts[name]; !listed {
			delete(o.probes, name)
		}
	}
}

// Ready implements membership.Prober.
func (o *hostObserver) Ready(ctx context.Context, b membership.Backend) (bool, error) {
	ready, err := o.prober.Ready(ctx, b)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err != nil:
		o.probes[b.Name] = adminapi.ReasonUnreachable
	case !ready:
		o.probes[b.Name] = adminapi.ReasonDraining
	default:
		o.probes[b.Name] = ""
	}
	return ready, err
}

// leaving reports whether the latest host list marks a host as leaving or does not
// contain it. It is false before the list has been read.
func (o *hostObserver) leaving(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, listed := o.hosts[name]
	return o.hosts != nil && (!listed || h.State == platform.HostLeaving)
}

// lastProbe returns the result of the latest probe of an application server.
func (o *hostObserver) lastProbe(name string) adminapi.Reason {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.probes[name]
}

// dataCentres returns the data centres of the latest host list.
func (o *hostObserver) dataCentres() map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]bool{}
	for _, h := range o.hosts {
		out[h.DataCentre] = true
	}
	return out
}
