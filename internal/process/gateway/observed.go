package gateway

import (
	"context"
	"sync"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/process/adminapi"
	"persimmonwing/internal/process/membership"
)

// observed passes on the answers of the host list and of application servers
// and keeps the latest ones, to tell operators why a server gets no new work.
// Membership joins all causes into one flag.
type observed struct {
	list   membership.HostList
	prober membership.Prober

	mu    sync.Mutex
	hosts map[string]platform.Host
	// probes holds the servers of hosts that this gateway polls; "" means ready.
	probes map[string]adminapi.Reason
}

func newObserved(l membership.HostList, p membership.Prober) *observed {
	return &observed{list: l, prober: p, probes: map[string]adminapi.Reason{}}
}

// Hosts implements membership.HostList. Every gateway reads the list at least
// each 10 s.
func (o *observed) Hosts(ctx context.Context) ([]platform.Host, error) {
	hosts, err := o.list.Hosts(ctx)
	if err == nil && len(hosts) > 0 {
		o.keep(hosts)
	}
	return hosts, err
}

func (o *observed) keep(hosts []platform.Host) {
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
func (o *observed) Ready(ctx context.Context, b membership.Backend) (bool, error) {
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

// leaving reports whether the list shows a host as leaving or lacks it.
func (o *observed) leaving(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, listed := o.hosts[name]
	return o.hosts != nil && (!listed || h.State == platform.HostLeaving)
}

// probe returns what an application server answered last.
func (o *observed) probe(name string) adminapi.Reason {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.probes[name]
}

// dataCentres returns the data centres of the host list.
func (o *observed) dataCentres() map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]bool{}
	for _, h := range o.hosts {
		out[h.DataCentre] = true
	}
	return out
}
