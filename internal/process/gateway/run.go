package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
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
	"persimmonwing/internal/process/limits"
	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/owner"
	"persimmonwing/internal/process/schedule"
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
	listeners, err := listen(o.Listen, o.AdminListen, o.PeerListen)
	if err != nil {
		return err
	}
	return p.run(ctx, listeners[0], listeners[1], listeners[2])
}

// listen opens all listeners or none.
func listen(addresses ...string) ([]net.Listener, error) {
	var open []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			for _, o := range open {
				_ = o.Close()
			}
			return nil, err
		}
		open = append(open, l)
	}
	return open, nil
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
	limits   *limits.Limiter
	hosts    *platform.HostList
	services *service.Client
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
	p.hosts = platform.NewHostList(o.Platform.HostsURL, &http.Client{Transport: platform.Compressed(engine.NewTransport())}, o.Platform.Timeout)
	p.gossiper = p.newGossiper()
	p.syncer = p.newSyncer(revision.Store{Table: table, Objects: objects})
	p.manager = p.newManager(engines)
	claimOptions := claim.DefaultOptions()
	claimOptions.Logger = logging.Part(logger, "claim")
	p.claims = claim.NewStore(table, claimOptions)
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
	})
	return p, err
}

// sharedSource draws from the runtime's generator, which is safe for concurrent use.
type sharedSource struct{}

// Uint64 implements rand.Source.
func (sharedSource) Uint64() uint64 { return rand.Uint64() }

// sharedRand may be used by all parts at once, because a rand.Rand has no state
// besides its source.
var sharedRand = rand.New(sharedSource{})

func (p *process) newGossiper() *membership.Gossiper {
	return membership.NewGossiper(membership.Options{
		Self: membership.Host{
			Name:        p.opts.Name,
			DataCentre:  p.opts.DataCentre,
			PeerAddress: p.opts.peerAddress(),
			Incarnation: time.Now().UnixMilli(),
		},
		Seeds:    p.opts.Peers,
		Caller:   p.pool,
		Logger:   logging.Part(p.logger, "membership"),
		Rand:     sharedRand,
		Revision: p.holder.Number,
		Draining: func() []string {
			if s := p.holder.Current(); s != nil {
				return s.Draining
			}
			return nil
		},
		Changed: p.hearRevision,
	})
}

// hearRevision fetches a newer catalogue revision as soon as gossip tells of it.
func (p *process) hearRevision() {
	if number, address := p.gossiper.NewestRevision(); number > p.holder.Number() {
		p.syncer.HearRevision(address, number)
	}
}

// purposeCatalogue elects the pollers of the catalogue's head.
const purposeCatalogue = "catalogue"

func (p *process) newSyncer(store revision.Store) *revision.Syncer {
	return revision.NewSyncer(revision.SyncerConfig{
		Holder: p.holder,
		Source: store,
		Peers:  p.cataloguePeers,
		Poller: func() bool { return p.gossiper.Polls(purposeCatalogue) },
		Logger: logging.Part(p.logger, "catalogue"),
		Rand:   sharedRand,
	})
}

// cataloguePeers lists the live gateways, and the seeds until any is known.
func (p *process) cataloguePeers() []revision.Peer {
	var peers []revision.Peer
	for _, g := range p.gossiper.Live() {
		if g.Name != p.opts.Name {
			peers = append(peers, cataloguePeer{address: g.PeerAddress, caller: p.pool})
		}
	}
	if len(peers) > 0 {
		return peers
	}
	for _, a := range p.opts.Peers {
		if a != p.opts.peerAddress() {
			peers = append(peers, cataloguePeer{address: a, caller: p.pool})
		}
	}
	return peers
}

func (p *process) newManager(loads owner.LoadSource) *owner.Manager {
	return owner.New(owner.Options{
		Policy:     owner.Policy(p.opts.Policy),
		View:       p.gossiper,
		Caller:     p.pool,
		Loads:      loads,
		Logger:     logging.Part(p.logger, "scheduler"),
		NewGroup:   func(k schedule.GroupKey) owner.Group { return schedule.NewGroup(k, p.groupOptions()) },
		PickGroup:  pickGroup,
		ShardCount: schedule.ShardCount,
		ShardOf:    schedule.ShardOf,
		Floors: func() (backgroundFloor, urgentReserve float64) {
			s := p.holder.Current()
			if s == nil {
				s = &catalogue.Snapshot{Catalogue: &catalogue.Catalogue{}}
			}
			return s.BackgroundFloor, s.UrgentReserve
		},
	})
}

// pickGroup chooses a group; requests choose concurrently.
func pickGroup(candidates []schedule.Summary, r schedule.Request, localDataCentre string) (schedule.GroupKey, bool) {
	return schedule.PickGroup(candidates, r, localDataCentre, sharedRand)
}

func (p *process) groupOptions() schedule.Options {
	return schedule.Options{
		Owner:             p.opts.Name,
		Policy:            schedule.Policy(p.opts.Policy),
		NoMemoryAdmission: p.opts.disabled("memory"),
		NoClasses:         p.opts.disabled("classes"),
		NoFairness:        p.opts.disabled("fairness"),
		NoBatchBound:      p.opts.disabled("batch_bound"),
		NoAffinity:        p.opts.disabled("affinity"),
		QueueBound:        p.opts.Queue.MaxWaiting,
	}
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
		p.server.Register(catalogueServiceName, &catalogueService{p.holder}),
	)
}

// sharePeriod is the time between two looks at the number of live gateways.
const sharePeriod = time.Second

// keepShares adjusts this gateway's share of rate limits to the live gateways.
func (p *process) keepShares(ctx context.Context) error {
	tick := time.NewTicker(sharePeriod)
	defer tick.Stop()
	for {
		p.limits.SetShare(1 / float64(max(1, len(p.gossiper.Live()))))
		p.metrics.Gauge("catalogue_revision").Update(p.holder.Number())
		p.metrics.Gauge("peer_bytes_in").Update(p.pool.Traffic().In() + p.server.Traffic().In())
		p.metrics.Gauge("peer_bytes_out").Update(p.pool.Traffic().Out() + p.server.Traffic().Out())
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
		"host list":    func(c context.Context) error { return p.gossiper.PollHosts(c, p.hosts) },
		"applications": func(c context.Context) error { return p.gossiper.PollApplications(c, prober{p.services}) },
		"catalogue":    p.syncer.Run,
		"scheduler":    p.manager.Run,
		"claims":       p.claims.Run,
		"shares":       p.keepShares,
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
	stop()
	p.pool.Close()
	p.server.Close()
	wait.Wait()
	return err
}

// leaveTimeout bounds telling peers of a graceful stop.
const leaveTimeout = time.Second

// leave hands the owned groups to other gateways.
func (p *process) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	p.gossiper.Leave(ctx)
}
