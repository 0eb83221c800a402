package app

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/gorilla/mux"
	"github.com/oklog/ulid/v2"

	"persimmonwing/internal/process/balance"
	"persimmonwing/internal/process/daemon"
	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/standin/serve"
	"persimmonwing/internal/request/api"
)

// HeaderCallID is the header with the call id under which runs are counted. If
// it is missing, the Idempotency-Key header is used.
const (
	HeaderCallID         = "X-Call-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// Answer is the response body of a call that ran.
type Answer struct {
	Server string `json:"server"`
	Call   string `json:"call"`
	// Runs is how often this server has run this call, this run included.
	Runs int    `json:"runs"`
	Path string `json:"path"`
}

// Server is a stand-in for an application server.
type Server struct {
	settings    *Settings
	incarnation string
	faults      *faultState
	router      *mux.Router
	// stopped is cancelled at shutdown. It ends calls that a freeze blocks.
	stopped context.Context
	stop    context.CancelFunc

	mu       sync.Mutex
	running  int
	draining bool
	runs     map[string]int
}

// New returns a server. The settings must be valid.
func New(s *Settings) *Server {
	srv := &Server{
		settings:    s,
		incarnation: ulid.Make().String(),
		faults:      newFaultState(),
		router:      mux.NewRouter().SkipClean(true),
		runs:        map[string]int{},
	}
	srv.stopped, srv.stop = context.WithCancel(context.Background())
	srv.router.HandleFunc("/control/faults", srv.serveFaults).Methods(http.MethodPut)
	srv.router.HandleFunc("/control/runs", srv.serveRuns).Methods(http.MethodGet)
	srv.router.HandleFunc("/v1/load", srv.serveLoad).Methods(http.MethodGet)
	srv.router.PathPrefix("/").HandlerFunc(srv.serveCall)
	return srv
}

// Main runs the standin-app binary and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	s := DefaultSettings()
	command := daemon.Command{
		Name:     "standin-app",
		Settings: s,
		Log:      func() (logging.Options, string) { return s.Log, s.Name },
		Run: func(ctx context.Context, l log.Logger) error {
			srv := New(s)
			return serve.ListenAndServe(ctx, logging.Part(l, "app"), s.Listen, srv, srv.Drain)
		},
	}
	return command.Main(args, stdout, stderr)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(api.HeaderServerCold, strconv.FormatInt(s.faults.coldLeft(), 10))
	s.router.ServeHTTP(w, r)
}

// Drain refuses new calls, waits for Settings.DrainNotice and then ends the calls
// that a freeze blocks.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	time.Sleep(s.settings.DrainNotice)
	s.stop()
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) { s.faults.set(f) }

// Runs returns the number of runs of each call by call id.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if serve.ReadJSON(w, r, &f) {
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, s.Runs())
}

func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	if !s.faults.waitUntilThawed(r.Context()) {
		serve.Abort()
	}
	s.mu.Lock()
	report := api.LoadReport{
		Name:         s.settings.Name,
		Running:      s.running,
		Draining:     s.draining || s.faults.current().Drain,
		ColdLeftMS:   s.faults.coldLeft(),
		Incarnation:  s.incarnation,
		ReportedAtMS: time.Now().UnixMilli(),
	}
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, report)
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !s.faults.waitUntilThawed(s.stopped) {
		serve.Abort()
	}
	fault := s.faults.nextFault()
	if fault == resetBefore {
		serve.Abort()
	}
	if fault == errorWithBody {
		s.stateLoad(w)
		writeNotRun(w, "overloaded")
		return
	}
	if code := s.beginCall(); code != "" {
		s.stateLoad(w)
		writeNotRun(w, code)
		return
	}
	defer s.endCall()
	a := s.run(r)
	s.stateLoad(w)
	switch fault {
	case resetAfter:
		serve.Abort()
	case errorWithoutBody:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		serve.WriteJSON(w, http.StatusOK, a)
	}
}

// beginCall counts the call as running and returns "". If the call is refused,
// it returns the error code instead.
func (s *Server) beginCall() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.draining || s.faults.current().Drain:
		return "draining"
	case s.settings.MaxConcurrent > 0 && s.running >= s.settings.MaxConcurrent:
		return "overloaded"
	}
	s.running++
	return ""
}

// stateLoad states the load in the response's header, unless the server runs any number of calls at once.
func (s *Server) stateLoad(w http.ResponseWriter) {
	if s.settings.MaxConcurrent == 0 {
		return
	}
	s.mu.Lock()
	load := balance.Statement{Running: s.running, Slots: s.settings.MaxConcurrent, Slowdown: 1}
	s.mu.Unlock()
	w.Header().Set(api.HeaderServerLoad, load.Format())
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// run runs a call. A call is counted when it starts, because it has an effect even if
// its connection breaks.
func (s *Server) run(r *http.Request) Answer {
	call := r.Header.Get(HeaderCallID)
	if call == "" {
		call = r.Header.Get(headerIdempotencyKey)
	}
	s.mu.Lock()
	s.runs[call]++
	a := Answer{Server: s.settings.Name, Call: call, Runs: s.runs[call], Path: r.URL.Path}
	s.mu.Unlock()
	time.Sleep(s.settings.Delay + time.Duration(s.faults.current().DelayMS)*time.Millisecond)
	return a
}

func writeNotRun(w http.ResponseWriter, code string) {
	body := api.ErrorBody{Error: api.Error{Code: code, Message: "the call was not run", Execution: api.NotRun}}
	serve.WriteJSON(w, http.StatusServiceUnavailable, body)
}
