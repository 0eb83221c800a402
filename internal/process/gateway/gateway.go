// Package gateway is the daemon that serves callers: it authenticates them,
// gets a replica from the scheduler, relays streams and routes service calls.
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
	"persimmonwing/internal/process/health"
	"persimmonwing/internal/process/limits"
	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/explain"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/request/responseid"
)

// Retry budget of each backend server: 10% of its recent successes and 3
// without any.
const (
	retryRatio   = 0.1
	retryReserve = 3
)

// Deps are the parts that a gateway works with.
type Deps struct {
	Scheduler Scheduler
	Catalogue Catalogue
	Backends  Backends
	Engines   Engines
	Services  Services
	Claims    Claims
	Limits    *limits.Limiter
	Metrics   *telemetry.Metrics
	Logger    log.Logger
	// Discovered reports whether the gateway has found backend servers since its
	// start or has waited long enough for them; nil means always.
	Discovered func() bool
	// StatusSources complete the answer of /status.
	StatusSources []StatusSource
	// BackendSource lists all backend servers known, for /backends; nil means none.
	BackendSource func() []adminapi.Backend
}

// Gateway serves callers and operators over HTTP.
type Gateway struct {
	opts          *Options
	scheduler     Scheduler
	catalogue     Catalogue
	backends      Backends
	engines       Engines
	services      Services
	claims        Claims
	limits        *limits.Limiter
	metrics       *telemetry.Metrics
	logger        log.Logger
	discovered    func() bool
	statusSources []StatusSource
	backendSource func() []adminapi.Backend

	ids         *responseid.Codec
	explain     *explain.Log
	retryBudget *health.Budget
	serviceSets serviceSets
	connections connections
	stopping    atomic.Bool
	inProgress  atomic.Int64
}

// New returns a gateway with valid options.
func New(o *Options, d Deps) (*Gateway, error) {
	ids, err := responseid.NewCodec(o.ResponseKeys)
	if err != nil {
		return nil, err
	}
	return &Gateway{
		opts:          o,
		scheduler:     d.Scheduler,
		catalogue:     d.Catalogue,
		backends:      d.Backends,
		engines:       d.Engines,
		services:      d.Services,
		claims:        d.Claims,
		limits:        d.Limits,
		metrics:       d.Metrics,
		logger:        logging.Part(d.Logger, "gateway"),
		discovered:    d.Discovered,
		statusSources: d.StatusSources,
		backendSource: d.BackendSource,
		ids:           ids,
		explain:       explain.NewLog(explain.DefaultRecords),
		retryBudget:   health.NewBudget(retryRatio, retryReserve),
	}, nil
}

// CallerHandler serves the callers' interface.
func (g *Gateway) CallerHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/responses", g.authenticated(api.NotRun, g.createResponse)).Methods(http.MethodPost)
	r.HandleFunc("/v1/responses/{id}", g.authenticated(api.Unknown, g.resumeResponse)).Methods(http.MethodGet)
	r.HandleFunc("/v1/responses/{id}/cancel", g.authenticated(api.Unknown, g.cancelResponse)).Methods(http.MethodPost)
	r.HandleFunc("/v1/services/{entry}", g.authenticated(api.NotRun, g.callService))
	r.HandleFunc("/v1/services/{entry}/{rest:.*}", g.authenticated(api.NotRun, g.callService))
	r.NotFoundHandler = g.unrouted(fault.UnknownPath)
	r.MethodNotAllowedHandler = g.unrouted(fault.MethodNotAllowed)
	return g.countInProgress(r)
}

func (g *Gateway) countInProgress(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.inProgress.Add(1)
		defer g.inProgress.Add(-1)
		if g.stopping.Load() {
			// The client opens its next connection at another gateway.
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// adminReadTimeout bounds requests of operators.
const adminReadTimeout = 5 * time.Second

// callerIdleTimeout bounds how long a connection stays open without a request.
const callerIdleTimeout = 2 * time.Minute

// Run serves until ctx ends, then finishes every request in progress and
// returns. The deadlines of the entries bound the time that takes.
func (g *Gateway) Run(ctx context.Context, callers, admin net.Listener) error {
	callerServer := &http.Server{
		Handler:           g.CallerHandler(),
		ReadHeaderTimeout: g.opts.HTTP.HeaderTimeout,
		MaxHeaderBytes:    g.opts.HTTP.MaxHeaderBytes,
		IdleTimeout:       callerIdleTimeout,
		ConnState:         g.connections.observe,
	}
	callers = &closeOnce{Listener: callers}
	adminServer := &http.Server{Handler: g.adminRouter(), ReadHeaderTimeout: adminReadTimeout, ReadTimeout: adminReadTimeout}
	failed := make(chan error, 2)
	go func() { failed <- callerServer.Serve(callers) }()
	go func() { failed <- adminServer.Serve(admin) }()
	_ = level.Info(g.logger).Log("msg", "serving", "callers", callers.Addr(), "admin", admin.Addr())
	select {
	case err := <-failed:
		return errors.Join(err, callerServer.Close(), adminServer.Close())
	case <-ctx.Done():
	}
	return errors.Join(g.drain(callerServer, callers), adminServer.Close())
}
