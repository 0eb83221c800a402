package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/request/api"
)

const (
	// maxMeshGateways is the number of gateways up to which each sends its loads to all
	// others. With more, a relay in each data centre collects and distributes them: 83
	// gateways with 0.2 of a core each spent two thirds of their processor time on the mesh.
	// Cells always have relays: a cell has a few gateways in each data centre, and a mesh would send each
	// report to all of them in the other data centres.
	maxMeshGateways = 16
	// relayedLoadsPeriod is the time after which unchanged loads are sent to the relay
	// again. Three of them fit into loadsTTL.
	relayedLoadsPeriod = time.Second
	// fetchHold is how long a relay delays its reply while it has nothing new.
	fetchHold = 250 * time.Millisecond
	// relayTimeout bounds one call to a relay, in addition to fetchHold. It is short, because
	// the loads of a data centre do not reach the others until its next relay is called.
	relayTimeout = 300 * time.Millisecond
	// followerTTL is the time since the last call of a gateway of its data centre for which
	// a gateway works as a relay.
	followerTTL = 2 * time.Second
)

// relayState is the state of the exchange of loads through relays.
type relayState struct {
	buffer relayBuffer
	// followedAt is the time of the last call by a gateway of this data centre.
	followedAt time.Time
	// changed is closed and replaced when the buffer changes.
	changed chan struct{}
	// relay is the gateway that this one last called as its relay.
	relay string
	// ownSentAt is the time of the last message with the loads of this gateway.
	ownSentAt time.Time
	cursors   map[string]relayCursor
}

// relayCursor is the position up to which this gateway has received the buffer of a relay.
type relayCursor struct {
	incarnation int64
	sequence    uint64
}

// FetchLoadsArgs requests the loads and reports that a relay received after a position.
type FetchLoadsArgs struct {
	Gateway, DataCentre string
	// Incarnation and Since are the position up to which the gateway has the relay's buffer.
	Incarnation int64
	Since       uint64
	// Statements are those of servers that the gateway or its followers have read, since the last message.
	Statements []ServerStatement
}

// RelayedLoads are the loads of one gateway as a relay passes them on.
type RelayedLoads struct {
	// Encoded is the result of encodeLoads.
	Encoded []byte
	// Broken is that of LoadsArgs, less the time since the relay received it.
	Broken map[string]time.Duration
	// Demands are those of LoadsArgs, later by the time since the relay received them.
	Demands []GroupDemand
	// Uses is that of LoadsArgs, or nil if the caller has it already.
	Uses []byte
}

// FetchLoadsReply holds the loads and reports after the position of FetchLoadsArgs.
type FetchLoadsReply struct {
	Incarnation int64
	Sequence    uint64
	Loads       []RelayedLoads
	Reports     []api.LoadReport
	// Statements are the newest ones of servers since the last message. They don't end the wait.
	Statements []ServerStatement
}

// PushLoads receives the loads of a gateway of this data centre and keeps them for the others.
func (s *Service) PushLoads(in *LoadsArgs, _ *Empty) error {
	now := time.Now()
	s.m.receiveLoads(now, in)
	s.m.bufferLoads(now, in)
	return nil
}

// FetchLoads returns what is new for a gateway of this data centre, or for the relay of another
// one, as soon as it holds a change. Loads and reports that only confirm the ones before do not end the wait,
// or the calls would grow with the gateways that send them. It returns after fetchHold at the latest.
func (s *Service) FetchLoads(in *FetchLoadsArgs, out *FetchLoadsReply) error {
	defer s.m.exchangeStatements(in, out)()
	deadline := time.NewTimer(fetchHold)
	defer deadline.Stop()
	for {
		changed, done := s.m.readBuffer(time.Now(), in, out)
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return nil
		}
	}
}

// readBuffer fills out and reports whether it holds a change for the caller. changed is
// closed at the next change of the buffer.
func (m *Manager) readBuffer(now time.Time, in *FetchLoadsArgs, out *FetchLoadsReply) (changed <-chan struct{}, done bool) {
	self := m.opt.View.Self()
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &m.loads.relay
	local := in.DataCentre == self.DataCentre
	if local {
		l.followedAt = now
	}
	since := in.Since
	if in.Incarnation != self.Incarnation {
		since = 0
	}
	out.Incarnation, out.Sequence = self.Incarnation, l.buffer.sequence
	out.Loads, out.Reports = l.buffer.since(now, since, in.Gateway, !local)
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed, l.buffer.changedSince(since, in.Gateway, !local)
}

// bufferLoads keeps the loads of a gateway of this data centre for the others.
func (m *Manager) bufferLoads(now time.Time, in *LoadsArgs) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads.relay.buffer.add(now, in, true)
	m.loads.relay.notify()
}

// notify wakes the calls that wait for a change of the buffer.
func (l *relayState) notify() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// relayLoads passes the loads of this gateway to the relay of its data centre and fetches
// those of the others. A gateway that is a relay fetches the loads of the other data
// centres instead.
func (m *Manager) relayLoads(ctx context.Context, wait *sync.WaitGroup, now time.Time, live []membership.Gateway) {
	byDataCentre := map[string][]membership.Gateway{}
	for _, g := range live {
		if g.Name == m.self() || !m.isAvoided(g.Name) {
			byDataCentre[g.DataCentre] = append(byDataCentre[g.DataCentre], g)
		}
	}
	own := m.opt.View.Self().DataCentre
	relay, ok := selectRelay(byDataCentre[own])
	m.noteRelay(now, relay)
	if !ok {
		return
	}
	if relay.Name == m.self() {
		if loads, _ := m.changedLoads(now); loads != nil {
			m.bufferLoads(now, loads)
		}
	} else {
		m.pushLoads(ctx, wait, now, relay)
		m.startFetch(ctx, wait, relay)
	}
	if !m.isRelay(now, relay) {
		return
	}
	for dataCentre, gateways := range byDataCentre {
		if remote, ok := selectRelay(gateways); ok && dataCentre != own {
			m.startFetch(ctx, wait, remote)
		}
	}
}

// selectRelay returns the relay among the gateways of a data centre: the first in rank of
// those with the most processor time. On hosts with a fifth of a core, relays of 20
// gateways answered their own callers late.
func selectRelay(gateways []membership.Gateway) (membership.Gateway, bool) {
	most := 0
	for _, g := range gateways {
		most = max(most, g.MilliCores)
	}
	names := make([]string, 0, len(gateways))
	for _, g := range gateways {
		if g.MilliCores == most {
			names = append(names, g.Name)
		}
	}
	best := membership.HighestRanked(names, "loads")
	for _, g := range gateways {
		if g.Name == best {
			return g, true
		}
	}
	return membership.Gateway{}, false
}

// noteRelay drops expired loads and logs a change of the relay.
func (m *Manager) noteRelay(now time.Time, relay membership.Gateway) {
	m.mu.Lock()
	m.loads.relay.buffer.expire(now)
	old := m.loads.relay.relay
	m.loads.relay.relay = relay.Name
	m.mu.Unlock()
	if old != relay.Name {
		level.Info(m.opt.Logger).Log("msg", "relay of loads changed", "relay", relay.Name, "before", old)
	}
}

// isRelay reports whether this gateway works as a relay: because it is the first in rank,
// or because a gateway that cannot reach the first in rank has called it.
func (m *Manager) isRelay(now time.Time, relay membership.Gateway) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return relay.Name == m.self() || now.Sub(m.loads.relay.followedAt) < followerTTL
}

// pushLoads sends the loads of this gateway to the relay if they have changed.
func (m *Manager) pushLoads(ctx context.Context, wait *sync.WaitGroup, now time.Time, relay membership.Gateway) {
	key := "push/" + relay.Name
	if !m.startSendingLoads(key) {
		return
	}
	own, reportsSince := m.changedLoads(now)
	if own == nil {
		m.doneSendingLoads(key)
		return
	}
	wait.Go(func() {
		defer m.doneSendingLoads(key)
		if m.callRelay(ctx, relay, "PushLoads", relayTimeout, own, new(Empty)) == nil {
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.loads.dirty, m.loads.reportsSentAt = true, reportsSince
	})
}

// startFetch starts a call that fetches what a relay has received, unless one is in
// progress.
func (m *Manager) startFetch(ctx context.Context, wait *sync.WaitGroup, relay membership.Gateway) {
	key := "fetch/" + relay.Name
	if !m.startSendingLoads(key) {
		return
	}
	wait.Go(func() {
		defer m.doneSendingLoads(key)
		self := m.opt.View.Self()
		m.mu.Lock()
		position := m.loads.relay.cursors[relay.Name]
		m.mu.Unlock()
		in := FetchLoadsArgs{Gateway: self.Name, DataCentre: self.DataCentre, Incarnation: position.incarnation, Since: position.sequence}
		in.Statements = m.statements.take(time.Now(), relay.Name, localStatements)
		var out FetchLoadsReply
		if m.callRelay(ctx, relay, "FetchLoads", fetchHold+relayTimeout, &in, &out) == nil {
			m.hearStatements(time.Now(), relay.Name, false, out.Statements)
			m.applyRelayed(time.Now(), relay.Name, &out)
		}
	})
}

// callRelay calls a relay. A relay that does not answer is avoided for a while.
func (m *Manager) callRelay(ctx context.Context, relay membership.Gateway, method string, timeout time.Duration, in, out any) error {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := m.opt.Caller.Call(call, relay.PeerAddress, ServiceName+"."+method, in, out)
	if err != nil && ctx.Err() == nil {
		m.avoid(relay.Name)
		level.Info(m.opt.Logger).Log("msg", "relay of loads does not answer", "relay", relay.Name, "err", err)
	}
	return err
}

// changedLoads returns the loads of this gateway if they are to be passed on, or else nil.
// reportsSince is the time from which on they include reports of engines.
func (m *Manager) changedLoads(now time.Time) (own *LoadsArgs, reportsSince time.Time) {
	m.mu.Lock()
	l := &m.loads.relay
	due := m.loads.dirty || now.Sub(l.ownSentAt) >= relayedLoadsPeriod || m.polledSince(m.loads.reportsSentAt)
	if !due {
		m.mu.Unlock()
		return nil, time.Time{}
	}
	m.loads.dirty = false
	reportsSince = m.loads.reportsSentAt
	l.ownSentAt, m.loads.reportsSentAt = now, now
	m.mu.Unlock()
	return m.loadsMessage(now, reportsSince), reportsSince
}

// polledSince reports whether this gateway has polled an engine since a time. The caller
// holds the lock.
func (m *Manager) polledSince(since time.Time) bool {
	for _, e := range m.engines {
		if e.polled && !e.pollDoneAt.IsZero() && !e.pollDoneAt.Before(since) {
			return true
		}
	}
	return false
}

// applyRelayed applies the reply of a relay and keeps it for the gateways that call this
// one.
func (m *Manager) applyRelayed(now time.Time, relay string, in *FetchLoadsReply) {
	loads := make([]LoadsArgs, 0, len(in.Loads))
	for _, l := range in.Loads {
		a, err := decodeLoads(l.Encoded)
		if err != nil {
			level.Warn(m.opt.Logger).Log("msg", "ignoring loads from a relay", "relay", relay, "err", err)
			continue
		}
		a.Broken, a.Demands, a.Uses = l.Broken, l.Demands, l.Uses
		loads = append(loads, a)
		m.receiveLoads(now, &a)
	}
	m.applyPeerReports(now, in.Reports)
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &m.loads.relay
	if l.cursors == nil {
		l.cursors = map[string]relayCursor{}
	}
	l.cursors[relay] = relayCursor{in.Incarnation, in.Sequence}
	for i := range loads {
		l.buffer.add(now, &loads[i], false)
	}
	l.buffer.addReports(now, in.Reports, "", false)
	if len(in.Loads)+len(in.Reports) > 0 {
		l.notify()
	}
}
