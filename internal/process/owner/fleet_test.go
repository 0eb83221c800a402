package owner_test

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/connection/peer"
	"persimmonwing/internal/connection/peer/peertest"
	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/owner"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
)

// fifo is a Group that grants in order of arrival, on the first replica with a free
// slot. A suspect needs a replica without other suspects.
type fifo struct {
	replicas []schedule.Replica
	waiting  []schedule.Request
	running  map[string]runningRequest
}

type runningRequest struct {
	schedule.Request
	replica string
	renewed time.Time
}

func newFIFO(schedule.GroupKey) owner.Group { return &fifo{running: map[string]runningRequest{}} }

func (f *fifo) SetReplicas(_ time.Time, r []schedule.Replica)      { f.replicas = r }
func (f *fifo) Report(time.Time, string, api.LoadReport)           {}
func (f *fifo) SetShare(float64)                                   {}
func (f *fifo) SetClassFractions(float64, float64)                 {}
func (f *fifo) NextWake(now time.Time) time.Time                   { return now.Add(100 * time.Millisecond) }
func (f *fifo) Release(_ time.Time, id string, _ schedule.Outcome) { delete(f.running, id) }

func (f *fifo) Demand(time.Time) schedule.Demand                 { return schedule.Demand{} }
func (f *fifo) SetPeerDemand(time.Time, string, schedule.Demand) {}
func (f *fifo) RefuseExpired(_ time.Time, r schedule.Request) *schedule.Refusal {
	f.Cancel(r.ID)
	return &schedule.Refusal{Reason: schedule.ReasonDeadline}
}

func (f *fifo) Loads() []schedule.ReplicaLoad                                  { return nil }
func (f *fifo) SetPeerLoads(time.Time, string, uint64, []schedule.ReplicaLoad) {}

func (f *fifo) Reservation(string) (schedule.Reservation, bool)            { return schedule.Reservation{}, false }
func (f *fifo) Confirm(time.Time, schedule.Reservation) bool               { return true }
func (f *fifo) DropReservations(time.Time, string, uint64)                 {}
func (f *fifo) LoadsByGateway(string, uint64) []schedule.GatewayLoad       { return nil }
func (f *fifo) CorrectPeerLoads(time.Time, string, []schedule.GatewayLoad) {}
func (f *fifo) Postpone(time.Time, string)                                 {}

func (f *fifo) State(time.Time) map[string]schedule.ReplicaState {
	out := map[string]schedule.ReplicaState{}
	for _, p := range f.replicas {
		out[p.Name] = schedule.ReplicaState{Running: len(f.running), BatchBound: p.MaxBatch}
	}
	return out
}

func (f *fifo) Enqueue(_ time.Time, r schedule.Request) *schedule.Refusal {
	f.waiting = append(f.waiting, r)
	return nil
}

func (f *fifo) Cancel(id string) bool {
	before := len(f.waiting)
	f.waiting = slices.DeleteFunc(f.waiting, func(r schedule.Request) bool { return r.ID == id })
	return len(f.waiting) < before
}

func (f *fifo) Account(time.Time, string) schedule.Account { return schedule.Account{} }

func (f *fifo) Use(time.Time) schedule.Use { return schedule.Use{} }

func (f *fifo) SetPeerUse(time.Time, string, schedule.Use) {}

func (f *fifo) SetWorkspaceFloors(map[string]float64) {}

func (f *fifo) place(r schedule.Request) (schedule.Replica, bool) {
	for _, p := range f.replicas {
		used, suspects := 0, 0
		for _, q := range f.running {
			if q.replica == p.Name {
				used++
				if q.Suspect {
					suspects++
				}
			}
		}
		if p.Accepting && used < p.MaxBatch && !(r.Suspect && suspects > 0) {
			return p, true
		}
	}
	return schedule.Replica{}, false
}

func (f *fifo) Dispatch(now time.Time) (out []schedule.Decision) {
	var left []schedule.Request
	for _, r := range f.waiting {
		if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
			out = append(out, schedule.Decision{Request: r, Refusal: &schedule.Refusal{Reason: schedule.ReasonDeadline}})
			continue
		}
		p, ok := f.place(r)
		if !ok {
			left = append(left, r)
			continue
		}
		f.running[r.ID] = runningRequest{r, p.Name, now}
		out = append(out, schedule.Decision{Request: r, Grant: schedule.Grant{ID: r.ID, Backend: p.Name, Address: p.Address}})
	}
	f.waiting = left
	return out
}

func (f *fifo) Progress(now time.Time, id string, _ int) {
	if q, ok := f.running[id]; ok {
		q.renewed = now
		f.running[id] = q
	}
}

func (f *fifo) Adopt(now time.Time, h schedule.Held) {
	f.running[h.Grant.ID] = runningRequest{h.Request, h.Grant.Backend, now}
}

func (f *fifo) Expire(now time.Time, d time.Duration) (out []string) {
	for id, q := range f.running {
		if now.Sub(q.renewed) > d {
			delete(f.running, id)
			out = append(out, id)
		}
	}
	return out
}

func (f *fifo) Running(replica string) (out []schedule.Request) {
	for _, q := range f.running {
		if q.replica == replica {
			out = append(out, q.Request)
		}
	}
	return out
}

func (f *fifo) Summary(time.Time) schedule.Summary {
	s := schedule.Summary{Replicas: len(f.replicas), QueuedUrgent: len(f.waiting), FreeSlots: -len(f.running)}
	for _, p := range f.replicas {
		s.FreeSlots += p.MaxBatch
	}
	return s
}

// engines is a fleet of engines that all serve model "m".
type engines struct {
	mu     sync.Mutex
	down   map[string]bool
	starts map[string]int
	slots  int
	polls  int
}

func (e *engines) Load(ctx context.Context, name, _ string) (api.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.polls++
	if e.down[name] {
		return api.LoadReport{}, errors.New("connection refused")
	}
	return api.LoadReport{
		Name: name, Models: []string{"m"}, MaxBatch: e.slots, KVCapacityTokens: 1000,
		Incarnation: fmt.Sprint(e.starts[name]),
	}, nil
}

func (e *engines) pollCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.polls
}

func (e *engines) crash(name string, restart bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down[name] = !restart
	e.starts[name]++
}

// setSilent makes an engine stop or resume answering polls while its work runs on.
func (e *engines) setSilent(name string, silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down[name] = silent
}

// gateway is a gateway of a test, without its HTTP server.
type gateway struct {
	*owner.Manager
	view    *membership.Gossiper
	name    string
	address string
	stopped sync.Once
	finish  func()
}

func (g *gateway) stop() { g.stopped.Do(g.finish) }

// fleet runs gateways and engines on an in-memory network.
type fleet struct {
	t       *testing.T
	network *peertest.Network
	engines *engines
	list    []platform.Host
	policy  owner.Policy
	// remote holds the gateways and engines in data centre burnie; the others are in
	// hobart.
	remote   map[string]bool
	pick     func([]schedule.Summary, schedule.Request, string) (schedule.GroupKey, bool)
	gateways []*gateway
	// sharedOptions changes the options of a gateway under the shared policy. created
	// is called with the gateway before its Manager is made.
	sharedOptions func(owner.Options) owner.Options
	// slowStart is the slow start of engines under the shared policy; 0 means the
	// default.
	slowStart time.Duration
	created   func(*gateway)
	// changeOptions, if set, changes the options of the next gateway under the shared policy.
	changeOptions func(owner.Options) owner.Options
	// wrapCaller, if set, wraps the caller with which the Manager of the next gateway calls
	// its peers.
	wrapCaller func(membership.Caller) membership.Caller
}

func newFleet(t *testing.T, slots int, engineNames ...string) *fleet {
	f := &fleet{
		t: t, network: peertest.NewNetwork(), policy: owner.PolicyOwner, remote: map[string]bool{}, pick: mostFree,
		engines: &engines{down: map[string]bool{}, starts: map[string]int{}, slots: slots},
	}
	for _, n := range engineNames {
		f.list = append(f.list, platform.Host{Name: n, Kind: platform.KindEngine, Address: n, DataCentre: "hobart", State: platform.HostLive})
	}
	return f
}

func (f *fleet) dataCentre(name string) string {
	if f.remote[name] {
		return "burnie"
	}
	return "hobart"
}

// Hosts implements membership.HostList.
func (f *fleet) Hosts(context.Context) ([]platform.Host, error) { return f.list, nil }

func (f *fleet) start(name string) *gateway {
	address := "address of " + name
	s, err := peer.NewServer(peer.NewSecrets([]byte("secret")), log.NewNopLogger())
	if err != nil {
		f.t.Fatal(err)
	}
	p := peer.NewPool(peer.NewSecrets([]byte("secret")), f.network.Dialer(address))
	g := &gateway{name: name, address: address}
	g.view = membership.NewGossiper(membership.Options{
		Self:  membership.Host{Name: name, DataCentre: f.dataCentre(name), PeerAddress: address, Incarnation: time.Now().UnixMilli()},
		Seeds: []string{"address of a", "address of b"}, Caller: p, Logger: log.NewNopLogger(),
		Rand:     rand.New(rand.NewPCG(2, uint64(len(f.gateways)))),
		Revision: func() int64 { return 1 }, Draining: func() []string { return nil },
		Started: p.ResetBackoff,
		Changed: func() { g.OwnersChanged() },
	})
	options := owner.Options{
		Policy: f.policy, View: g.view, Caller: p, Loads: f.engines, Logger: log.NewNopLogger(),
		NewGroup: newFIFO, PickGroup: f.pick,
		ShardCount: func(n int) int { return (n + 15) / 16 },
		ShardOf: func(name string, shards int) int {
			h := fnv.New32()
			_, _ = h.Write([]byte(name))
			return int(h.Sum32()) % max(1, shards)
		},
		Floors: func() (float64, float64) { return 0, 0 },
	}
	if f.wrapCaller != nil {
		options.Caller = f.wrapCaller(p)
	}
	if f.sharedOptions != nil {
		f.created(g)
		options = f.sharedOptions(options)
	}
	g.Manager = owner.New(options)
	for n, r := range map[string]any{
		membership.ServiceName: g.view.Service(), owner.ServiceName: g.Service(), owner.SuspectsServiceName: g.Suspects(),
	} {
		if err := s.Register(n, r); err != nil {
			f.t.Fatal(err)
		}
	}
	var wait sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	l := f.network.Listen(address)
	wait.Go(func() { _ = s.Serve(l) })
	wait.Go(func() { _ = g.view.Run(ctx) })
	wait.Go(func() { _ = g.view.PollHosts(ctx, f) })
	wait.Go(func() { _ = g.Run(ctx) })
	g.finish = func() {
		cancel()
		p.Close()
		s.Close()
		wait.Wait()
	}
	f.gateways = append(f.gateways, g)
	return g
}

func mostFree(c []schedule.Summary, _ schedule.Request, _ string) (schedule.GroupKey, bool) {
	if len(c) == 0 {
		return schedule.GroupKey{}, false
	}
	return slices.MaxFunc(c, func(a, b schedule.Summary) int { return a.FreeSlots - b.FreeSlots }).Group, true
}

// localFirst chooses the group of the gateway's own data centre if there is one.
func localFirst(c []schedule.Summary, r schedule.Request, local string) (schedule.GroupKey, bool) {
	for _, s := range c {
		if s.Group.DataCentre == local {
			return s.Group, true
		}
	}
	return mostFree(c, r, local)
}

func (f *fleet) stop() {
	for _, g := range f.gateways {
		g.stop()
	}
}

var testGroup = schedule.GroupKey{DataCentre: "hobart", Model: "m"}

// byRank returns the started gateways, the group's owner first.
func (f *fleet) byRank() []*gateway {
	f.t.Helper()
	var out []*gateway
	for _, name := range f.gateways[0].view.Rank(testGroup) {
		for _, g := range f.gateways {
			if g.name == name {
				out = append(out, g)
			}
		}
	}
	if len(out) != len(f.gateways) {
		f.t.Fatalf("%d of %d gateways are live", len(out), len(f.gateways))
	}
	return out
}

// acquire requests a grant and waits at most d.
func (g *gateway) acquire(id string, fingerprint uint64, d time.Duration) (schedule.Grant, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return g.Acquire(ctx, schedule.Request{ID: id, Model: "m", Fingerprint: fingerprint, Deadline: time.Now().Add(time.Hour)})
}
