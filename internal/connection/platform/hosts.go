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

// HostList is a client for a host list in the format of Prometheus HTTP service discovery. It is
// safe for concurrent use.
type HostList struct {
	caller caller

	mu sync.Mutex
	// etag and last are the entity tag and the hosts of the latest list. They are used for
	// conditional requests: if the list is unchanged, the service responds with 304 and Hosts
	// returns a copy of last.
	etag string
	last []Host
}

// NewHostList returns a client for the service at the base URL.
func NewHostList(base string, c *http.Client, timeout time.Duration) *HostList {
	return &HostList{caller: newCaller(base, c, timeout)}
}

// EnableCompression enables gzip compression of responses for t and returns t. A list of
// 600 hosts is 73 KB as uncompressed JSON, and elected gateways read it every second.
// Services that don't support compression respond without it.
func EnableCompression(t *http.Transport) *http.Transport {
	t.DisableCompression = false
	return t
}

// targetGroup is one element of the list, which describes one host.
type targetGroup struct {
	Targets []string   `json:"targets"`
	Labels  hostLabels `json:"labels"`
}

// hostLabels contains the labels that are used. Other labels are ignored.
type hostLabels struct {
	Name       string    `json:"name"`
	Kind       HostKind  `json:"kind"`
	DataCentre string    `json:"data_centre"`
	State      HostState `json:"state"`
	Service    string    `json:"service"`
}

const stepHosts = "hosts.list"

// Hosts returns the platform's current host list, which lags behind the state of the hosts.
func (l *HostList) Hosts(ctx context.Context) ([]Host, error) {
	etag, last := l.cached()
	k := call{step: stepHosts, method: http.MethodGet, path: "/hosts"}
	if etag != "" {
		k.header = http.Header{"If-None-Match": {etag}}
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
	l.etag, l.last = header.Get("ETag"), slices.Clone(hosts)
	return hosts, nil
}

// cached returns the entity tag of the latest list and a copy of the list.
func (l *HostList) cached() (string, []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.etag, slices.Clone(l.last)
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

// host converts a target group. It rejects values that could cause requests to be sent to a wrong
// server.
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
