package gateway

import (
	"net/http"

	"github.com/gorilla/mux"

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
	// Revision is the catalogue revision in force; 0 before the first one.
	Revision int64 `json:"revision"`
	// LivePeers counts the live gateways, this one included.
	LivePeers         int      `json:"live_peers"`
	GroupsOwned       int      `json:"groups_owned"`
	Groups            []string `json:"groups,omitempty"`
	PlatformReachable bool     `json:"platform_reachable"`
	InProgress        int64    `json:"in_progress"`
}

// StatusSource adds what other parts of the process know to a status.
type StatusSource func(*Status)

// adminRouter serves operators.
func (g *Gateway) adminRouter() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }).Methods(http.MethodGet)
	r.HandleFunc("/readyz", g.readyz).Methods(http.MethodGet)
	r.Handle("/metrics", g.metrics.Handler()).Methods(http.MethodGet)
	r.HandleFunc("/status", g.status).Methods(http.MethodGet)
	r.HandleFunc("/explain/{id}", g.explainRequest).Methods(http.MethodGet)
	return r
}

// ready reports whether callers should be sent here.
func (g *Gateway) ready() bool {
	return !g.stopping.Load() && g.catalogue.Current() != nil && (g.discovered == nil || g.discovered())
}

func (g *Gateway) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case g.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case g.catalogue.Current() == nil:
		http.Error(w, "no catalogue revision is known yet", http.StatusServiceUnavailable)
	case !g.ready():
		http.Error(w, "no backend servers are known yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (g *Gateway) status(w http.ResponseWriter, _ *http.Request) {
	s := Status{
		Name:       g.opts.Name,
		DataCentre: g.opts.DataCentre,
		Stopping:   g.stopping.Load(),
		Ready:      g.ready(),
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
