package partition

import (
	"context"
	"net"
	"net/http"
	"slices"

	"github.com/go-kit/log"
	"github.com/gorilla/mux"
	"github.com/oklog/run"

	"persimmonwing/internal/process/standin/serve"
)

// Run forwards all routes and serves the control address until ctx ends.
func Run(ctx context.Context, s *Settings, logger log.Logger) error {
	f := NewForwarder(s.Callers, logger)
	var group run.Group
	for _, r := range s.Routes {
		l, err := net.Listen("tcp", r.Listen)
		if err != nil {
			return err
		}
		group.Add(func() error { return f.Serve(r, l) }, func(error) { _ = l.Close() })
	}
	ctx, stop := context.WithCancel(ctx)
	group.Add(func() error { return serve.ListenAndServe(ctx, logger, s.Control, f.handler(), func() {}) }, func(error) { stop() })
	err := group.Run()
	f.Close()
	return err
}

// handler returns the control API. PUT /cuts/{name} with a Cut sets the cut of that
// name, and a Cut without a kind heals it.
func (f *Forwarder) handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/cuts/{name}", func(w http.ResponseWriter, r *http.Request) {
		var c Cut
		if !serve.ReadJSON(w, r, &c) {
			return
		}
		if c.Kind != "" && !slices.Contains(kinds, c.Kind) {
			http.Error(w, "kind: use drop, reset, answers or delay, or leave it empty to heal the cut", http.StatusBadRequest)
			return
		}
		f.Set(mux.Vars(r)["name"], c)
	}).Methods(http.MethodPut)
	return r
}
