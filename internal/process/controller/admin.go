package controller

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"persimmonwing/internal/version/order"
)

// Status is the body of GET /status.
type Status struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Stopping   bool   `json:"stopping"`
	// Active reports whether this controller currently may send orders in its own
	// data centre.
	Active bool `json:"active"`
	// Holder and Fencing are the holder and the fencing number of the lease of the
	// controller's own data centre, as last read.
	Holder  string `json:"holder"`
	Fencing int64  `json:"fencing"`
	// Leases lists the leases of all data centres with engines.
	Leases []order.LeaseStatus `json:"leases"`
	// Revision is the known catalogue revision; 0 before the first one.
	Revision int64 `json:"revision"`
	// Orders is the sum of the last reconciliation rounds of all data centres; it
	// is zero without a lease.
	Orders order.Progress `json:"orders"`
}

// Status returns the current state.
func (c *Controller) Status() Status {
	s := Status{
		Name:       c.opts.Name,
		DataCentre: c.opts.DataCentre,
		Stopping:   c.stopping.Load(),
		Leases:     c.leases(),
	}
	for _, l := range s.Leases {
		if l.DataCentre == c.opts.DataCentre {
			s.Active, s.Holder, s.Fencing = l.Held, l.Holder, l.Fencing
		}
	}
	for _, w := range c.allWorkers() {
		s.Orders = s.Orders.Add(w.reconciler.Progress())
	}
	if snapshot := c.catalogue.Current(); snapshot != nil {
		s.Revision = snapshot.Revision
	}
	return s
}

// router returns the handler of the admin address.
func (c *Controller) router() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }).Methods(http.MethodGet)
	r.HandleFunc("/readyz", c.readyz).Methods(http.MethodGet)
	r.HandleFunc("/metrics", c.serveMetrics).Methods(http.MethodGet)
	r.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(c.Status())
	}).Methods(http.MethodGet)
	return r
}

// readyz succeeds without a lease too, because a controller on standby is ready.
func (c *Controller) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case c.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case c.catalogue.Current() == nil:
		http.Error(w, "no catalogue revision is known yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (c *Controller) serveMetrics(w http.ResponseWriter, r *http.Request) {
	s := c.Status()
	active := int64(0)
	for _, l := range s.Leases {
		if l.Held {
			active++
		}
	}
	for name, value := range map[string]int64{
		"lease.active":         active,
		"lease.fencing":        s.Fencing,
		"catalogue.revision":   s.Revision,
		"orders.differing":     int64(s.Orders.Differing),
		"orders.pending_loads": int64(s.Orders.PendingLoads),
		"engines.listed":       int64(s.Orders.Engines),
	} {
		c.metrics.Gauge(name).Update(value)
	}
	c.metrics.Handler().ServeHTTP(w, r)
}
