package gateway

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

	"persimmonwing/internal/connection/engine"
	"persimmonwing/internal/connection/peer"
	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/connection/service"
	"persimmonwing/internal/process/daemon"
	"persimmonwing/internal/process/limits"
	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/owner"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/claim"
	"persimmonwing/internal/version/catalogue"
	"persimmonwing/internal/version/revision"
)

// Main runs a whole gateway with all its parts until ctx ends, then stops it
// gracefully.
func Main(ctx context.Context, o *Options, logger log.Logger) error {
	p, err := newProcess(o, logger)
	if err != nil {
		return err
	}
	listeners, err := daemon.Listen(o.Listen, o.AdminListen, o.PeerListen)
	if err != nil {
		return err
	}
	return p.run(ctx, listeners[0], listeners[1], listeners[2])
}

// process is a gateway with the parts that live as long as it.
type process struct {
	opts     *Options
	logger   log.Logger
	metrics  *telemetry.Metrics
	holder   *revision.Holder
	pool     *peer.Pool
	server   *peer.Server
	gossiper *membership.Gossiper
	syncer   *revision.Syncer
	manager  *owner.Manager
	claims   *claim.Store
	sweeper  *claim.Sweeper
	limits   *limits.Limiter
	division *limits.Exchange
	services *service.Client
	observed *observed
	loads    *engine.Loads
	gateway  *Gateway
	// found is set once backend servers were discovered.
	found atomic.Bool
}

func newProcess(o *Options, logger log.Logger) (*process, error) {
	p := &process{opts: o, logger: logger, metrics: telemetry.New(), holder: new(revision.Holder), limits: limits.New()}
	p.pool = peer.NewPool([]byte(o.PeerSecret), peer.DialFrom(o.PeerListen))
	p.services = service.New(&http.Client{Transport: engine.NewTransport()})
	engines := engine.New(&http.Client{Transport: engine.NewTransport()})
	platformHTTP := &http.Client{Transport: engine.NewTransport()}
	table := platform.NewTable(o.Platform.TableURL, platformHTTP, o.Platform.Timeout)
	objects := platform.NewObjects(o.Platform.ObjectURL, platformHTTP, o.Platform.Timeout)
	hosts := platform.NewHostList(o.Platform.HostsURL, &http.Client{Transport: platform.Compressed(engine.NewTransport())}, o.Platform.Timeout)
	p.observed = newObserved(hosts, prober{p.services})
	p.gossiper = p.newGossiper()
	p.division = &limits.Exchange{
		Self: o.Name, Limiter: p.limits, Division: limits.NewDivision(), View: p.gossiper, Caller: p.pool,
		Logger: logging.Part(logger, "limits"),
	}
	p.holder.Subscribe(func(*catalogue.Snapshot) { p.gossiper.Push() })
	p.syncer = p.newSyncer(revision.Store{Table: table, Objects: objects})
	p.loads = engine.NewLoads(engines)
	p.manager = p.newManager(p.loads)
	claimOptions := claim.DefaultOptions()
	claimOptions.Logger = logging.Part(logger, "claim")
	claimOptions.Collectors = p.claimCollectors
	claimOptions.Caller = p.pool
	p.claims = claim.NewStore(table, claimOptions)
	p.sweeper = claim.NewSweeper(table, claim.SweepOptions{Elected: p.sweeps, Start: p.anyWorkspace, Logger: claimOptions.Logger})
	if err := p.newServer(); err != nil {
		return nil, err
	}
	var err error
	p.gateway, err = New(o, Deps{
		Scheduler:     p.manager,
		Catalogue:     p.holder,
		Backends:      freshBackends{p.gossiper},
		Engines:       engineClient{engines},
		Services:      p.services,
		Claims:        p.claims,
		Limits:        p.limits,
		Metrics:       p.metrics,
		Logger:        logger,
		Discovered:    p.discovered,
		StatusSources: []StatusSource{p.status},
		BackendSource: p.backends,
	})
	return p, err
}

func (p *process) newServer() error {
	var err error
	if p.server, err = peer.NewServer([]byte(p.opts.PeerSecret), logging.Part(p.logger, "peer")); err != nil {
		return err
	}
	return errors.Join(
		p.server.Register(membership.ServiceName, p.gossiper.Service()),
		p.server.Register(owner.ServiceName, p.manager.Service()),
		p.server.Register(owner.SuspectsServiceName, p.manager.Suspects()),
		p.server.Register(limits.ServiceName, p.division.Service()),
		p.server.Register(catalogueServiceName, &catalogueService{p.holder}),
		p.server.Register(claim.ServiceName, p.claims.Service()),
	)
}

// sharePeriod is the time between two looks at the number of live gateways.
const sharePeriod = time.Second

// keepShares adjusts this gateway's share of rate limits to the live gateways
// and the limits to the catalogue.
func (p *process) keepShares(ctx context.Context) error {
	tick := time.NewTicker(sharePeriod)
	defer tick.Stop()
	for {
		if s := p.holder.Current(); s != nil {
			p.limits.Retain(s.Catalogue)
		}
		p.limits.SetShare(1 / float64(max(1, p.gossiper.Gateways())))
		p.metrics.Gauge("catalogue_revision").Update(p.holder.Number())
		p.metrics.Gauge("peer_bytes_in").Update(p.pool.Traffic().In() + p.server.Traffic().In())
		p.metrics.Gauge("peer_bytes_out").Update(p.pool.Traffic().Out() + p.server.Traffic().Out())
		claims := p.claims.Stats()
		p.metrics.Gauge("claim_transactions").Update(claims.Transactions)
		p.metrics.Gauge("claim_batches_forwarded").Update(claims.Forwarded)
		p.metrics.Gauge("claim_rows_deleted").Update(p.sweeper.Deleted())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// run serves until ctx ends. The background parts outlive the requests in
// progress; the groups owned here go to other gateways first.
func (p *process) run(ctx context.Context, callers, admin, peers net.Listener) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wait sync.WaitGroup
	for name, f := range map[string]func(context.Context) error{
		"peer server":  func(context.Context) error { return p.server.Serve(peers) },
		"gossip":       p.gossiper.Run,
		"host list":    func(c context.Context) error { return p.gossiper.PollHosts(c, p.observed) },
		"applications": func(c context.Context) error { return p.gossiper.PollApplications(c, p.observed) },
		"catalogue":    p.syncer.Run,
		"scheduler":    p.manager.Run,
		"claims":       p.claims.Run,
		"retention":    p.sweeper.Run,
		"shares":       p.keepShares,
		"limits":       p.division.Run,
	} {
		wait.Go(func() {
			if err := f(background); err != nil && background.Err() == nil {
				_ = level.Error(p.logger).Log("part", "gateway", "msg", "background part ended", "name", name, "err", err)
			}
		})
	}
	leaving := context.AfterFunc(ctx, func() { p.leave(background) })
	err := p.gateway.Run(ctx, callers, admin)
	leaving()
	p.drainClaims(background)
	stop()
	p.pool.Close()
	p.server.Close()
	wait.Wait()
	p.loads.Close()
	return err
}

// claimDrainTimeout bounds the wait for queued outcomes of calls at a stop. It is
// longer than the longest back-off between two attempts of a write.
const claimDrainTimeout = 10 * time.Second

// drainClaims writes the outcomes of calls that could not be written so far.
func (p *process) drainClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimDrainTimeout)
	defer cancel()
	if err := p.claims.Drain(ctx); err != nil {
		_ = level.Warn(p.logger).Log("part", "gateway", "msg", "stopping without the outcome of some calls", "err", err)
	}
}

// leaveTimeout bounds telling peers of a graceful stop.
const leaveTimeout = time.Second

// leave hands the owned groups to other gateways.
func (p *process) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	p.gossiper.Leave(ctx)
}
