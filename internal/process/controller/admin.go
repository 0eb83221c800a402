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
	// Active tells whether this controller may send orders in its own data
	// centre now.
	Active bool `json:"active"`
	// Holder and Fencing are those of the own data centre's lease as last seen.
	Holder  string `json:"holder"`
	Fencing int64  `json:"fencing"`
	// Leases are those of all data centres with engines.
	Leases []order.LeaseStatus `json:"leases"`
	// Revision is the catalogue revision known; 0 before the first one.
	Revision int64 `json:"revision"`
	// Orders sums up the last rounds; it is zero without a lease.
	Orders order.Progress `json:"orders"`
}

// Status returns the present state.
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
	for _, u := range c.allUnits() {
		s.Orders = s.Orders.Plus(u.reconciler.Progress())
	}
	if snapshot := c.catalogue.Current(); snapshot != nil {
		s.Revision = snapshot.Revision
	}
	return s
}

// router serves operators.
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

// readyz succeeds at a controller without a lease too: it stands by.
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
