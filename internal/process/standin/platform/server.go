package platform

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/gorilla/mux"

	"persimmonwing/internal/connection/platform/etcdjson"
	"persimmonwing/internal/process/daemon"
	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/standin/serve"
)

// Server is a stand-in for the platform.
type Server struct {
	settings   *Settings
	middleware *middleware
	hosts      *hostList
	router     *mux.Router
}

// New returns a server. The settings must be valid.
func New(s *Settings) *Server {
	srv := &Server{
		settings:   s,
		middleware: newMiddleware(s),
		hosts:      newHostList(s.Hosts, s.HostListLag, time.Now),
		router:     mux.NewRouter().UseEncodedPath(),
	}
	srv.routeServices()
	srv.routeControl()
	return srv
}

// Main runs the standin-platform binary and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	s := DefaultSettings()
	command := daemon.Command{
		Name:     "standin-platform",
		Settings: s,
		Log:      func() (logging.Options, string) { return s.Log, "standin-platform" },
		Run: func(ctx context.Context, l log.Logger) error {
			return serve.ListenAndServe(ctx, logging.Part(l, "platform"), s.Listen, New(s), func() {})
		},
	}
	return command.Main(args, stdout, stderr)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.middleware.set(f)
	s.hosts.freeze(f.HostListFrozen)
}

// Counters returns the counters since the start.
func (s *Server) Counters() Counters { return s.middleware.counters() }

func (s *Server) routeServices() {
	t, o := newTable(), newObjects()
	s.handle(http.MethodPost, etcdjson.PathRange, readCall, t.serveRange)
	s.handle(http.MethodPost, etcdjson.PathTxn, writeCall, t.serveTxn)
	const object = "/objects/{bucket}/{key:.+}"
	s.handle(http.MethodPut, object, writeCall, o.put)
	s.handle(http.MethodGet, object, readCall, o.get)
	s.handle(http.MethodHead, object, readCall, o.get)
	s.handle(http.MethodGet, "/hosts", readCall, s.hosts.serveList)
	s.handle(http.MethodGet, "/weights/{name}", weightCall, serveWeights)
}

func (s *Server) handle(method, path string, k callKind, h http.HandlerFunc) {
	s.router.HandleFunc(path, s.middleware.wrap(k, h)).Methods(method)
}

func (s *Server) routeControl() {
	s.router.HandleFunc("/control/faults", s.serveFaults).Methods(http.MethodPut)
	s.router.HandleFunc("/control/counters", s.serveCounters).Methods(http.MethodGet)
	s.router.HandleFunc("/control/hosts", s.hosts.servePut).Methods(http.MethodPut)
	s.router.HandleFunc("/control/hosts/{name}/state", s.hosts.serveState).Methods(http.MethodPut)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if serve.ReadJSON(w, r, &f) {
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Server) serveCounters(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, s.Counters())
}

// maxWeightBytes is the maximum size of the response to one weight read.
const maxWeightBytes = 1 << 30

// defaultWeightBytes is the size of the response if the query requests none.
const defaultWeightBytes = 64 << 10

// serveWeights responds with as many zero bytes as the query parameter bytes
// requests, or with defaultWeightBytes if it is missing.
func serveWeights(w http.ResponseWriter, r *http.Request) {
	n, err := int64(defaultWeightBytes), error(nil)
	if text := r.URL.Query().Get("bytes"); text != "" {
		n, err = strconv.ParseInt(text, 10, 64)
	}
	if err != nil || n < 0 || n > maxWeightBytes {
		http.Error(w, "bytes: give a number from 0 to "+strconv.Itoa(maxWeightBytes), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	_, _ = io.CopyN(w, zeros{}, n)
}

// zeros is an infinite reader of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
