// Package controller is the controller process: it holds leases and orders
// engines to load what the catalogue says.
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

// Controller is one controller. It has a unit for each data centre with engines.
type Controller struct {
	opts         *Options
	logger       log.Logger
	metrics      *telemetry.Metrics
	catalogue    order.Catalogue
	since        func(time.Time) bool
	table        order.Table
	engines      order.Engines
	sites        *sites
	leaseOptions order.LeaseOptions
	stopping     atomic.Bool

	mu    sync.Mutex
	units map[string]*unit
}

// New returns a controller with valid options. Run runs it.
func New(o *Options, d Deps, logger log.Logger) *Controller {
	return &Controller{
		opts:         o,
		logger:       logging.Part(logger, "controller"),
		metrics:      telemetry.New(),
		catalogue:    d.Catalogue,
		since:        d.CatalogueSince,
		table:        d.Table,
		engines:      d.Engines,
		sites:        &sites{list: d.Hosts},
		leaseOptions: d.Lease,
		units:        map[string]*unit{},
	}
}

// Main runs a whole controller until ctx ends, then stops it gracefully.
func Main(ctx context.Context, o *Options, logger log.Logger) error {
	var c *Controller
	deps, syncer := connect(o, func() bool { return c.active() }, logger)
	c = New(o, deps, logger)
	listener, err := net.Listen("tcp", o.AdminListen)
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	var wait sync.WaitGroup
	defer wait.Wait()
	syncCtx, stop := context.WithCancel(ctx)
	defer stop()
	wait.Go(func() { _ = syncer.Run(syncCtx) })
	return c.Run(ctx, listener)
}

// Bounds of the admin server.
const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 5 * time.Second
)

// Run works until ctx ends or a part fails. It then finishes the orders in
// flight and gives its leases up.
func (c *Controller) Run(ctx context.Context, listener net.Listener) error {
	var group run.Group
	add := func(part func(context.Context) error) {
		partCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		group.Add(func() error { return part(partCtx) }, func(error) { cancel() })
	}
	group.Add(func() error { <-ctx.Done(); return nil }, func(error) { c.stopping.Store(true) })
	add(c.runUnits)
	server := &http.Server{Handler: c.router(), ReadHeaderTimeout: headerTimeout}
	group.Add(func() error { return server.Serve(listener) }, func(error) { c.shutdown(server) })
	level.Info(c.logger).Log("msg", "controller runs", "name", c.opts.Name, "admin", listener.Addr())
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
