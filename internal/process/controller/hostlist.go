package controller

import (
	"context"
	"slices"
	"sync"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/version/order"
)

// hostList reads the host list and remembers the names of the data centres with
// engines, sorted.
type hostList struct {
	list order.HostList

	mu    sync.Mutex
	names []string
}

// Hosts reads the host list and stores the names of the data centres with engines.
func (h *hostList) Hosts(ctx context.Context) ([]platform.Host, error) {
	hosts, err := h.list.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, host := range hosts {
		if host.Kind == platform.KindEngine {
			names = append(names, host.DataCentre)
		}
	}
	slices.Sort(names)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.names = slices.Compact(names)
	return hosts, nil
}

// dataCentres returns the data centres with engines in the list last read; nil before
// the first one.
func (h *hostList) dataCentres() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.names
}

// loadShare returns the fraction of the bounds on model loads that one data centre
// may use, so that the controllers of all data centres together stay within them.
func (h *hostList) loadShare() float64 { return 1 / float64(max(1, len(h.dataCentres()))) }

// dataCentreHostList is the part of the host list that is in one data centre.
type dataCentreHostList struct {
	*hostList
	dataCentre string
}

// Hosts implements order.HostList.
func (s dataCentreHostList) Hosts(ctx context.Context) ([]platform.Host, error) {
	hosts, err := s.hostList.Hosts(ctx)
	return slices.DeleteFunc(hosts, func(h platform.Host) bool { return h.DataCentre != s.dataCentre }), err
}
