package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
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
	// onInvalid is set by ObserveInvalid, and invalid is what it was last called with.
	onInvalid func(error)
	invalid   string
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
	hosts, invalid, err := parseHosts(body)
	if err != nil {
		return nil, NewError(stepHosts, l.caller.base, ErrNotApplied, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag, l.last = header.Get("ETag"), slices.Clone(hosts)
	if text := fmt.Sprint(invalid); text != l.invalid && l.onInvalid != nil {
		l.invalid = text
		for _, err := range invalid {
			l.onInvalid(NewError(stepHosts, l.caller.base, ErrNotApplied, err))
		}
	}
	return hosts, nil
}

// ObserveInvalid sets a function that is called for each invalid host of a list, once as long as the
// invalid hosts of the list stay the same. It must be set before the first call of Hosts.
func (l *HostList) ObserveInvalid(f func(error)) { l.onInvalid = f }

// cached returns the entity tag of the latest list and a copy of the list.
func (l *HostList) cached() (string, []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.etag, slices.Clone(l.last)
}

// parseHosts returns the valid hosts of a list, and an error for each of the others, which must not
// hide them.
func parseHosts(body []byte) (hosts []Host, invalid []error, err error) {
	elements, err := splitArray(body)
	if err != nil {
		return nil, nil, err
	}
	for i, element := range elements {
		var g targetGroup
		err := json.Unmarshal(element, &g)
		if err == nil {
			var h Host
			if h, err = g.host(); err == nil {
				hosts = append(hosts, h)
				continue
			}
		}
		invalid = append(invalid, fmt.Errorf("host %d of the list is ignored: %w", i, err))
	}
	return hosts, invalid, nil
}

var errNoArray = errors.New("the list is not a JSON array")

// splitArray returns the elements of a JSON array without decoding them: encoding/json refuses a whole
// document in which one value is nested too deep.
func splitArray(body []byte) ([][]byte, error) {
	body = bytes.TrimSpace(body)
	if len(body) < 2 || body[0] != '[' || body[len(body)-1] != ']' {
		return nil, errNoArray
	}
	body = body[1 : len(body)-1]
	if len(bytes.TrimSpace(body)) == 0 {
		return nil, nil
	}
	var out [][]byte
	depth, begin, inText, escaped := 0, 0, false, false
	for i, b := range body {
		switch {
		case escaped:
			escaped = false
		case inText:
			escaped = b == '\\'
			inText = b != '"'
		case b == '"':
			inText = true
		case b == '[' || b == '{':
			depth++
		case b == ']' || b == '}':
			depth--
		case b == ',' && depth == 0:
			out = append(out, body[begin:i])
			begin = i + 1
		}
		if depth < 0 {
			return nil, errNoArray
		}
	}
	if depth != 0 || inText {
		return nil, errNoArray
	}
	return append(out, body[begin:]), nil
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
	case !isHostName(l.Name):
		return Host{}, fmt.Errorf("host name %.100q is not allowed", l.Name)
	case !hasPort(g.Targets[0]):
		return Host{}, fmt.Errorf("host %q: target %.100q has no port from 1 to 65535", l.Name, g.Targets[0])
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

// isHostName reports whether a text can be the name of a host.
func isHostName(name string) bool {
	return name != "" && strings.IndexFunc(name, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}

func hasPort(target string) bool {
	host, port, err := net.SplitHostPort(target)
	number, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && host != "" && portErr == nil && number > 0
}
