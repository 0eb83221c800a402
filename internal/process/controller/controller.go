// Package controller implements the controller process: it acquires the leases of
// data centres and orders their engines to load the models and adapters that the
// catalogue configures.
package controller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/version/order"
)

// Controller is one controller. It has a worker for each data centre with engines.
type Controller struct {
	opts                  *Options
	logger                log.Logger
	metrics               *telemetry.Metrics
	catalogue             order.Catalogue
	catalogueCheckedSince func(time.Time) bool
	table                 order.Table
	engines               order.Engines
	hostList              *hostList
	leaseOptions          order.LeaseOptions
	stopping              atomic.Bool

	mu      sync.Mutex
	workers map[string]*worker
}

// New returns a controller that Run starts. The options must be valid.
func New(o *Options, d Deps, logger log.Logger) *Controller {
	return &Controller{
		opts:                  o,
		logger:                logging.Part(logger, "controller"),
		metrics:               telemetry.New(),
		catalogue:             d.Catalogue,
		catalogueCheckedSince: d.CatalogueCheckedSince,
		table:                 d.Table,
		engines:               d.Engines,
		hostList:              &hostList{list: d.Hosts},
		leaseOptions:          d.Lease,
		workers:               map[string]*worker{},
	}
}

// Main runs a controller with connections to the real platform and engines until ctx
// ends, then stops it gracefully.
func Main(ctx context.Context, o *Options, logger log.Logger) error {
	var c *Controller
	deps, syncer := connect(o, func() bool { return c.active() }, logger)
	c = New(o, deps, logger)
	listener, err := net.Listen("tcp", o.AdminListen)
	if err != nil {
		return eris.Wrap(err, "listen for admin requests")
	}
	var wait sync.WaitGroup
	defer wait.Wait()
	syncCtx, stop := context.WithCancel(ctx)
	defer stop()
	wait.Go(func() { _ = syncer.Run(syncCtx) })
	return c.Run(ctx, listener)
}

// Time limits of the admin server. shutdownTimeout also bounds the release of the
// leases.
const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 5 * time.Second
)

// Run runs the workers and the admin server until ctx ends or one of them fails. It
// then finishes the orders in flight and releases the leases.
func (c *Controller) Run(ctx context.Context, listener net.Listener) error {
	var group run.Group
	add := func(part func(context.Context) error) {
		partCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		group.Add(func() error { return part(partCtx) }, func(error) { cancel() })
	}
	group.Add(func() error { <-ctx.Done(); return nil }, func(error) { c.stopping.Store(true) })
	add(c.runWorkers)
	server := &http.Server{Handler: c.router(), ReadHeaderTimeout: headerTimeout}
	group.Add(func() error { return server.Serve(listener) }, func(error) { c.shutdown(server) })
	level.Info(c.logger).Log("msg", "controller started", "name", c.opts.Name, "admin", listener.Addr())
	err := group.Run()
	c.release(ctx)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return eris.Wrap(err, "run controller")
}

func (c *Controller) shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}
