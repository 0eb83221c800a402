// Package coldrights gets this gateway the rights to send to cold servers, and issues them while it is the
// issuer of a service. The decisions are those of package coldbound.
package coldrights

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

// ServiceName is the name under which gateways call the issuer.
const ServiceName = "ColdServers"

const (
	// askTimeout bounds the call to one gateway, and askAttempts the gateways that are called for a request:
	// the holder that is known, the first in rank, and the next.
	askTimeout  = 100 * time.Millisecond
	askAttempts = 3
	// storeTimeout bounds a call to the store. An issuer whose store is slower has no use for its tenure.
	storeTimeout = 500 * time.Millisecond
	// avoidPeriod is how long a gateway that did not answer is not asked.
	avoidPeriod = time.Second
	// claimPause is the least time between two attempts to become the issuer.
	claimPause = 100 * time.Millisecond
	// upkeepPeriod is the time between two checks whether a tenure is to be renewed or ended.
	upkeepPeriod = 250 * time.Millisecond
	// deniedWait is how long a server gets nothing from this gateway if no issuer answered.
	deniedWait = 250 * time.Millisecond
	// minWait is the least time after which a request that found no right may come back.
	minWait = 50 * time.Millisecond
	// maxServers bounds the servers of a service for which an issuer holds accounts.
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

// Options configures an Issuer.
type Options struct {
	// Self names this process, and PeerAddress is its address for other gateways.
	Self, PeerAddress string
	Store             Store
	Caller            membership.Caller
	// Candidates returns the live gateways that may become the issuer of a service, the first in rank first.
	Candidates func(service string) []membership.Gateway
	// Rights returns the number of rights to a cold server of a service, or 0 without a bound.
	Rights func(service, server string) int
	// Now is the clock of package coldbound.
	Now     func() time.Duration
	Logger  log.Logger
	Metrics *telemetry.Metrics
}

// Issuer gets and issues rights. It is safe for concurrent use.
type Issuer struct {
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
	// lastClaim is the time of the last attempt to become the issuer or to end its tenure, and holder the address of the gateway
	// that issued rights last.
	lastClaim time.Duration
	holder    string
}

// New returns an Issuer.
func New(o Options) *Issuer {
	return &Issuer{o: o, parts: coldbound.Parts{}, demand: map[string]*coldbound.Demand{}, services: map[string]*service{}, avoided: map[string]time.Duration{}}
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
type RPC struct{ i *Issuer }

// RPC returns the service to register under ServiceName.
func (i *Issuer) RPC() *RPC { return &RPC{i} }

// Take issues rights.
func (s *RPC) Take(in *TakeArgs, out *TakeReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	*out = s.i.issue(ctx, *in)
	return nil
}

// Acquire gets a right to send one request to a server. If there is none, ok is false and wait is the time
// after which to ask again.
func (i *Issuer) Acquire(ctx context.Context, name string, server coldbound.Incarnation) (right coldbound.Right, wait time.Duration, ok bool) {
	want := i.noteDemand(server.Server)
	if r, ok := i.Take(server.Server); ok {
		return r, 0, true
	}
	addresses := i.addresses(name)
	for try := 0; try < min(askAttempts, len(addresses)) && ctx.Err() == nil; try++ {
		sent := i.o.Now()
		reply, err := i.ask(ctx, addresses[try], TakeArgs{Service: name, Server: server, Want: want})
		if err != nil {
			i.avoid(addresses[try])
			level.Debug(i.o.Logger).Log("msg", "issuer of cold servers does not answer", "service", name, "issuer", addresses[try], "err", err)
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
		i.mu.Lock()
		i.service(name).holder = addresses[try]
		i.parts.Add(sent, server.Server, reply.Issued)
		i.mu.Unlock()
		if r, ok := i.Take(server.Server); ok {
			return r, 0, true
		}
	}
	if wait <= 0 {
		wait = deniedWait
	}
	wait = min(max(wait, minWait), coldbound.Window+coldbound.PartTTL)
	i.o.Metrics.Counter("cold_refusals", name).Inc(1)
	return coldbound.Right{}, wait, false
}

func (i *Issuer) noteDemand(server string) (want int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	d := i.demand[server]
	if d == nil {
		d = &coldbound.Demand{}
		i.demand[server] = d
	}
	return d.Note(i.o.Now())
}

// Take takes a right to a server that this gateway already has.
func (i *Issuer) Take(server string) (coldbound.Right, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.parts.Take(i.o.Now(), server)
}

// Issued returns the number of rights to a server that this gateway has issued and that still count.
func (i *Issuer) Issued(name, server string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.service(name).ledger.Issued(i.o.Now(), server)
}

// Return gives back a right that was not used.
func (i *Issuer) Return(server string, r coldbound.Right) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.parts.Return(server, r)
}

// Valid reports whether a right can be used now.
func (i *Issuer) Valid(r coldbound.Right) bool { return r.Valid(i.o.Now()) }

// Expect prepares for a cold server of a service: the first in rank becomes the issuer.
func (i *Issuer) Expect(name string) {
	if !i.isFirst(name) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		i.claim(ctx, name)
	}()
}

// Run renews the tenures that are in use and ends the others, until ctx ends.
func (i *Issuer) Run(ctx context.Context) error {
	for pause.For(ctx, upkeepPeriod) == nil {
		now := i.o.Now()
		i.mu.Lock()
		var names []string
		for name, s := range i.services {
			i.o.Metrics.Gauge("cold_rights_issued", name).Update(int64(s.ledger.InUse(now)))
			names = append(names, name)
		}
		i.o.Metrics.Gauge("cold_rights_held").Update(int64(i.parts.Prune(now)))
		for server, d := range i.demand {
			if d.Ended(now) {
				delete(i.demand, server)
			}
		}
		i.mu.Unlock()
		for _, name := range names {
			i.maintain(ctx, name)
		}
	}
	return nil
}

// service returns the state of a service. The caller holds the lock.
func (i *Issuer) service(name string) *service {
	s := i.services[name]
	if s == nil {
		s = &service{tenure: coldbound.NewTenure(i.o.Self)}
		i.services[name] = s
	}
	return s
}

// addresses returns the gateways to ask, in order, without those that did not answer.
func (i *Issuer) addresses(name string) []string {
	candidates := i.o.Candidates(name)
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.o.Now()
	var out []string
	add := func(address string) {
		if until, avoided := i.avoided[address]; avoided && now >= until {
			delete(i.avoided, address)
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
	if s := i.services[name]; s != nil {
		add(s.holder)
	}
	for _, g := range candidates {
		add(g.PeerAddress)
	}
	return out
}

func (i *Issuer) avoid(address string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.avoided[address] = i.o.Now() + avoidPeriod
	for _, s := range i.services {
		if s.holder == address {
			s.holder = ""
		}
	}
}

func (i *Issuer) ask(ctx context.Context, address string, args TakeArgs) (reply TakeReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if address == i.o.PeerAddress {
		return i.issue(ctx, args), nil
	}
	err = i.o.Caller.Call(ctx, address, ServiceName+".Take", &args, &reply)
	return reply, err
}

// issue issues rights if this gateway is the issuer or can become it.
func (i *Issuer) issue(ctx context.Context, in TakeArgs) TakeReply {
	rights := i.o.Rights(in.Service, in.Server.Server)
	if rights == 0 {
		return TakeReply{Wait: deniedWait}
	}
	if reply, ok := i.issueAsIssuer(in, rights); ok {
		return reply
	}
	i.claim(ctx, in.Service)
	if reply, ok := i.issueAsIssuer(in, rights); ok {
		return reply
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	address, held := i.service(in.Service).tenure.Holder()
	if !held || address == i.o.PeerAddress {
		return TakeReply{Wait: deniedWait}
	}
	return TakeReply{Wait: deniedWait, Holder: address}
}

func (i *Issuer) issueAsIssuer(in TakeArgs, rights int) (TakeReply, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	s := i.service(in.Service)
	now := i.o.Now()
	if !s.tenure.MayIssue(now) || s.ledger.Len() >= maxServers {
		return TakeReply{}, false
	}
	n, wait := s.ledger.Issue(now, in.Server, rights, in.Want)
	return TakeReply{Issued: n, Wait: wait}, true
}

// claim makes this gateway the issuer of a service, or renews its tenure, if the row allows that.
func (i *Issuer) claim(ctx context.Context, name string) {
	i.mu.Lock()
	s := i.service(name)
	i.mu.Unlock()
	s.calls.Lock()
	defer s.calls.Unlock()
	i.mu.Lock()
	now := i.o.Now()
	if s.tenure.MayIssue(now) && !s.tenure.MustRenew(now) || s.lastClaim > 0 && now-s.lastClaim < claimPause {
		i.mu.Unlock()
		return
	}
	s.lastClaim = now
	i.mu.Unlock()
	// The row that is known may be an old one, whose condition fails and shows the present one.
	for range 2 {
		if !i.read(ctx, name, s) || i.write(ctx, name, s) {
			return
		}
	}
}

// read reads the row if it is not known, or held by another gateway. It returns false if the row can't be
// claimed.
func (i *Issuer) read(ctx context.Context, name string, s *service) bool {
	i.mu.Lock()
	_, held := s.tenure.Holder()
	known := s.tenure.Seen() && !held
	i.mu.Unlock()
	if known {
		return true
	}
	revision, row, err := i.o.Store.Read(ctx, name)
	if err != nil {
		level.Info(i.o.Logger).Log("msg", "cannot read who keeps the cold servers", "service", name, "err", err)
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	s.tenure.Observe(i.o.Now(), revision, row)
	_, ok := s.tenure.MayClaim(i.o.Now())
	return ok
}

// write writes this gateway into the row. It returns true if there is nothing left to try.
func (i *Issuer) write(ctx context.Context, name string, s *service) bool {
	row := coldbound.Row{Holder: i.o.Self, PeerAddress: i.o.PeerAddress}
	i.mu.Lock()
	sent := i.o.Now()
	expect, ok := s.tenure.MayClaim(sent)
	renewal := s.tenure.MayIssue(sent)
	i.mu.Unlock()
	if !ok {
		return true
	}
	revision, current, replaced, err := i.o.Store.Replace(ctx, name, expect, row)
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case err != nil:
		level.Info(i.o.Logger).Log("msg", "cannot become the issuer of cold servers", "service", name, "err", err)
		return true
	case replaced:
		s.tenure.Claimed(i.o.Now(), sent, revision, row)
		if !renewal {
			i.o.Metrics.Counter("cold_tenures", name).Inc(1)
			level.Info(i.o.Logger).Log("msg", "issuer of cold servers", "service", name, "revision", revision)
		}
		return true
	}
	s.tenure.Observe(i.o.Now(), revision, current)
	return false
}

// maintain renews the tenure of a service while rights are in use, and sets its row free afterwards. The first in
// rank also frees the row of an issuer that has not done so, so that it need not wait when servers are cold again.
func (i *Issuer) maintain(ctx context.Context, name string) {
	first := i.isFirst(name)
	i.mu.Lock()
	s := i.services[name]
	now := i.o.Now()
	idle := s.tenure.MayRelease(now, s.ledger.LastIssued())
	renew := !idle && s.tenure.MayIssue(now) && s.tenure.MustRenew(now)
	_, held := s.tenure.Holder()
	_, ended := s.tenure.MayClaim(now)
	// An issuer may have claimed the row for servers that are about to get requests.
	rested := now-s.lastClaim >= coldbound.PartTTL+coldbound.Window
	i.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	switch {
	case renew, rested && first && held && ended:
		i.claim(ctx, name)
	case rested && idle:
		i.release(ctx, name, s)
	}
}

// isFirst reports whether this gateway is the first in rank for a service.
func (i *Issuer) isFirst(name string) bool {
	candidates := i.o.Candidates(name)
	return len(candidates) > 0 && candidates[0].PeerAddress == i.o.PeerAddress
}

func (i *Issuer) release(ctx context.Context, name string, s *service) {
	s.calls.Lock()
	defer s.calls.Unlock()
	i.mu.Lock()
	if !s.tenure.MayRelease(i.o.Now(), s.ledger.LastIssued()) {
		i.mu.Unlock()
		return
	}
	s.tenure.Release()
	s.lastClaim = i.o.Now()
	expect, _ := s.tenure.MayClaim(i.o.Now())
	i.mu.Unlock()
	revision, current, replaced, err := i.o.Store.Replace(ctx, name, expect, coldbound.Row{})
	if err != nil {
		level.Info(i.o.Logger).Log("msg", "cannot end the tenure of cold servers", "service", name, "err", eris.ToString(err, false))
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if replaced {
		current = coldbound.Row{}
	}
	s.tenure.Observe(i.o.Now(), revision, current)
}
