package revision

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/request/pause"
	"persimmonwing/internal/version/catalogue"
)

const gatewaysPerCentre = 3

// cluster simulates two data centres of gateways that gossip every second.
type cluster struct {
	*fakePlatform
	gateways []*fakeGateway
	// noPlatform and noPeers disconnect a data centre from the platform and from the
	// other data centre.
	noPlatform, noPeers [2]bool
	// responseDelay delays the responses of peers in proportion to their index, so that
	// older responses arrive after newer ones.
	responseDelay time.Duration
	problem       string
}

// fakeGateway is one gateway of a cluster. Other gateways fetch from it through a
// peerLink.
type fakeGateway struct {
	*Syncer
	c      *cluster
	index  int
	cancel context.CancelFunc
}

func newCluster() *cluster {
	c := &cluster{fakePlatform: newFakePlatform(), gateways: make([]*fakeGateway, 2*gatewaysPerCentre)}
	return c
}

func (g *fakeGateway) centre() int { return g.index / gatewaysPerCentre }

func (c *cluster) all() []*fakeGateway {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.gateways)
}

func (c *cluster) linked(a, b *fakeGateway) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return a.centre() == b.centre() || !c.noPeers[a.centre()] && !c.noPeers[b.centre()]
}

// boot starts a gateway without state at index i, after stopping the gateway that runs
// there.
func (c *cluster) boot(i int) {
	c.stop(i)
	ctx, cancel := context.WithCancel(context.Background())
	g := &fakeGateway{c: c, index: i, cancel: cancel}
	g.Syncer = NewSyncer(SyncerConfig{
		Holder: &Holder{}, Source: platformLink{g, c.editor().Store}, Logger: log.NewNopLogger(),
		Poller: func() bool { return i%gatewaysPerCentre < 2 },
		Peers: func() (peers []Peer) {
			for _, o := range c.all() {
				if o != nil && o != g {
					peers = append(peers, peerLink{g, o})
				}
			}
			return peers
		},
		Rand: rand.New(rand.NewPCG(1, uint64(i))),
	})
	last := int64(0)
	g.Holder.Subscribe(func(s *catalogue.Snapshot) {
		if s.Revision <= last {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.problem = fmt.Sprintf("gateway %d went from revision %d to %d", i, last, s.Revision)
		}
		last = s.Revision
	})
	c.mu.Lock()
	c.gateways[i] = g
	c.mu.Unlock()
	go g.Run(ctx)
	go g.gossip(ctx)
}

func (c *cluster) stop(i int) {
	if g := c.all()[i]; g != nil {
		g.cancel()
		synctest.Wait()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.gateways[i] = nil
	}
}

func (g *fakeGateway) gossip(ctx context.Context) {
	for pause.For(ctx, time.Second) == nil {
		for _, o := range g.c.all() {
			if o == nil || o == g || !g.c.linked(g, o) {
				continue
			}
			o.ObserveRevision(fmt.Sprint(g.index), g.Holder.Number())
			if revision, age, ok := g.Confirmed(); ok {
				o.ObserveConfirmation(revision, time.Now().Add(-age))
			}
		}
	}
}

// peerLink is the Peer by which one gateway fetches from another. A request over a cut
// link blocks until its context ends.
type peerLink struct{ from, to *fakeGateway }

func (p peerLink) Name() string { return fmt.Sprint(p.to.index) }

func (p peerLink) FetchNewer(ctx context.Context, known int64) (Revision, []byte, bool, error) {
	if !p.from.c.linked(p.from, p.to) {
		<-ctx.Done()
		return Revision{}, nil, false, ctx.Err()
	}
	r, body, ok := p.to.Holder.Newer(known)
	time.Sleep(p.from.c.responseDelay * time.Duration(p.to.index))
	return r, body, ok, nil
}

// platformLink is the Source of a gateway. A read of the head over a cut link blocks
// until its context ends.
type platformLink struct {
	g *fakeGateway
	Store
}

func (p platformLink) Head(ctx context.Context) (Revision, error) {
	p.g.c.mu.Lock()
	cut := p.g.c.noPlatform[p.g.centre()]
	p.g.c.mu.Unlock()
	if cut {
		<-ctx.Done()
		return Revision{}, ctx.Err()
	}
	return p.Store.Head(ctx)
}

func (c *cluster) cut(centre int, platform, peers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noPlatform[centre], c.noPeers[centre] = platform, peers
}

// allAt returns the empty string if every gateway is ready with revision want, and
// otherwise a description of the problem.
func (c *cluster) allAt(want int64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, g := range c.gateways {
		if c.problem == "" && (!g.Ready() || g.Holder.Number() != want) {
			c.problem = fmt.Sprintf("gateway %d: ready %v, revision %d, want %d", i, g.Ready(), g.Holder.Number(), want)
		}
	}
	return c.problem
}

func (c *cluster) run(steps func()) {
	for i := range c.gateways {
		c.boot(i)
	}
	steps()
	for i := range c.gateways {
		c.stop(i)
	}
}
