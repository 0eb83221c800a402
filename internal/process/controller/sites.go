package controller

import (
	"context"
	"slices"
	"sync"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/version/order"
)

// sites splits the engines of the host list by data centre.
type sites struct {
	list order.HostList

	mu    sync.Mutex
	names []string
}

// Hosts reads the host list and notes the data centres that have engines.
func (s *sites) Hosts(ctx context.Context) ([]platform.Host, error) {
	hosts, err := s.list.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, h := range hosts {
		if h.Kind == platform.KindEngine {
			names = append(names, h.DataCentre)
		}
	}
	slices.Sort(names)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names = slices.Compact(names)
	return hosts, nil
}

// dataCentres returns those of the last list.
func (s *sites) dataCentres() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names
}

// share returns the part of the bounds on loads that one data centre may use, so
// that the controllers of all together stay within them.
func (s *sites) share() float64 { return 1 / float64(max(1, len(s.dataCentres()))) }

// site is the host list of one data centre.
type site struct {
	*sites
	dataCentre string
}

// Hosts implements order.HostList.
func (s site) Hosts(ctx context.Context) ([]platform.Host, error) {
	hosts, err := s.sites.Hosts(ctx)
	return slices.DeleteFunc(hosts, func(h platform.Host) bool { return h.DataCentre != s.dataCentre }), err
}
