package platform

import (
	"compress/gzip"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"persimmonwing/internal/process/standin/serve"
)

// hostList serves the host list with a lag, in the format of Prometheus HTTP
// service discovery.
type hostList struct {
	mu  sync.Mutex
	lag time.Duration
	now func() time.Time
	// versions are sorted by time. The first one is visible, or frozen instead
	// while Faults.HostListFrozen is set.
	versions []hostVersion
	frozen   []Host
}

type hostVersion struct {
	since time.Time
	hosts []Host
}

// targetGroup is one element of a response of Prometheus HTTP service discovery.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// newHostList returns a list with initial hosts, which are visible at once,
// without the lag.
func newHostList(hosts []Host, lag time.Duration, now func() time.Time) *hostList {
	return &hostList{lag: lag, now: now, versions: []hostVersion{{hosts: hosts}}}
}

// visible returns the hosts to serve now and drops older versions. The caller
// must hold mu.
func (l *hostList) visible() []Host {
	if l.frozen != nil {
		return l.frozen
	}
	limit := l.now().Add(-l.lag)
	for len(l.versions) > 1 && !l.versions[1].since.After(limit) {
		l.versions = l.versions[1:]
	}
	return l.versions[0].hosts
}

func (l *hostList) freeze(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !on {
		l.frozen = nil
		return
	}
	l.frozen = slices.Concat([]Host{}, l.visible())
}

// replace adds a new version of the complete list.
func (l *hostList) replace(hosts []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(hosts)
}

func (l *hostList) add(hosts []Host) {
	l.versions = append(l.versions, hostVersion{since: l.now(), hosts: hosts})
}

// setState adds a version in which the named host has this state. It returns
// false if the host is unknown.
func (l *hostList) setState(name, state string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := slices.Clone(l.versions[len(l.versions)-1].hosts)
	i := slices.IndexFunc(hosts, func(h Host) bool { return h.Name == name })
	if i < 0 {
		return false
	}
	hosts[i].State = state
	l.add(hosts)
	return true
}

func (l *hostList) serveList(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	hosts := l.visible()
	l.mu.Unlock()
	groups := make([]targetGroup, 0, len(hosts))
	for _, h := range hosts {
		groups = append(groups, targetGroup{Targets: []string{h.Address}, Labels: labels(h)})
	}
	// The tag is weak, because the plain and the compressed body
	// have the same tag.
	tag := fmt.Sprintf(`W/"%x"`, xxhash.Sum64String(fmt.Sprint(hosts)))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		serve.WriteJSON(w, http.StatusOK, groups)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	defer compressed.Close()
	serve.WriteJSON(gzipResponseWriter{w, compressed}, http.StatusOK, groups)
}

// gzipResponseWriter is an http.ResponseWriter that writes the response body to
// a compressor.
type gzipResponseWriter struct {
	http.ResponseWriter
	body io.Writer
}

// Write implements http.ResponseWriter.
func (p gzipResponseWriter) Write(b []byte) (int, error) { return p.body.Write(b) }

func labels(h Host) map[string]string {
	m := map[string]string{"name": h.Name, "kind": h.Kind, "data_centre": h.DataCentre, "state": h.State}
	if h.Service != "" {
		m["service"] = h.Service
	}
	return m
}

// servePut handles PUT /control/hosts, whose body is the complete list.
func (l *hostList) servePut(w http.ResponseWriter, r *http.Request) {
	var hosts []Host
	if !serve.ReadJSON(w, r, &hosts) {
		return
	}
	if err := checkHosts(hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.replace(hosts)
	w.WriteHeader(http.StatusNoContent)
}

// hostStateBody is the body of PUT /control/hosts/{name}/state.
type hostStateBody struct {
	State string `json:"state"`
}

func (l *hostList) serveState(w http.ResponseWriter, r *http.Request) {
	var body hostStateBody
	if !serve.ReadJSON(w, r, &body) {
		return
	}
	if err := checkState("state", body.State); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !l.setState(mux.Vars(r)["name"], body.State) {
		http.Error(w, "unknown host", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
