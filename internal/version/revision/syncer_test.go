package revision

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/version/catalogue"
)

const gatewaysPerCentre = 3

// cluster is two data centres of gateways that gossip every second.
type cluster struct {
	*fakePlatform
	gateways []*fakeGateway
	// noPlatform and noPeers cut a data centre off.
	noPlatform, noPeers [2]bool
	// oldAnswer delays answers of peers, so that older ones arrive after newer.
	oldAnswer time.Duration
	problem   string
}

// fakeGateway is one gateway and also the Peer by which others fetch from it.
type fakeGateway struct {
	*Syncer
	c      *cluster
	index  int
	cancel context.CancelFunc
}

func newCluster() *cluster {
	c := &cluster{fakePlatform: newFake(), gateways: make([]*fakeGateway, 2*gatewaysPerCentre)}
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

// boot starts a gateway without any state in place i, ending the one there.
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
	for sleep(ctx, time.Second) {
		for _, o := range g.c.all() {
			if o == nil || o == g || !g.c.linked(g, o) {
				continue
			}
			o.HearRevision(fmt.Sprint(g.index), g.Holder.Number())
			if age, ok := g.Confirmed(); ok && o.centre() == g.centre() {
				o.HearConfirmation(g.Holder.Number(), age)
			}
		}
	}
}

// peerLink is a link from one gateway to another.
type peerLink struct{ from, to *fakeGateway }

func (p peerLink) Name() string { return fmt.Sprint(p.to.index) }

func (p peerLink) FetchNewer(ctx context.Context, known int64) (Revision, []byte, bool, error) {
	if !p.from.c.linked(p.from, p.to) {
		<-ctx.Done()
		return Revision{}, nil, false, ctx.Err()
	}
	r, body, ok := p.to.Holder.Newer(known)
	time.Sleep(p.from.c.oldAnswer * time.Duration(p.to.index))
	return r, body, ok, nil
}

// platformLink is the link of a gateway to the platform. A cut link stalls.
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

// allAt returns a problem unless every gateway is ready with this revision.
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

// Guards against an accepted edit that isn't in force within 5 s, or a gateway
// that is ready without a revision, in each way of losing the platform.
func TestSyncFaults(t *testing.T) {
	edit := func(c *cluster, base int64) {
		e := c.editor()
		// The wall clock of each operator jumps; it must not matter.
		e.Now = func() time.Time { return time.Unix(1e9-base*1e6, 0) }
		if _, err := e.Apply(context.Background(), base, body(int(base)), "ann", "m"); err != nil {
			c.problem = err.Error()
		}
	}
	cases := map[string]func(c *cluster) string{
		"plain": func(c *cluster) string {
			edit(c, 1)
			time.Sleep(5 * time.Second)
			return c.allAt(2)
		},
		"platform out right after acceptance": func(c *cluster) string {
			edit(c, 1)
			c.cut(0, true, false) // only data centre 1 has seen it
			time.Sleep(1200 * time.Millisecond)
			c.set(true)
			time.Sleep(3800 * time.Millisecond)
			return c.allAt(2)
		},
		"data centre cut off, then healed": func(c *cluster) string {
			c.cut(1, true, true)
			edit(c, 1)
			time.Sleep(time.Minute)
			if n := c.gateways[5].Holder.Number(); n != 1 {
				return fmt.Sprintf("revision %d crossed the cut", n)
			}
			c.cut(1, false, false)
			time.Sleep(5 * time.Second)
			return c.allAt(2)
		},
		"elected pollers lost": func(c *cluster) string {
			c.stop(0)
			c.stop(1)
			c.cut(0, false, true)
			edit(c, 1)
			time.Sleep(5 * time.Second)
			if n := c.gateways[2].Holder.Number(); n != 2 {
				return fmt.Sprintf("the gateway without pollers is at %d", n)
			}
			return ""
		},
		"start while the platform is out": func(c *cluster) string {
			c.set(true)
			c.boot(4)
			time.Sleep(5 * time.Second)
			return c.allAt(1)
		},
		"start with neither": func(c *cluster) string {
			c.set(true)
			for i := range c.gateways {
				c.stop(i)
			}
			for i := range c.gateways {
				c.boot(i)
			}
			time.Sleep(time.Minute)
			for i, g := range c.gateways {
				if g.Ready() {
					return fmt.Sprintf("gateway %d is ready without a revision", i)
				}
			}
			c.set(false)
			time.Sleep(5 * time.Second)
			return c.allAt(1)
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster()
				edit(c, 0)
				c.run(func() {
					time.Sleep(5 * time.Second)
					if problem := c.allAt(1) + steps(c); problem != "" {
						t.Error(problem)
					}
				})
			})
		})
	}
}

// Guards against a peer that moves a gateway back or gives it another body.
func TestHolderRefuses(t *testing.T) {
	is := is.New(t)
	h := &Holder{}
	good := func(n int64) Revision { return Revision{Number: n, Digest: catalogue.Digest(body(int(n)))} }
	done, err := h.Accept(good(5), body(5))
	is.NoErr(err)
	is.True(done)
	done, err = h.Accept(good(4), body(4))
	is.NoErr(err)
	is.True(!done) // older
	done, _ = h.Accept(Revision{Number: 5, Digest: good(6).Digest}, body(6))
	is.True(!done) // same number
	_, err = h.Accept(good(6), body(7))
	is.True(errors.Is(err, ErrDigest))
	bad := []byte("workspaces: []")
	_, err = h.Accept(Revision{Number: 6, Digest: catalogue.Digest(bad)}, bad)
	var invalid *catalogue.InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(h.Number(), int64(5))
}

// Guards against a revision that decreases at a gateway, and one that isn't in
// force everywhere 5 s after the last fault is healed, over any order of edits,
// cuts, outages, restarts and crossed answers.
func TestSyncProperty(t *testing.T) {
	type step struct{ what, centre, wait int }
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{rapid.IntRange(0, 5).Draw(t, "what"), rapid.IntRange(0, 1).Draw(t, "centre"), rapid.IntRange(0, 2500).Draw(t, "wait ms")}
	}), 1, 12)
	rapid.Check(t, func(rt *rapid.T) {
		plan := steps.Draw(rt, "steps")
		var problem string
		synctest.Test(t, func(*testing.T) {
			c := newCluster()
			c.oldAnswer = 250 * time.Millisecond
			head := int64(0)
			c.run(func() {
				for _, s := range append([]step{{what: 0}}, plan...) {
					switch s.what {
					case 0, 1:
						if _, err := apply(c.editor(), head, int(head)); err == nil {
							head++
						}
					case 2:
						c.cut(s.centre, s.wait%2 == 0, s.wait%3 == 0)
					case 3:
						c.set(s.wait%2 == 0)
					case 4:
						c.boot(s.centre*gatewaysPerCentre + s.wait%gatewaysPerCentre)
					case 5:
						c.cut(s.centre, false, false)
					}
					time.Sleep(time.Duration(s.wait) * time.Millisecond)
				}
				c.set(false)
				c.cut(0, false, false)
				c.cut(1, false, false)
				time.Sleep(5 * time.Second)
				problem = c.allAt(head)
			})
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}
