package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/version/catalogue"
	"persimmonwing/internal/version/revision"
)

// fakeDataCentre is a data centre of in-memory gateways that follow one catalogue head.
type fakeDataCentre struct {
	head    atomic.Int64
	reads   atomic.Int64
	gossip  map[string]*membership.Service
	syncers []*revision.Syncer
	// noConfirmations removes confirmations from gossip, and gossipCut makes all gossip
	// fail.
	noConfirmations bool
	gossipCut       atomic.Bool
	// fetch lets gateways fetch bodies from peers.
	fetch bool
	// bodiesFetched counts the bodies that were fetched from peers.
	bodiesFetched atomic.Int64
}

// transferTime is the simulated time to transfer and parse a body.
const transferTime = 200 * time.Millisecond

// fakePeer is a gateway as a source of revisions for the others.
type fakePeer struct {
	name          string
	holder        *revision.Holder
	bodiesFetched *atomic.Int64
}

func (p fakePeer) Name() string { return p.name }

func (p fakePeer) FetchNewer(_ context.Context, known int64) (revision.Revision, []byte, bool, error) {
	r, body, newer := p.holder.Newer(known)
	time.Sleep(transferTime)
	if newer {
		p.bodiesFetched.Add(1)
	}
	return r, body, newer, nil
}

func bodyOf(number int64) []byte {
	return fmt.Appendf(nil, "workspaces:\n  - name: one\n    weight: %d\n    key_digests: [sha256:%s]\n", number, strings.Repeat("0", 64))
}

func revisionOf(number int64) revision.Revision {
	return revision.Revision{Number: number, Digest: catalogue.Digest(bodyOf(number))}
}

func (c *fakeDataCentre) Head(context.Context) (revision.Revision, error) {
	c.reads.Add(1)
	return revisionOf(c.head.Load()), nil
}

func (c *fakeDataCentre) Body(_ context.Context, digest string) ([]byte, error) {
	time.Sleep(transferTime)
	for n := c.head.Load(); n > 0; n-- {
		if revisionOf(n).Digest == digest {
			return bodyOf(n), nil
		}
	}
	return nil, errors.New("no such body")
}

// Call implements membership.Caller.
func (c *fakeDataCentre) Call(_ context.Context, address, _ string, args, reply any) error {
	if c.gossipCut.Load() {
		return errors.New("cut")
	}
	time.Sleep(time.Millisecond)
	return c.gossip[address].Exchange(args.(*membership.Message), reply.(*membership.Message))
}

func (c *fakeDataCentre) run(ctx context.Context, gateways int) {
	c.head.Store(1)
	c.gossip = map[string]*membership.Service{}
	var peers []revision.Peer
	var start []func() // called when all gateways exist, since each reads the list of them
	for i := range gateways {
		name := fmt.Sprint("gateway-", i)
		holder := new(revision.Holder)
		peers = append(peers, fakePeer{name, holder, &c.bodiesFetched})
		var syncer *revision.Syncer
		var g *membership.Gossiper
		o := membership.Options{
			Self:  membership.Host{Name: name, DataCentre: "dc0", PeerAddress: name, Incarnation: 1},
			Seeds: []string{"gateway-0"}, Caller: c, Logger: log.NewNopLogger(), Rand: rand.New(rand.NewPCG(1, uint64(i))),
			Revision: holder.Number, Draining: func() []string { return nil },
			Confirmed: func() (int64, time.Duration, bool) { return syncer.Confirmed() },
			Confirm:   func(number int64, at time.Time) { syncer.ObserveConfirmation(number, at) },
		}
		if c.noConfirmations {
			o.Confirmed, o.Confirm = nil, nil
		}
		if c.fetch {
			o.Changed = func() {
				if number, address := g.NewestRevision(); number > holder.Number() {
					syncer.ObserveRevision(address, number)
				}
			}
		}
		g = membership.NewGossiper(o)
		syncer = revision.NewSyncer(revision.SyncerConfig{
			Holder: holder, Source: c, Peers: func() []revision.Peer { return peers }, Logger: log.NewNopLogger(),
			Poller: func() bool { return g.IsPoller(purposeCatalogue) }, Rand: rand.New(rand.NewPCG(2, uint64(i))),
		})
		holder.Subscribe(func(*catalogue.Snapshot) { g.Push() })
		c.gossip[name] = g.Service()
		c.syncers = append(c.syncers, syncer)
		start = append(start, func() {
			time.Sleep(time.Duration(i) * 13 * time.Millisecond)
			go func() { _ = syncer.Run(ctx) }()
			_ = g.Run(ctx)
		})
	}
	for _, run := range start {
		go run()
	}
}

// lowest returns the lowest current revision of any gateway.
func (c *fakeDataCentre) lowest() int64 {
	return slices.MinFunc(c.syncers, func(a, b *revision.Syncer) int { return int(a.Holder.Number() - b.Holder.Number()) }).Holder.Number()
}

// Guards against gateways that poll the head although a peer has just done so, and
// against an edit that is not installed everywhere within 5 s because a relayed
// confirmation suppressed a poll. Gateways cannot fetch from peers here, so only their
// own polls deliver an edit.
func TestRelayedConfirmations(t *testing.T) {
	const gateways, window = 30, 15
	reads := map[bool]float64{}
	for _, noConfirmations := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			c := &fakeDataCentre{noConfirmations: noConfirmations}
			c.run(ctx, gateways)
			time.Sleep(8 * time.Second)
			before := c.reads.Load()
			time.Sleep(window * time.Second)
			reads[noConfirmations] = float64(c.reads.Load()-before) / window
			for number := int64(2); number < 6; number++ {
				c.head.Store(number)
				time.Sleep(5*time.Second + time.Duration(number)*77*time.Millisecond)
				is.Equal(c.lowest(), number)
			}
			c.gossipCut.Store(true)
			c.head.Store(6)
			time.Sleep(5 * time.Second)
			is.Equal(c.lowest(), int64(6))
			cancel()
			time.Sleep(10 * time.Second)
		})
	}
	t.Logf("head reads/s of %d gateways: %.1f, with relayed confirmations %.1f", gateways, reads[true], reads[false])
	if reads[false] > reads[true]/2 {
		t.Errorf("with relayed confirmations, %.1f of %.1f head reads/s remain", reads[false], reads[true])
	}
}

// Guards against an edit that spreads only with the periodic rounds of gossip, so that
// most gateways receive it from their own, later poll, and against gateways that fetch
// its body from several peers at once.
func TestEditSpreadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := &fakeDataCentre{fetch: true}
		c.run(ctx, 30)
		time.Sleep(8 * time.Second)
		before, longest := c.bodiesFetched.Load(), time.Duration(0)
		for number := int64(2); number < 10; number++ {
			c.head.Store(number)
			accepted := time.Now()
			for c.lowest() < number && time.Since(accepted) < 10*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			longest = max(longest, time.Since(accepted))
			time.Sleep(time.Duration(number) * 277 * time.Millisecond)
		}
		if longest > 2500*time.Millisecond {
			t.Errorf("an edit took %v", longest)
		}
		each := float64(c.bodiesFetched.Load()-before) / (8 * 30)
		t.Logf("an edit took at most %v; %.2f bodies were fetched per gateway", longest, each)
		if each > 1 {
			t.Errorf("%.2f bodies were fetched per edit and gateway", each)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}
