package gateway

import (
	"net/http"

	"github.com/gorilla/mux"

	"persimmonwing/internal/process/evacuation"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// Status is the body of GET /status.
type Status struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	Stopping   bool   `json:"stopping"`
	Policy     string `json:"policy"`
	// Revision is the current catalogue revision; 0 before the first one is loaded.
	Revision int64 `json:"revision"`
	// LivePeers is the number of live gateways, including this one.
	LivePeers         int      `json:"live_peers"`
	GroupsOwned       int      `json:"groups_owned"`
	Groups            []string `json:"groups,omitempty"`
	PlatformReachable bool     `json:"platform_reachable"`
	InProgress        int64    `json:"in_progress"`
	// Evacuated are the evacuated data centres, with the revision in which this gateway saw them first.
	Evacuated []evacuation.Evacuation `json:"evacuated,omitempty"`
}

// StatusSource fills in the fields of a Status that another component provides.
type StatusSource func(*Status)

// adminRouter returns the handler of the admin listener.
func (g *Gateway) adminRouter() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }).Methods(http.MethodGet)
	r.HandleFunc("/readyz", g.readyz).Methods(http.MethodGet)
	r.Handle("/metrics", g.metrics.Handler()).Methods(http.MethodGet)
	r.HandleFunc("/status", g.status).Methods(http.MethodGet)
	r.HandleFunc("/backends", g.listBackends).Methods(http.MethodGet)
	r.HandleFunc("/cold", g.listCold).Methods(http.MethodGet)
	r.HandleFunc("/usage", g.usage).Methods(http.MethodGet)
	r.HandleFunc("/explain/{id}", g.explainRequest).Methods(http.MethodGet)
	return r
}

func (g *Gateway) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := g.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReady returns the reason why the load balancer must not send requests to this
// gateway, or "" if the gateway is ready.
func (g *Gateway) notReady() string {
	switch {
	case g.stopping.Load():
		return "stopping"
	case g.catalogue.Current() == nil:
		return "no catalogue revision is known yet"
	case g.discovered != nil && !g.discovered():
		return "no backend server is known yet"
	default:
		return ""
	}
}

func (g *Gateway) status(w http.ResponseWriter, _ *http.Request) {
	s := Status{
		Name:       g.opts.Name,
		DataCentre: g.opts.DataCentre,
		Stopping:   g.stopping.Load(),
		Ready:      g.notReady() == "",
		Policy:     g.opts.Policy,
		InProgress: g.inProgress.Load(),
	}
	if snapshot := g.catalogue.Current(); snapshot != nil {
		s.Revision = snapshot.Revision
	}
	for _, add := range g.statusSources {
		add(&s)
	}
	writeJSON(w, http.StatusOK, s)
}

func (g *Gateway) explainRequest(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	view, ok := g.explain.Find(id)
	if !ok {
		e := fault.New(fault.UnknownResponse, "explain", g.opts.Name, api.NotRun, "request %.64q is not among the latest requests of this gateway", id)
		writeJSON(w, http.StatusNotFound, e.Body(id))
		return
	}
	writeJSON(w, http.StatusOK, view)
}
