package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// HostList is the client of a host list in Prometheus HTTP service discovery
// format.
type HostList struct {
	caller caller

	mu sync.Mutex
	// last is the last list that came with an entity tag, which a read of an
	// unchanged list repeats in place of the list.
	tag  string
	last []Host
}

// NewHostList returns a client for the service at the base URL.
func NewHostList(base string, c *http.Client, timeout time.Duration) *HostList {
	return &HostList{caller: newCaller(base, c, timeout)}
}

// Compressed lets t ask for answers in gzip and returns it. A list of 600 hosts
// is 73 KB in plain JSON and is read every second by elected gateways. A service
// that does not compress answers as before.
func Compressed(t *http.Transport) *http.Transport {
	t.DisableCompression = false
	return t
}

// targetGroup is one element of the list.
type targetGroup struct {
	Targets []string   `json:"targets"`
	Labels  hostLabels `json:"labels"`
}

// hostLabels are the labels that the project reads; others are ignored.
type hostLabels struct {
	Name       string    `json:"name"`
	Kind       HostKind  `json:"kind"`
	DataCentre string    `json:"data_centre"`
	State      HostState `json:"state"`
	Service    string    `json:"service"`
}

const stepHosts = "hosts.list"

// Hosts returns the list as the platform has it, which lags.
func (l *HostList) Hosts(ctx context.Context) ([]Host, error) {
	tag, last := l.known()
	k := call{step: stepHosts, method: http.MethodGet, path: "/hosts"}
	if tag != "" {
		k.header = http.Header{"If-None-Match": {tag}}
		k.accept = []int{http.StatusNotModified}
	}
	status, header, body, err := l.caller.exchange(ctx, k)
	if err != nil {
		return nil, err
	}
	if status == http.StatusNotModified {
		return last, nil
	}
	hosts, err := parseHosts(body)
	if err != nil {
		return nil, NewError(stepHosts, l.caller.base, ErrNotApplied, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tag, l.last = header.Get("ETag"), slices.Clone(hosts)
	return hosts, nil
}

// known returns the entity tag of the last list and a copy of it.
func (l *HostList) known() (string, []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tag, slices.Clone(l.last)
}

func parseHosts(body []byte) ([]Host, error) {
	var groups []targetGroup
	if err := json.Unmarshal(body, &groups); err != nil {
		return nil, err
	}
	hosts := make([]Host, 0, len(groups))
	for _, g := range groups {
		h, err := g.host()
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// host refuses values that would otherwise send work to the wrong place.
func (g targetGroup) host() (Host, error) {
	l := g.Labels
	switch {
	case len(g.Targets) != 1:
		return Host{}, fmt.Errorf("host %q has %d targets; 1 is allowed", l.Name, len(g.Targets))
	case l.Kind != KindEngine && l.Kind != KindApp:
		return Host{}, fmt.Errorf("host %q: kind %q is not allowed", l.Name, l.Kind)
	case l.State != HostLive && l.State != HostLeaving:
		return Host{}, fmt.Errorf("host %q: state %q is not allowed", l.Name, l.State)
	}
	return Host{
		Name:       l.Name,
		Kind:       l.Kind,
		Address:    g.Targets[0],
		DataCentre: l.DataCentre,
		State:      l.State,
		Service:    l.Service,
	}, nil
}
