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
	// gossipFanout is the number of peers of the own data centre in each round.
	gossipFanout = 3
	// remoteEvery makes every second round call a peer of another data centre.
	remoteEvery = 2
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// leaveFanout is the number of peers of the own data centre that hear of a
	// graceful end at once. It covers a data centre of the target, so that groups
	// change owners without waiting for gossip.
	leaveFanout = 64
)

// ServiceName is the name under which the Gossiper serves its peers.
const ServiceName = "Membership"

// Caller calls peers; it is implemented by peer.Pool.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Options configures a Gossiper.
type Options struct {
	Self Host
	// Seeds are peer addresses to start from.
	Seeds  []string
	Caller Caller
	Logger log.Logger
	// Rand chooses peers.
	Rand *rand.Rand
	// Revision returns the catalogue revision in force.
	Revision func() int64
	// Confirmed returns how long ago the platform's head was known to be at most
	// revision; false if never. It may be nil.
	Confirmed func() (revision int64, age time.Duration, ok bool)
	// Confirm takes what a peer's Confirmed returned; at is the earliest instant
	// that it can mean on this gateway's clock. It may be nil.
	Confirm func(revision int64, at time.Time)
	// Draining returns the catalogue's list of draining backend servers.
	Draining func() []string
	// Started is called, without locks held and before Changed, with the peer address
	// of a gateway that is new or has started again. It may be nil.
	Started func(address string)
	// Changed is called, without locks held, after hosts, facts or summaries
	// may have changed; it must not block. It may be nil.
	Changed func()
}

// Gossiper keeps this gateway's view and exchanges it with others.
type Gossiper struct {
	opt Options

	mu     sync.Mutex
	state  *state
	failed map[string]bool
	steady map[string]time.Time // since when the list shows a leaving host live again
	round  int
	fresh  freshness
	push   chan struct{}
}

// NewGossiper returns a gossiper that knows only itself.
func NewGossiper(opt Options) *Gossiper {
	return &Gossiper{opt: opt, state: newState(opt.Self), failed: map[string]bool{}, steady: map[string]time.Time{}, push: make(chan struct{}, 1)}
}

// SetSeeds replaces the peer addresses to start from.
func (g *Gossiper) SetSeeds(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opt.Seeds = append([]string(nil), addresses...)
}

// Service returns the receiver to register under ServiceName.
func (g *Gossiper) Service() *Service { return &Service{g} }

// Service serves exchanges to peers.
type Service struct{ g *Gossiper }

// Exchange takes over the peer's view and returns this gateway's own.
func (s *Service) Exchange(in *Message, out *Message) error {
	s.g.mu.Lock()
	*out = s.g.state.answer(time.Now(), in)
	s.g.mu.Unlock()
	s.g.heard()
	if !in.NamesOnly {
		s.g.putConfirmation(out)
	}
	s.g.changed()
	return nil
}

func (g *Gossiper) changed() {
	g.mu.Lock()
	started := g.state.table.takeStarted()
	g.mu.Unlock()
	if g.opt.Started != nil {
		for _, address := range started {
			g.opt.Started(address)
		}
	}
	if g.opt.Changed != nil {
		g.opt.Changed()
	}
}

// Run exchanges every second until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	tick := time.NewTicker(gossipPeriod)
	defer tick.Stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		for _, address := range g.beat(time.Now()) {
			wait.Go(func() { g.exchange(ctx, address) })
		}
		for next := false; !next; {
			select {
			case <-tick.C:
				next = true
			case <-g.push:
				for _, address := range g.pushed(time.Now()) {
					wait.Go(func() { g.exchange(ctx, address) })
				}
			case <-ctx.Done():
				return nil
			}
		}
	}
}

// Push tells some peers of a new catalogue revision at once. Without it, each
// hop from gateway to gateway takes a round or two. It doesn't block.
func (g *Gossiper) Push() {
	select {
	case g.push <- struct{}{}:
	default:
	}
}

// pushed returns the addresses to call between two rounds.
func (g *Gossiper) pushed(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.table.SetRevision(g.opt.Revision())
	return g.choose(now)
}

// beat starts a round and returns the addresses to call.
func (g *Gossiper) beat(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fresh.beat(now)
	g.state.table.Beat(g.opt.Revision())
	g.state.table.Forget(now)
	g.state.facts.Forget(now)
	g.state.summaries.forget(now)
	g.round++
	return g.choose(now)
}

// choose picks 3 live peers of the data centre, every second round one of
// another, and one that does not count live, so that partitions heal.
func (g *Gossiper) choose(now time.Time) []string {
	local, remote := g.state.usable(now)
	out := g.sample(addresses(local), gossipFanout)
	if g.round%remoteEvery == 0 {
		out = append(out, g.sample(addresses(remote), 1)...)
	}
	lost := g.lost(now, local, remote)
	if len(local)+len(remote) == 0 {
		return append(out, g.sample(lost, gossipFanout)...)
	}
	return append(out, g.sample(lost, 1)...)
}

// lost returns the addresses of dead hosts and of seeds that no live host has.
func (g *Gossiper) lost(now time.Time, local, remote []known) []string {
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

func addresses(hosts []known) []string {
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

// exchange calls one peer, and once more when either side lacks names.
func (g *Gossiper) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	g.mu.Lock()
	request := g.state.compose(time.Now(), g.state.table.local(address))
	g.mu.Unlock()
	sent := time.Now()
	answer, ok := g.call(ctx, address, request)
	if !ok {
		return
	}
	g.heard()
	g.takeConfirmation(sent, &answer)
	g.mu.Lock()
	follow, needed := g.state.follow(time.Now(), &answer)
	g.mu.Unlock()
	if needed {
		g.follow(ctx, address, follow)
	}
	g.changed()
}

// follow goes on with an exchange. The answer may ask for names in turn, of ids
// that m was the first to show.
func (g *Gossiper) follow(ctx context.Context, address string, m Message) {
	answer, ok := g.call(ctx, address, m)
	if !ok {
		return
	}
	g.mu.Lock()
	g.state.absorb(time.Now(), &answer)
	names := g.state.names(answer.Want)
	g.mu.Unlock()
	if len(answer.Want) > 0 {
		g.call(ctx, address, names)
	}
}

func (g *Gossiper) call(ctx context.Context, address string, m Message) (Message, bool) {
	var answer Message
	if err := g.opt.Caller.Call(ctx, address, ServiceName+".Exchange", &m, &answer); err != nil {
		level.Debug(g.opt.Logger).Log("msg", "gossip exchange failed", "peer", address, "err", err)
		return Message{}, false
	}
	return answer, true
}

// Leave tells the peers of the data centre, and one of another, that this gateway
// ends; they pass it on.
func (g *Gossiper) Leave(ctx context.Context) {
	g.mu.Lock()
	g.state.table.Leave()
	local, remote := g.state.usable(time.Now())
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

// SetSummary publishes the load of a group that this gateway runs.
func (g *Gossiper) SetSummary(m schedule.Summary) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.summaries.state(time.Now(), m)
}
