package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/connection/engine"
	"persimmonwing/internal/connection/peer"
	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/connection/service"
	"persimmonwing/internal/process/coldrights"
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

// memoryFraction is the fraction of the process's memory that is used as the soft memory limit of the Go runtime. Above
// it, the garbage collector runs more often.
const memoryFraction = 0.6

// Main runs a gateway with all its components until ctx ends, then shuts it down
// gracefully.
func Main(ctx context.Context, o *Options, logger log.Logger) error {
	debug.SetMemoryLimit(int64(memoryFraction * float64(o.MemoryMB) * (1 << 20)))
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

// process is a gateway with all the components of its process.
type process struct {
	opts         *Options
	logger       log.Logger
	metrics      *telemetry.Metrics
	holder       *revision.Holder
	pool         *peer.Pool
	server       *peer.Server
	gossiper     *membership.Gossiper
	syncer       *revision.Syncer
	manager      *owner.Manager
	claims       *claim.Store
	sweeper      *claim.Sweeper
	limits       *limits.Limiter
	division     *limits.Exchange
	services     *service.Client
	hostObserver *hostObserver
	loads        *engine.Loads
	gateway      *Gateway
	evacuations  evacuations
	coldServers  *coldServers
	// coldShown are the services whose numbers of cold servers the gauges show.
	coldShown map[string]int64
	// discoveryDone is set once engines have been discovered or discoveryTimeout has
	// passed.
	discoveryDone atomic.Bool
}

func newProcess(o *Options, logger log.Logger) (*process, error) {
	p := &process{opts: o, logger: logger, metrics: telemetry.New(), holder: new(revision.Holder), limits: limits.New()}
	p.pool = peer.NewPool(peer.NewSecrets([]byte(o.PeerSecret)), peer.DialFrom(o.PeerListen))
	p.services = service.New(&http.Client{Transport: engine.NewTransport()})
	engines := engine.New(&http.Client{Transport: engine.NewTransport()})
	platformHTTP := &http.Client{Transport: engine.NewTransport()}
	table := platform.NewTable(o.Platform.TableURL, platformHTTP, o.Platform.Timeout)
	objects := platform.NewObjects(o.Platform.ObjectURL, platformHTTP, o.Platform.Timeout)
	hosts := platform.NewHostList(o.Platform.HostsURL, &http.Client{Transport: platform.EnableCompression(engine.NewTransport())}, o.Platform.Timeout)
	hosts.ObserveInvalid(func(err error) {
		_ = level.Warn(logging.Part(logger, "membership")).Log("msg", "ignoring invalid host", "err", err)
	})
	p.hostObserver = newHostObserver(hosts, prober{p.services})
	p.gossiper = p.newGossiper()
	p.coldServers = p.newColdServers(table)
	engines.ObserveCold, p.services.ObserveCold = p.gossiper.NoteCold, p.gossiper.NoteCold
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
	p.sweeper = claim.NewSweeper(table, claim.SweepOptions{Elected: p.deletesExpiredClaims, Start: p.randomWorkspace, Logger: claimOptions.Logger})
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
		CrashGuard:    p.manager,
		Claims:        p.claims,
		Limits:        p.limits,
		Metrics:       p.metrics,
		Logger:        logger,
		Discovered:    p.discovered,
		StatusSources: []StatusSource{p.status},
		BackendSource: p.backends,
		Cold:          p.coldServers,
		ColdSource:    p.listCold,
	})
	if err != nil {
		return nil, err
	}
	p.holder.Subscribe(p.applyEvacuations)
	return p, nil
}

func (p *process) newServer() error {
	var err error
	if p.server, err = peer.NewServer(peer.NewSecrets([]byte(p.opts.PeerSecret)), logging.Part(p.logger, "peer")); err != nil {
		return err
	}
	return errors.Join(
		p.server.Register(membership.ServiceName, p.gossiper.Service()),
		p.server.Register(owner.ServiceName, p.manager.Service()),
		p.server.Register(owner.SuspectsServiceName, p.manager.Suspects()),
		p.server.Register(limits.ServiceName, p.division.Service()),
		p.server.Register(catalogueServiceName, &catalogueService{p.holder}),
		p.server.Register(claim.ServiceName, p.claims.Service()),
		p.server.Register(coldrights.ServiceName, p.coldServers.issuer.RPC()),
	)
}

// shareInterval is the interval at which the rate limit share and the gauges are
// updated.
const shareInterval = time.Second

// runShares periodically sets this gateway's share of the rate limits from the number
// of live gateways, drops the state of workspaces and entries that are no longer in
// the catalogue, and updates the gauges.
func (p *process) runShares(ctx context.Context) error {
	tick := time.NewTicker(shareInterval)
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
		p.updateColdGauges()
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

// run serves until ctx ends. On shutdown it first hands the owned groups to other
// gateways. The background tasks keep running until all requests in progress have
// finished.
func (p *process) run(ctx context.Context, callers, admin, peers net.Listener) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wait sync.WaitGroup
	for name, f := range map[string]func(context.Context) error{
		"peer server":  func(context.Context) error { return p.server.Serve(peers) },
		"gossip":       p.gossiper.Run,
		"host list":    func(c context.Context) error { return p.gossiper.PollHosts(c, p.hostObserver) },
		"applications": func(c context.Context) error { return p.gossiper.PollApplications(c, p.hostObserver) },
		"catalogue":    p.syncer.Run,
		"scheduler":    p.manager.Run,
		"claims":       p.claims.Run,
		"retention":    p.sweeper.Run,
		"shares":       p.runShares,
		"limits":       p.division.Run,
		"cold servers": p.coldServers.issuer.Run,
	} {
		wait.Go(func() {
			if err := f(background); err != nil && background.Err() == nil {
				_ = level.Error(p.logger).Log("part", "gateway", "msg", "background task failed", "name", name, "err", err)
			}
		})
	}
	cancelLeave := context.AfterFunc(ctx, func() { p.leave(background) })
	err := p.gateway.Run(ctx, callers, admin)
	cancelLeave()
	p.drainClaims(background)
	stop()
	p.pool.Close()
	p.server.Close()
	wait.Wait()
	p.loads.Close()
	return err
}

// claimDrainTimeout bounds the time for which a shutdown waits for queued call
// outcomes to be written. It exceeds the longest back-off between two write attempts.
const claimDrainTimeout = 10 * time.Second

// drainClaims writes the call outcomes that are still queued.
func (p *process) drainClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimDrainTimeout)
	defer cancel()
	if err := p.claims.Drain(ctx); err != nil {
		_ = level.Warn(p.logger).Log("part", "gateway", "msg", "stopping without the outcome of some calls", "err", err)
	}
}

// leaveTimeout bounds the announcement of a graceful shutdown to peers.
const leaveTimeout = time.Second

// leave announces the shutdown to peers, which take over the owned groups.
func (p *process) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	p.gossiper.Leave(ctx)
}
