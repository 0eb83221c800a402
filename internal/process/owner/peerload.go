package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
)

const (
	// loadsPeriod is the interval between checks for changed grants. Two gateways that
	// place work within one interval may choose the same replica.
	loadsPeriod = 50 * time.Millisecond
	// maxLoadsPeriod is the time after which unchanged loads are sent again, because
	// generations grow.
	maxLoadsPeriod = 500 * time.Millisecond
	// loadsTimeout bounds sending the loads to one gateway.
	loadsTimeout = 500 * time.Millisecond
	// loadsTTL is the time after which the loads of a silent gateway are dropped. It
	// outlasts a few lost messages; a gateway that has ended cancels its work.
	loadsTTL = 3 * time.Second
)

// loadExchange is the state of the exchange of loads between gateways under the shared
// policy.
type loadExchange struct {
	// dirty is set when grants have changed since the last message.
	dirty bool
	// sentAt is the time of the last message to all gateways, and reportsSentAt the time up
	// to which reports of engines have been passed on.
	sentAt, reportsSentAt time.Time
	uses                  schedule.UsePublisher
	// number is that of the newest message. Messages with a higher number include all
	// current grants.
	number uint64
	// received describes the last loads of each gateway.
	received map[string]receivedLoads
	// inProgress holds the gateways to which a message is being sent.
	inProgress map[string]bool
	relay      relayState
}

// receivedLoads describes the last message with loads from one gateway.
type receivedLoads struct {
	at          time.Time
	incarnation int64
	number      uint64
	// expired is set once the loads have been dropped.
	expired bool
}

// LoadsArgs carries the loads of a gateway's grants, by group.
type LoadsArgs struct {
	Gateway     string
	Incarnation int64
	// Number increases with each message, so that a delayed one is ignored.
	Number uint64
	Groups []GroupLoads
	// Uses is the result of encodeUses, or nil if the use is not due.
	Uses []byte
	// Reports are the load reports that the gateway has polled since its last message.
	Reports []api.LoadReport
	// Broken holds the engines that broke connections of the gateway, with the time for
	// which the gateway sends them no new work.
	Broken map[string]time.Duration
	// Statements are those of servers that the gateway has read since its last message, in a mesh without relays.
	Statements []ServerStatement
	// Demands are what waits at the gateway.
	Demands []GroupDemand
}

// GroupDemand is what waits for a group at a gateway.
type GroupDemand struct {
	Group  schedule.GroupKey
	Demand schedule.Demand
}

// GroupLoads are the loads of one group.
type GroupLoads struct {
	Group schedule.GroupKey
	Loads []schedule.ReplicaLoad
}

// Loads receives the loads of a peer's grants.
func (s *Service) Loads(in *LoadsArgs, _ *Empty) error {
	s.m.receiveLoads(time.Now(), in)
	s.m.hearStatements(time.Now(), in.Gateway, false, in.Statements)
	return nil
}

// newerThan reports whether the message is newer than the one with this incarnation and
// number of the same gateway.
func (a *LoadsArgs) newerThan(incarnation int64, number uint64) bool {
	return a.Incarnation > incarnation || a.Incarnation == incarnation && a.Number > number
}

// exchangeLoads sends the loads of this gateway's grants to the others, directly or through
// relays, and drops the loads of silent gateways until ctx ends.
func (m *Manager) exchangeLoads(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	every(ctx, loadsPeriod, func() {
		now := time.Now()
		m.expireLoads(now)
		if live := m.opt.View.Peers(); len(live) > maxMeshGateways || m.opt.View.Divided() {
			m.relayLoads(ctx, &wait, now, live)
		} else {
			m.broadcastLoads(ctx, &wait, now, live)
		}
	})
}

// broadcastLoads sends the loads of this gateway to each of the others if they are due.
func (m *Manager) broadcastLoads(ctx context.Context, wait *sync.WaitGroup, now time.Time, live []membership.Gateway) {
	if !m.loadsDue(now) {
		return
	}
	m.mu.Lock()
	lastSent := m.loads.reportsSentAt
	m.loads.reportsSentAt = now
	m.mu.Unlock()
	args := m.loadsMessage(now, lastSent)
	args.Statements = m.statements.take(now, allPeers, ownStatements)
	for _, g := range live {
		switch {
		case g.Name == m.self():
		case m.startSendingLoads(g.Name):
			wait.Go(func() { m.sendLoads(ctx, g, args) })
		default:
			// The change is sent with the next message.
			m.markDirty()
		}
	}
}

func (m *Manager) markDirty() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads.dirty = true
}

// loadsMessage returns a new message with the loads of this gateway, the reports that it
// has polled since a time and the engines that broke its connections.
func (m *Manager) loadsMessage(now, reportsSince time.Time) *LoadsArgs {
	args := m.ownLoads(m.nextNumber())
	args.Reports = m.reportsSince(reportsSince)
	if m.opt.Broken != nil {
		args.Broken = m.opt.Broken(now)
	}
	for _, r := range m.allRunners() {
		if d := r.demand(now); len(d.Waiting)+len(d.Places) > 0 {
			args.Demands = append(args.Demands, GroupDemand{r.key, d})
		}
	}
	args.Uses = encodeUses(m.dueUses(now))
	return args
}

// dueUses returns what this gateway has granted recently, or nil if the others need not learn it now.
func (m *Manager) dueUses(now time.Time) []GroupUse {
	var out []GroupUse
	tokens, waiting := int64(0), int64(0)
	for _, r := range m.allRunners() {
		if u := r.use(now); u.Tokens > 0 {
			out = append(out, GroupUse{r.key, u})
			tokens += u.Tokens
			waiting += u.Waiting
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loads.uses.Due(now, tokens, waiting) {
		return nil
	}
	return out
}

// loadsDue reports whether the loads are to be sent, and if so marks them as sent.
func (m *Manager) loadsDue(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loads.dirty && now.Sub(m.loads.sentAt) < maxLoadsPeriod {
		return false
	}
	m.loads.dirty = false
	m.loads.sentAt = now
	return true
}

func (m *Manager) nextNumber() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads.number++
	return m.loads.number
}

// startSendingLoads marks a message to a gateway as in progress. It returns false if
// one already is.
func (m *Manager) startSendingLoads(gateway string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loads.inProgress[gateway] {
		return false
	}
	if m.loads.inProgress == nil {
		m.loads.inProgress = map[string]bool{}
	}
	m.loads.inProgress[gateway] = true
	return true
}

func (m *Manager) ownLoads(number uint64) *LoadsArgs {
	args := &LoadsArgs{Gateway: m.self(), Incarnation: m.opt.View.Self().Incarnation, Number: number}
	for _, r := range m.allRunners() {
		if loads := r.loads(); len(loads) > 0 {
			args.Groups = append(args.Groups, GroupLoads{Group: r.key, Loads: loads})
		}
	}
	return args
}

func (m *Manager) sendLoads(ctx context.Context, g membership.Gateway, args *LoadsArgs) {
	ctx, cancel := context.WithTimeout(ctx, loadsTimeout)
	defer cancel()
	if err := m.opt.Caller.Call(ctx, g.PeerAddress, ServiceName+".Loads", args, new(Empty)); err != nil {
		level.Debug(m.opt.Logger).Log("msg", "sending loads failed", "peer", g.Name, "err", err)
	}
	m.doneSendingLoads(g.Name)
}

func (m *Manager) doneSendingLoads(gateway string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.loads.inProgress, gateway)
}

// receiveLoads passes a peer's loads to the groups, unless a newer message arrived
// first.
func (m *Manager) receiveLoads(now time.Time, in *LoadsArgs) {
	m.mu.Lock()
	last := m.loads.received[in.Gateway]
	if !in.newerThan(last.incarnation, last.number) {
		m.mu.Unlock()
		return
	}
	if m.loads.received == nil {
		m.loads.received = map[string]receivedLoads{}
	}
	m.loads.received[in.Gateway] = receivedLoads{at: now, incarnation: in.Incarnation, number: in.Number}
	m.mu.Unlock()
	m.applyPeerReports(now, in.Reports)
	if len(in.Broken) > 0 && m.opt.MergeBroken != nil {
		m.opt.MergeBroken(now, in.Broken)
	}
	byGroup := map[schedule.GroupKey][]schedule.ReplicaLoad{}
	for _, g := range in.Groups {
		byGroup[g.Group] = g.Loads
	}
	for _, r := range m.allRunners() {
		r.setPeerLoads(now, in.Gateway, in.Number, byGroup[r.key], demandOf(in.Demands, r.key))
	}
	if len(in.Uses) > 0 {
		m.receiveUses(now, in.Gateway, in.Uses)
	}
}

// receiveUses passes what a peer has granted recently to the groups. A group that is missing has no use.
func (m *Manager) receiveUses(now time.Time, gateway string, encoded []byte) {
	uses, err := decodeUses(encoded)
	if err != nil {
		level.Warn(m.opt.Logger).Log("msg", "ignoring the use of workspaces at a peer", "peer", gateway, "err", err)
		return
	}
	byGroup := make(map[schedule.GroupKey]schedule.Use, len(uses))
	for _, g := range uses {
		byGroup[g.Group] = g.Use
	}
	for _, r := range m.allRunners() {
		r.setPeerUse(now, gateway, byGroup[r.key])
	}
}

// expireLoads drops the loads of gateways that have been silent for loadsTTL.
func (m *Manager) expireLoads(now time.Time) {
	var silent []string
	m.mu.Lock()
	for name, h := range m.loads.received {
		switch {
		case now.Sub(h.at) > 10*loadsTTL:
			delete(m.loads.received, name)
		case now.Sub(h.at) > loadsTTL && !h.expired:
			silent = append(silent, name)
			// The number is kept so that a delayed message is still recognised.
			h.expired = true
			m.loads.received[name] = h
		}
	}
	m.mu.Unlock()
	for _, name := range silent {
		for _, r := range m.allRunners() {
			r.setPeerLoads(now, name, schedule.NoMoreLoads, nil, schedule.Demand{})
			r.setPeerUse(now, name, schedule.Use{})
		}
	}
}

func (r *runner) loads() []schedule.ReplicaLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group.Loads()
}

func (r *runner) use(now time.Time) schedule.Use {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group.Use(now)
}

func (r *runner) setPeerUse(now time.Time, gateway string, u schedule.Use) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group.SetPeerUse(now, gateway, u)
}

func (r *runner) demand(now time.Time) schedule.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group.Demand(now)
}

// demandOf returns the demand for a group.
func demandOf(demands []GroupDemand, k schedule.GroupKey) schedule.Demand {
	for _, d := range demands {
		if d.Group == k {
			return d.Demand
		}
	}
	return schedule.Demand{}
}

func (r *runner) setPeerLoads(now time.Time, gateway string, number uint64, loads []schedule.ReplicaLoad, d schedule.Demand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group.SetPeerDemand(now, gateway, d)
	r.group.SetPeerLoads(now, gateway, number, loads)
	r.group.DropReservations(now, gateway, number)
	r.requestDispatch()
}
