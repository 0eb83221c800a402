package membership_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/connection/peer"
	"persimmonwing/internal/connection/peer/peertest"
	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
)

// node is one gateway of a cluster.
type node struct {
	*membership.Gossiper
	address  string
	stop     context.CancelFunc
	wait     sync.WaitGroup
	draining atomic.Pointer[[]string]
}

// cluster runs gateways on one in-memory network.
type cluster struct {
	t       *testing.T
	network *peertest.Network
	seeds   []string
	starts  int64
	list    *hostList
	probe   *prober
}

func newCluster(t *testing.T, seeds ...string) *cluster {
	return &cluster{t: t, network: peertest.NewNetwork(), seeds: seeds, list: &hostList{}, probe: &prober{}}
}

func (c *cluster) start(name, dataCentre, address string) *node {
	c.starts++
	s, err := peer.NewServer(peer.NewSecrets([]byte("secret")), log.NewNopLogger())
	if err != nil {
		c.t.Fatal(err)
	}
	p := peer.NewPool(peer.NewSecrets([]byte("secret")), c.network.Dialer(address))
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{address: address}
	n.draining.Store(new([]string))
	n.Gossiper = membership.NewGossiper(membership.Options{
		Self:  membership.Host{Name: name, DataCentre: dataCentre, PeerAddress: address, Incarnation: time.Now().UnixMilli() + c.starts},
		Seeds: c.seeds, Caller: p, Logger: log.NewNopLogger(),
		Rand:     rand.New(rand.NewPCG(1, uint64(c.starts))),
		Revision: func() int64 { return 1 }, Draining: func() []string { return *n.draining.Load() },
	})
	if err := s.Register(membership.ServiceName, n.Service()); err != nil {
		c.t.Fatal(err)
	}
	l := c.network.Listen(address)
	n.wait.Go(func() { _ = s.Serve(l) })
	n.wait.Go(func() { _ = n.Run(ctx) })
	n.wait.Go(func() { _ = n.PollHosts(ctx, c.list.from(address)) })
	n.wait.Go(func() { _ = n.PollApplications(ctx, c.probe) })
	n.stop = func() {
		cancel()
		p.Close()
		s.Close()
		n.wait.Wait()
	}
	return n
}

// hostList is a host list that can be unavailable to some gateways.
type hostList struct {
	mu          sync.Mutex
	hosts       []platform.Host
	unavailable map[string]bool
}

func (l *hostList) from(address string) membership.HostList { return listView{l, address} }

func (l *hostList) set(hosts ...platform.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = hosts
}

func (l *hostList) fail(addresses ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = map[string]bool{}
	for _, a := range addresses {
		l.unavailable[a] = true
	}
}

type listView struct {
	list    *hostList
	address string
}

func (v listView) Hosts(context.Context) ([]platform.Host, error) {
	v.list.mu.Lock()
	defer v.list.mu.Unlock()
	if v.list.unavailable[v.address] {
		return nil, errors.New("platform out")
	}
	return v.list.hosts, nil
}

// prober reports the configured state for server "app" and all other servers as ready.
type prober struct{ down, draining atomic.Bool }

func (p *prober) Ready(_ context.Context, b membership.Backend) (bool, error) {
	if b.Name == "app" && p.down.Load() {
		return false, errors.New("no answer")
	}
	return b.Name != "app" || !p.draining.Load(), nil
}

func liveNames(n *node) string {
	out := ""
	for _, g := range n.Live() {
		out += g.Name
	}
	return out
}

// Guards against gateways that still consider a dead, left or replaced gateway live, and
// against partitions that do not heal within 3 s.
func TestMembershipFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "1")
		nodes := map[string]*node{}
		for i, name := range []string{"a", "b", "c", "d", "e"} {
			nodes[name] = c.start(name, []string{"hobart", "hobart", "hobart", "burnie", "burnie"}[i], fmt.Sprint(i+1))
		}
		check := func(when string, want string, names ...string) {
			t.Helper()
			for _, n := range names {
				if got := liveNames(nodes[n]); got != want {
					t.Errorf("%s: %s sees %s live, want %s", when, n, got, want)
				}
			}
		}
		time.Sleep(4 * time.Second)
		check("after start", "abcde", "a", "b", "c", "d", "e")

		nodes["b"].Leave(t.Context())
		nodes["b"].stop()
		time.Sleep(2 * time.Second)
		check("after leave", "acde", "a", "c", "d", "e")

		nodes["c"].stop()
		time.Sleep(5 * time.Second)
		check("after kill", "ade", "a")
		nodes["c"] = c.start("c", "hobart", "3")
		nodes["b"] = c.start("b2", "hobart", "2")
		time.Sleep(4 * time.Second)
		check("after replacement", "ab2cde", "a", "b", "c", "d", "e")

		c.network.Cut([]string{"1", "2", "3"}, []string{"4", "5"})
		time.Sleep(30 * time.Second)
		check("during partition", "ab2c", "a", "b", "c")
		check("during partition", "de", "d", "e")
		c.network.Heal([]string{"1", "2", "3"}, []string{"4", "5"})
		time.Sleep(3 * time.Second)
		check("3 s after healing", "ab2cde", "a", "b", "c", "d", "e")

		c.network.Freeze("3")
		time.Sleep(5 * time.Second)
		check("frozen", "ab2de", "a", "b")
		c.network.Thaw("3")
		time.Sleep(3 * time.Second)
		check("thawed", "ab2cde", "a", "b", "c")

		k := schedule.GroupKey{DataCentre: "hobart", Model: "m"}
		for _, n := range nodes {
			is.Equal(n.Rank(k), nodes["a"].Rank(k))
			is.Equal(n.Owner(k), n.Rank(k)[0])
			n.stop()
		}
	})
}

// Guards against sending new requests to a leaving server 3 s after any single source
// shows that it is leaving, while all other sources are silent or unavailable. Also guards
// against forgetting a server while the host list is unavailable.
func TestLeavingServerStopsWithin3s(t *testing.T) {
	app := platform.Host{Name: "app", Kind: platform.KindApp, Address: "x", DataCentre: "hobart", State: platform.HostLive, Service: "stock"}
	other := platform.Host{Name: "other", Kind: platform.KindApp, Address: "y", DataCentre: "hobart", State: platform.HostLive, Service: "stock"}
	leaving := app
	leaving.State = platform.HostLeaving
	everywhere := []string{"1", "2", "3", "4", "5"}
	for name, trigger := range map[string]func(c *cluster, nodes []*node){
		"host list":              func(c *cluster, _ []*node) { c.list.set(leaving, other) },
		"removed from host list": func(c *cluster, _ []*node) { c.list.set(other) },
		"host list, each gateway cut off from all others": func(c *cluster, _ []*node) {
			for i, a := range everywhere {
				c.network.Cut([]string{a}, everywhere[i+1:])
			}
			c.list.set(leaving, other)
		},
		"host list read by one gateway": func(c *cluster, _ []*node) {
			c.list.fail("1", "2", "3", "4")
			time.Sleep(10 * time.Second)
			c.list.set(leaving, other)
		},
		"report of the server, list out": func(c *cluster, _ []*node) { c.list.fail(everywhere...); c.probe.draining.Store(true) },
		"application does not answer polls": func(c *cluster, _ []*node) {
			c.list.fail(everywhere...)
			c.probe.down.Store(true)
			time.Sleep(2 * time.Second)
		},
		"catalogue, list out": func(c *cluster, nodes []*node) {
			c.list.fail(everywhere...)
			for _, n := range nodes {
				n.draining.Store(&[]string{"app"})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, everywhere[:2]...)
				c.list.set(app, other)
				var nodes []*node
				for i, a := range everywhere {
					nodes = append(nodes, c.start(fmt.Sprint("g", i), "hobart", a))
				}
				time.Sleep(15 * time.Second)
				trigger(c, nodes)
				time.Sleep(3 * time.Second)
				for _, n := range nodes {
					for _, b := range n.Services("stock") {
						if b.Accepting != (b.Name == "other") {
							t.Errorf("%s sees %s accepting=%v", n.address, b.Name, b.Accepting)
						}
					}
					if len(n.Services("stock")) != 2 {
						t.Errorf("%s does not list both servers", n.address)
					}
				}
				for _, n := range nodes {
					n.stop()
				}
			})
		})
	}
}
