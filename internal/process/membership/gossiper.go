package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/schedule"
)

const (
	// gossipPeriod is the time between two rounds.
	gossipPeriod = time.Second
	// gossipFanout is the number of peers of this data centre that each round calls.
	gossipFanout = 3
	// roundsPerRemoteCall is the number of rounds per call to a peer of another data centre:
	// every second round makes one.
	roundsPerRemoteCall = 2
	// exchangeTimeout is the timeout of one exchange.
	exchangeTimeout = time.Second
	// leaveFanout is the maximum number of peers of this data centre that are notified
	// directly of a graceful shutdown. It covers all gateways of a data centre at the
	// target size, so that groups change owners without waiting for gossip.
	leaveFanout = 64
)

// ServiceName is the RPC service name of the Gossiper.
const ServiceName = "Membership"

// Caller calls peers; it is implemented by peer.Pool.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Options configures a Gossiper.
type Options struct {
	Self Host
	// Seeds are the peer addresses to contact first.
	Seeds  []string
	Caller Caller
	Logger log.Logger
	// Rand is the source of randomness for the choice of peers.
	Rand *rand.Rand
	// Revision returns the catalogue revision that this gateway applies.
	Revision func() int64
	// Confirmed returns the latest confirmation of the catalogue: age ago, the head on
	// the platform was at most revision. It returns false if there is none. It may be
	// nil.
	Confirmed func() (revision int64, age time.Duration, ok bool)
	// Confirm is called with a peer's confirmation. at is the time of the confirmation
	// on this gateway's clock; it may be too early but is never too late. Confirm may be
	// nil.
	Confirm func(revision int64, at time.Time)
	// Draining returns the catalogue's list of draining backend servers.
	Draining func() []string
	// Evacuated reports whether a data centre is evacuated. It may be nil.
	Evacuated func(dataCentre string) bool
	// ColdRights returns the number of requests that a server may get within a second while it is cold, or 0 without a
	// bound. service is empty for an engine, which has models loaded as far as is known. It may be nil.
	ColdRights func(service string, models []string) int
	// BecameCold is called, without locks held, for a server that has become cold and whose requests are bounded. It
	// must not block. It may be nil.
	BecameCold func(ColdServer)
	// Started is called, without locks held and before Changed, with the peer address
	// of a gateway that is new or has restarted. It may be nil.
	Started func(address string)
	// Changed is called, without locks held, when hosts, facts or summaries may have
	// changed. It must not block. It may be nil.
	Changed func()
}

// Gossiper maintains this gateway's view of gateways and backend servers and exchanges
// it with its peers. It is safe for concurrent use.
type Gossiper struct {
	opt Options

	mu             sync.Mutex
	state          *state
	failed         map[string]bool
	cold           map[string]*coldState
	liveAgainSince map[string]time.Time // when a host that was leaving was first listed as live again
	round          int
	fresh          freshness
	push           chan struct{}
}

// NewGossiper returns a gossiper that knows only its own gateway.
func NewGossiper(opt Options) *Gossiper {
	return &Gossiper{opt: opt, state: newState(opt.Self), failed: map[string]bool{}, cold: map[string]*coldState{}, liveAgainSince: map[string]time.Time{}, push: make(chan struct{}, 1)}
}

// SetSeeds replaces the peer addresses to contact first.
func (g *Gossiper) SetSeeds(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opt.Seeds = append([]string(nil), addresses...)
}

// Service returns the receiver to register under ServiceName.
func (g *Gossiper) Service() *Service { return &Service{g} }

// Service is the RPC service that exchanges views with peers.
type Service struct{ g *Gossiper }

// Exchange merges the peer's view and replies with this gateway's view.
func (s *Service) Exchange(in *Message, out *Message) error {
	s.g.mu.Lock()
	*out = s.g.state.response(time.Now(), in)
	s.g.mu.Unlock()
	s.g.recordExchange()
	if !in.NamesOnly {
		s.g.addConfirmation(out)
	}
	s.g.changed()
	return nil
}

func (g *Gossiper) changed() {
	g.mu.Lock()
	started := g.state.table.popStarted()
	g.mu.Unlock()
	g.coldChanged(time.Now())
	if g.opt.Started != nil {
		for _, address := range started {
			g.opt.Started(address)
		}
	}
	if g.opt.Changed != nil {
		g.opt.Changed()
	}
}

// Run exchanges views with peers every second, and after each Push, until ctx is done.
func (g *Gossiper) Run(ctx context.Context) error {
	tick := time.NewTicker(gossipPeriod)
	defer tick.Stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		for _, address := range g.startRound(time.Now()) {
			wait.Go(func() { g.exchange(ctx, address) })
		}
		for next := false; !next; {
			select {
			case <-tick.C:
				next = true
			case <-g.push:
				for _, address := range g.peersToNotify(time.Now()) {
					wait.Go(func() { g.exchange(ctx, address) })
				}
			case <-ctx.Done():
				return nil
			}
		}
	}
}

// Push starts exchanges with some peers at once to propagate a new catalogue revision.
// Without it, each hop between gateways takes one or two rounds. It doesn't block.
func (g *Gossiper) Push() {
	select {
	case g.push <- struct{}{}:
	default:
	}
}

// peersToNotify updates the catalogue revision and returns the addresses to call after a
// Push.
func (g *Gossiper) peersToNotify(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.table.SetRevision(g.opt.Revision())
	return g.choosePeers(now)
}

// startRound advances the heartbeat, removes expired entries and returns the addresses
// to call in this round.
func (g *Gossiper) startRound(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fresh.startRound(now)
	g.state.table.Beat(g.opt.Revision())
	g.state.table.RemoveExpired(now)
	g.state.facts.RemoveExpired(now)
	g.state.summaries.removeExpired(now)
	g.round++
	return g.choosePeers(now)
}

// choosePeers returns the addresses of 3 random live peers of this data centre, of one
// of another data centre in every second round, and of one peer that is not live, so
// that partitions heal.
func (g *Gossiper) choosePeers(now time.Time) []string {
	local, remote := g.state.liveHosts(now)
	out := g.sample(addresses(local), gossipFanout)
	if g.round%roundsPerRemoteCall == 0 {
		out = append(out, g.sample(addresses(remote), 1)...)
	}
	unreachable := g.unreachable(now, local, remote)
	if len(local)+len(remote) == 0 {
		return append(out, g.sample(unreachable, gossipFanout)...)
	}
	return append(out, g.sample(unreachable, 1)...)
}

// unreachable returns the addresses of dead hosts, and the seeds that aren't the address
// of a live host.
func (g *Gossiper) unreachable(now time.Time, local, remote []knownHost) []string {
	skip := map[string]bool{g.opt.Self.PeerAddress: true}
	for _, a := range addresses(append(local, remote...)) {
		skip[a] = true
	}
	var out []string
	add := func(a string) {
		if !skip[a] {
			skip[a] = true
			out = append(out, a)
		}
	}
	for _, s := range g.state.table.Hosts(now) {
		if s.State == Dead {
			add(s.PeerAddress)
		}
	}
	for _, a := range g.opt.Seeds {
		add(a)
	}
	return out
}

func addresses(hosts []knownHost) []string {
	out := make([]string, len(hosts))
	for i, h := range hosts {
		out[i] = h.PeerAddress
	}
	return out
}

// sample returns up to n random elements.
func (g *Gossiper) sample(from []string, n int) []string {
	out := append([]string(nil), from...)
	g.opt.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// exchange calls one peer, and continues with a follow-up message if either side doesn't
// know all IDs or cannot decode the heartbeats.
func (g *Gossiper) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	g.mu.Lock()
	request := g.state.newRequest(time.Now(), g.state.table.local(address))
	g.mu.Unlock()
	sent := time.Now()
	response, ok := g.call(ctx, address, request)
	if !ok {
		return
	}
	g.recordExchange()
	g.useConfirmation(sent, &response)
	g.mu.Lock()
	followUp, needed := g.state.followUp(time.Now(), &response)
	g.mu.Unlock()
	if needed {
		g.followUp(ctx, address, followUp)
	}
	g.changed()
}

// followUp continues an exchange with m. If the response requests the names of IDs that
// the peer received first in m, followUp sends them too.
func (g *Gossiper) followUp(ctx context.Context, address string, m Message) {
	response, ok := g.call(ctx, address, m)
	if !ok {
		return
	}
	g.mu.Lock()
	g.state.apply(time.Now(), &response)
	names := g.state.names(response.Want)
	g.mu.Unlock()
	if len(response.Want) > 0 {
		g.call(ctx, address, names)
	}
}

func (g *Gossiper) call(ctx context.Context, address string, m Message) (Message, bool) {
	var response Message
	if err := g.opt.Caller.Call(ctx, address, ServiceName+".Exchange", &m, &response); err != nil {
		level.Debug(g.opt.Logger).Log("msg", "gossip exchange failed", "peer", address, "err", err)
		return Message{}, false
	}
	return response, true
}

// Leave notifies the peers of this data centre, and one of another data centre, that
// this gateway shuts down. They propagate it.
func (g *Gossiper) Leave(ctx context.Context) {
	g.mu.Lock()
	g.state.table.Leave()
	local, remote := g.state.liveHosts(time.Now())
	to := g.sample(addresses(local), leaveFanout)
	to = append(to, g.sample(addresses(remote), 1)...)
	g.mu.Unlock()
	g.changed()
	var wait sync.WaitGroup
	for _, address := range to {
		wait.Go(func() { g.exchange(ctx, address) })
	}
	wait.Wait()
}

// SetSummary publishes the load of a group that this gateway owns.
func (g *Gossiper) SetSummary(m schedule.Summary) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.summaries.state(time.Now(), m)
}
