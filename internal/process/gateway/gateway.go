// Package gateway implements the daemon that serves callers: it authenticates them,
// acquires a replica from the scheduler for each generation, relays event streams and
// routes service calls.
package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"

	"persimmonwing/internal/process/adminapi"
	"persimmonwing/internal/process/admission"
	"persimmonwing/internal/process/daemon"
	"persimmonwing/internal/process/health"
	"persimmonwing/internal/process/limits"
	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/explain"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/request/pause"
	"persimmonwing/internal/request/responseid"
)

// Retry budget of each backend server: 10% of its recent successes, plus 3 retries
// that need no successes.
const (
	retryRatio   = 0.1
	retryReserve = 3
)

// Deps are the components that a Gateway depends on.
type Deps struct {
	Scheduler Scheduler
	Catalogue Catalogue
	Backends  Backends
	Engines   Engines
	Services  Services
	// CrashGuard may be nil, so that no call is refused.
	CrashGuard CrashGuard
	Claims     Claims
	Limits     *limits.Limiter
	Metrics    *telemetry.Metrics
	Logger     log.Logger
	// Discovered reports whether the gateway has discovered backend servers since
	// its start or has waited the maximum time for them; nil means always true.
	Discovered func() bool
	// StatusSources fill in the response of GET /status.
	StatusSources []StatusSource
	// BackendSource returns all known backend servers for GET /backends; nil means
	// none.
	BackendSource func() []adminapi.Backend
	// Cold bounds the requests to servers that are cold; nil means that nothing is bounded.
	Cold ColdServers
	// ColdSource returns the servers that are cold for GET /cold; nil means none.
	ColdSource func() []adminapi.ColdServer
}

// Gateway serves the caller API and the admin API over HTTP.
type Gateway struct {
	opts          *Options
	scheduler     Scheduler
	catalogue     Catalogue
	backends      Backends
	engines       Engines
	services      Services
	crashGuard    CrashGuard
	claims        Claims
	limits        *limits.Limiter
	metrics       *telemetry.Metrics
	logger        log.Logger
	discovered    func() bool
	statusSources []StatusSource
	backendSource func() []adminapi.Backend
	cold          ColdServers
	coldSource    func() []adminapi.ColdServer

	ids         *responseid.Codec
	explain     *explain.Log
	retryBudget *health.Budget
	serviceSets serviceSets
	connections connections
	stopping    atomic.Bool
	inProgress  atomic.Int64
}

// New returns a gateway. It assumes valid options, and returns an error only for
// invalid response keys.
func New(o *Options, d Deps) (*Gateway, error) {
	ids, err := responseid.NewCodec(o.ResponseKeys)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		opts:          o,
		scheduler:     d.Scheduler,
		catalogue:     d.Catalogue,
		backends:      d.Backends,
		engines:       d.Engines,
		services:      d.Services,
		crashGuard:    d.CrashGuard,
		claims:        d.Claims,
		limits:        d.Limits,
		metrics:       d.Metrics,
		logger:        logging.Part(d.Logger, "gateway"),
		discovered:    d.Discovered,
		statusSources: d.StatusSources,
		backendSource: d.BackendSource,
		cold:          d.Cold,
		coldSource:    d.ColdSource,
		ids:           ids,
		explain:       explain.NewLog(explain.DefaultRecords),
		retryBudget:   health.NewBudget(retryRatio, retryReserve),
	}
	g.connections.Budget = admission.NewBudget(o.Callers.Limits(int64(o.MemoryMB)<<20, daemon.Descriptors()))
	return g, nil
}

// CallerHandler returns the handler of the caller API.
func (g *Gateway) CallerHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/responses", g.authenticated(api.NotRun, g.createResponse)).Methods(http.MethodPost)
	r.HandleFunc("/v1/responses/{id}", g.authenticated(api.Unknown, g.resumeResponse)).Methods(http.MethodGet)
	r.HandleFunc("/v1/responses/{id}/cancel", g.authenticated(api.Unknown, g.cancelResponse)).Methods(http.MethodPost)
	r.HandleFunc("/v1/services/{entry}", g.authenticated(api.NotRun, g.callService))
	r.HandleFunc("/v1/services/{entry}/{rest:.*}", g.authenticated(api.NotRun, g.callService))
	r.NotFoundHandler = g.rejectUnrouted(fault.UnknownPath)
	r.MethodNotAllowedHandler = g.rejectUnrouted(fault.MethodNotAllowed)
	// Callers open their next connection to another gateway.
	return g.countInProgress(daemon.CloseAfterAnswers(r, g.stopping.Load))
}

func (g *Gateway) countInProgress(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.inProgress.Add(1)
		defer g.inProgress.Add(-1)
		g.connections.lastRequest.Store(time.Now().UnixNano())
		next.ServeHTTP(w, r)
	})
}

// callersReportPeriod is the time between two reports of callers that had to give way.
const callersReportPeriod = time.Second

// reportCallers reports what callers hold until ctx ends.
func (g *Gateway) reportCallers(ctx context.Context) {
	r := daemon.NewCallerReport(g.connections.Budget, g.metrics, g.logger)
	for pause.For(ctx, callersReportPeriod) == nil {
		r.Update()
	}
}

// callerIdleTimeout is the time after which an idle caller connection is closed.
const callerIdleTimeout = 2 * time.Minute

// Run serves callers and operators until ctx ends, then shuts down gracefully: it
// returns after every request in progress has finished, which the entries' timeouts
// bound.
func (g *Gateway) Run(ctx context.Context, callers, admin net.Listener) error {
	callerServer := &http.Server{
		Handler:           g.CallerHandler(),
		ReadHeaderTimeout: g.opts.HTTP.HeaderTimeout,
		MaxHeaderBytes:    g.opts.HTTP.MaxHeaderBytes,
		IdleTimeout:       callerIdleTimeout,
	}
	g.connections.Track(callerServer)
	callers = &closeOnce{Listener: callers}
	adminServer := daemon.OperatorServer(g.adminRouter())
	report, stopReport := context.WithCancel(context.Background())
	defer stopReport()
	go g.reportCallers(report)
	failed := make(chan error, 2)
	go func() { failed <- g.connections.Serve(callerServer, callers) }()
	go func() { failed <- adminServer.Serve(daemon.BoundConnections(admin)) }()
	_ = level.Info(g.logger).Log("msg", "serving", "callers", callers.Addr(), "admin", admin.Addr())
	select {
	case err := <-failed:
		return errors.Join(err, callerServer.Close(), adminServer.Close())
	case <-ctx.Done():
	}
	return errors.Join(g.drain(callerServer, callers), adminServer.Close())
}
