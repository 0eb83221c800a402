// Package coldkeeper gets this gateway the rights to send to cold servers, and issues them while it is the
// keeper of a service. The decisions are those of package coldbound.
package coldkeeper

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"persimmonwing/internal/process/coldbound"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/pause"
)

// ServiceName is the name under which gateways call the keeper.
const ServiceName = "ColdServers"

const (
	// askTimeout bounds the call to one gateway, and askAttempts the gateways that are called for a request:
	// the holder that is known, the first in rank, and the next.
	askTimeout  = 100 * time.Millisecond
	askAttempts = 3
	// storeTimeout bounds a call to the store. A keeper whose store is slower has no use for its tenure.
	storeTimeout = 500 * time.Millisecond
	// avoidPeriod is how long a gateway that did not answer is not asked.
	avoidPeriod = time.Second
	// claimPause is the least time between two attempts to become the keeper.
	claimPause = 100 * time.Millisecond
	// upkeepPeriod is the time between two checks whether a tenure is to be renewed or ended.
	upkeepPeriod = 250 * time.Millisecond
	// deniedWait is how long a server gets nothing from this gateway if no keeper answered.
	deniedWait = 250 * time.Millisecond
	// minWait is the least time after which a request that found no right may come back.
	minWait = 50 * time.Millisecond
	// maxServers bounds the servers of a service for which a keeper holds accounts.
	maxServers = 4096
)

// Store holds a row for each service. Both calls are linearizable.
type Store interface {
	// Read returns the row of a service; the revision is 0 if there is none.
	Read(ctx context.Context, service string) (revision int64, row coldbound.Row, err error)
	// Replace writes the row if it has the revision expect. Otherwise it returns the row as it is, and
	// replaced is false.
	Replace(ctx context.Context, service string, expect int64, row coldbound.Row) (revision int64, current coldbound.Row, replaced bool, err error)
}

// Options configures a Keeper.
type Options struct {
	// Self names this process, and PeerAddress is its address for other gateways.
	Self, PeerAddress string
	Store             Store
	Caller            membership.Caller
	// Candidates returns the live gateways that may become the keeper of a service, the first in rank first.
	Candidates func(service string) []membership.Gateway
	// Rights returns the number of rights to a cold server of a service, or 0 without a bound.
	Rights func(service string) int
	// Now is the clock of package coldbound.
	Now     func() time.Duration
	Logger  log.Logger
	Metrics *telemetry.Metrics
}

// Keeper gets and issues rights. It is safe for concurrent use.
type Keeper struct {
	o Options

	mu       sync.Mutex
	parts    coldbound.Parts
	demand   map[string]*coldbound.Demand
	services map[string]*service
	// avoided holds the addresses that are not asked, with the end of that time.
	avoided map[string]time.Duration
}

// service is what this gateway knows of one service.
type service struct {
	// calls serializes the calls to the store, so that their results are observed in order.
	calls  sync.Mutex
	tenure *coldbound.Tenure
	ledger coldbound.Ledger
	// lastClaim is the time of the last attempt to become the keeper or to end its tenure, and holder the address of the gateway
	// that issued rights last.
	lastClaim time.Duration
	holder    string
}

// New returns a Keeper.
func New(o Options) *Keeper {
	return &Keeper{o: o, parts: coldbound.Parts{}, demand: map[string]*coldbound.Demand{}, services: map[string]*service{}, avoided: map[string]time.Duration{}}
}

// TakeArgs asks for rights to a server.
type TakeArgs struct {
	Service string
	Server  coldbound.Incarnation
	Want    int
}

// TakeReply holds the rights that were issued. If there are none, Wait is the time until there may be some,
// or Holder is the address of the gateway to ask instead.
type TakeReply struct {
	Issued int
	Wait   time.Duration
	Holder string
}

// RPC is the service for other gateways.
type RPC struct{ k *Keeper }

// RPC returns the service to register under ServiceName.
func (k *Keeper) RPC() *RPC { return &RPC{k} }

// Take issues rights.
func (s *RPC) Take(in *TakeArgs, out *TakeReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	*out = s.k.issue(ctx, *in)
	return nil
}

// Acquire gets a right to send one request to a server. If there is none, ok is false and wait is the time
// after which to ask again.
func (k *Keeper) Acquire(ctx context.Context, name string, server coldbound.Incarnation) (right coldbound.Right, wait time.Duration, ok bool) {
	want := k.noteDemand(server.Server)
	if r, ok := k.Take(server.Server); ok {
		return r, 0, true
	}
	addresses := k.addresses(name)
	for try := 0; try < min(askAttempts, len(addresses)) && ctx.Err() == nil; try++ {
		sent := k.o.Now()
		reply, err := k.ask(ctx, addresses[try], TakeArgs{Service: name, Server: server, Want: want})
		if err != nil {
			k.avoid(addresses[try])
			level.Debug(k.o.Logger).Log("msg", "keeper of cold servers does not answer", "service", name, "keeper", addresses[try], "err", err)
			continue
		}
		if reply.Issued == 0 {
			if reply.Holder != "" && reply.Holder != addresses[try] {
				addresses = append(addresses[:try+1], reply.Holder)
				continue
			}
			wait = reply.Wait
			break
		}
		k.mu.Lock()
		k.service(name).holder = addresses[try]
		k.parts.Add(sent, server.Server, reply.Issued)
		k.mu.Unlock()
		if r, ok := k.Take(server.Server); ok {
			return r, 0, true
		}
	}
	if wait <= 0 {
		wait = deniedWait
	}
	wait = min(max(wait, minWait), coldbound.Window+coldbound.PartTTL)
	k.o.Metrics.Counter("cold_refusals", name).Inc(1)
	return coldbound.Right{}, wait, false
}

func (k *Keeper) noteDemand(server string) (want int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d := k.demand[server]
	if d == nil {
		d = &coldbound.Demand{}
		k.demand[server] = d
	}
	return d.Note(k.o.Now())
}

// Take takes a right to a server that this gateway already has.
func (k *Keeper) Take(server string) (coldbound.Right, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.parts.Take(k.o.Now(), server)
}

// Issued returns the number of rights to a server that this gateway has issued and that still count.
func (k *Keeper) Issued(name, server string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.service(name).ledger.Issued(k.o.Now(), server)
}

// Return gives back a right that was not used.
func (k *Keeper) Return(server string, r coldbound.Right) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.parts.Return(server, r)
}

// Valid reports whether a right can be used now.
func (k *Keeper) Valid(r coldbound.Right) bool { return r.Valid(k.o.Now()) }

// Expect prepares for a cold server of a service: the first in rank becomes the keeper.
func (k *Keeper) Expect(name string) {
	if !k.isFirst(name) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		k.claim(ctx, name)
	}()
}

// Run renews the tenures that are in use and ends the others, until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for pause.For(ctx, upkeepPeriod) == nil {
		now := k.o.Now()
		k.mu.Lock()
		var names []string
		for name, s := range k.services {
			k.o.Metrics.Gauge("cold_rights_issued", name).Update(int64(s.ledger.InUse(now)))
			names = append(names, name)
		}
		k.o.Metrics.Gauge("cold_rights_held").Update(int64(k.parts.Prune(now)))
		for server, d := range k.demand {
			if d.Ended(now) {
				delete(k.demand, server)
			}
		}
		k.mu.Unlock()
		for _, name := range names {
			k.maintain(ctx, name)
		}
	}
	return nil
}

// service returns the state of a service. The caller holds the lock.
func (k *Keeper) service(name string) *service {
	s := k.services[name]
	if s == nil {
		s = &service{tenure: coldbound.NewTenure(k.o.Self)}
		k.services[name] = s
	}
	return s
}

// addresses returns the gateways to ask, in order, without those that did not answer.
func (k *Keeper) addresses(name string) []string {
	candidates := k.o.Candidates(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Now()
	var out []string
	add := func(address string) {
		if until, avoided := k.avoided[address]; avoided && now >= until {
			delete(k.avoided, address)
		} else if avoided || address == "" {
			return
		}
		for _, a := range out {
			if a == address {
				return
			}
		}
		out = append(out, address)
	}
	if s := k.services[name]; s != nil {
		add(s.holder)
	}
	for _, g := range candidates {
		add(g.PeerAddress)
	}
	return out
}

func (k *Keeper) avoid(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.avoided[address] = k.o.Now() + avoidPeriod
	for _, s := range k.services {
		if s.holder == address {
			s.holder = ""
		}
	}
}

func (k *Keeper) ask(ctx context.Context, address string, args TakeArgs) (reply TakeReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if address == k.o.PeerAddress {
		return k.issue(ctx, args), nil
	}
	err = k.o.Caller.Call(ctx, address, ServiceName+".Take", &args, &reply)
	return reply, err
}

// issue issues rights if this gateway is the keeper or can become it.
func (k *Keeper) issue(ctx context.Context, in TakeArgs) TakeReply {
	rights := k.o.Rights(in.Service)
	if rights == 0 {
		return TakeReply{Wait: deniedWait}
	}
	if reply, ok := k.issueAsKeeper(in, rights); ok {
		return reply
	}
	k.claim(ctx, in.Service)
	if reply, ok := k.issueAsKeeper(in, rights); ok {
		return reply
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	address, held := k.service(in.Service).tenure.Holder()
	if !held || address == k.o.PeerAddress {
		return TakeReply{Wait: deniedWait}
	}
	return TakeReply{Wait: deniedWait, Holder: address}
}

func (k *Keeper) issueAsKeeper(in TakeArgs, rights int) (TakeReply, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.service(in.Service)
	now := k.o.Now()
	if !s.tenure.MayIssue(now) || s.ledger.Len() >= maxServers {
		return TakeReply{}, false
	}
	n, wait := s.ledger.Issue(now, in.Server, rights, in.Want)
	return TakeReply{Issued: n, Wait: wait}, true
}

// claim makes this gateway the keeper of a service, or renews its tenure, if the row allows that.
func (k *Keeper) claim(ctx context.Context, name string) {
	k.mu.Lock()
	s := k.service(name)
	k.mu.Unlock()
	s.calls.Lock()
	defer s.calls.Unlock()
	k.mu.Lock()
	now := k.o.Now()
	if s.tenure.MayIssue(now) && !s.tenure.MustRenew(now) || s.lastClaim > 0 && now-s.lastClaim < claimPause {
		k.mu.Unlock()
		return
	}
	s.lastClaim = now
	k.mu.Unlock()
	// The row that is known may be an old one, whose condition fails and shows the present one.
	for range 2 {
		if !k.read(ctx, name, s) || k.write(ctx, name, s) {
			return
		}
	}
}

// read reads the row if it is not known, or held by another gateway. It returns false if the row can't be
// claimed.
func (k *Keeper) read(ctx context.Context, name string, s *service) bool {
	k.mu.Lock()
	_, held := s.tenure.Holder()
	known := s.tenure.Seen() && !held
	k.mu.Unlock()
	if known {
		return true
	}
	revision, row, err := k.o.Store.Read(ctx, name)
	if err != nil {
		level.Info(k.o.Logger).Log("msg", "cannot read who keeps the cold servers", "service", name, "err", err)
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s.tenure.Observe(k.o.Now(), revision, row)
	_, ok := s.tenure.MayClaim(k.o.Now())
	return ok
}

// write writes this gateway into the row. It returns true if there is nothing left to try.
func (k *Keeper) write(ctx context.Context, name string, s *service) bool {
	row := coldbound.Row{Holder: k.o.Self, PeerAddress: k.o.PeerAddress}
	k.mu.Lock()
	sent := k.o.Now()
	expect, ok := s.tenure.MayClaim(sent)
	renewal := s.tenure.MayIssue(sent)
	k.mu.Unlock()
	if !ok {
		return true
	}
	revision, current, replaced, err := k.o.Store.Replace(ctx, name, expect, row)
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err != nil:
		level.Info(k.o.Logger).Log("msg", "cannot become the keeper of cold servers", "service", name, "err", err)
		return true
	case replaced:
		s.tenure.Claimed(k.o.Now(), sent, revision, row)
		if !renewal {
			k.o.Metrics.Counter("cold_tenures", name).Inc(1)
			level.Info(k.o.Logger).Log("msg", "keeper of cold servers", "service", name, "revision", revision)
		}
		return true
	}
	s.tenure.Observe(k.o.Now(), revision, current)
	return false
}

// maintain renews the tenure of a service while rights are in use, and sets its row free afterwards. The first in
// rank also frees the row of a keeper that has not done so, so that it need not wait when servers are cold again.
func (k *Keeper) maintain(ctx context.Context, name string) {
	first := k.isFirst(name)
	k.mu.Lock()
	s := k.services[name]
	now := k.o.Now()
	idle := s.tenure.MayRelease(now, s.ledger.LastIssued())
	renew := !idle && s.tenure.MayIssue(now) && s.tenure.MustRenew(now)
	_, held := s.tenure.Holder()
	_, ended := s.tenure.MayClaim(now)
	// A keeper may have claimed the row for servers that are about to get requests.
	rested := now-s.lastClaim >= coldbound.PartTTL+coldbound.Window
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	switch {
	case renew, rested && first && held && ended:
		k.claim(ctx, name)
	case rested && idle:
		k.release(ctx, name, s)
	}
}

// isFirst reports whether this gateway is the first in rank for a service.
func (k *Keeper) isFirst(name string) bool {
	candidates := k.o.Candidates(name)
	return len(candidates) > 0 && candidates[0].PeerAddress == k.o.PeerAddress
}

func (k *Keeper) release(ctx context.Context, name string, s *service) {
	s.calls.Lock()
	defer s.calls.Unlock()
	k.mu.Lock()
	if !s.tenure.MayRelease(k.o.Now(), s.ledger.LastIssued()) {
		k.mu.Unlock()
		return
	}
	s.tenure.Release()
	s.lastClaim = k.o.Now()
	expect, _ := s.tenure.MayClaim(k.o.Now())
	k.mu.Unlock()
	revision, current, replaced, err := k.o.Store.Replace(ctx, name, expect, coldbound.Row{})
	if err != nil {
		level.Info(k.o.Logger).Log("msg", "cannot end the tenure of cold servers", "service", name, "err", eris.ToString(err, false))
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if replaced {
		current = coldbound.Row{}
	}
	s.tenure.Observe(k.o.Now(), revision, current)
}
