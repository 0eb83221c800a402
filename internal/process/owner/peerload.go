package owner

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
)

const (
	// sharePeriod is the time between two looks for changed grants. Two gateways
	// that place work within it may choose the same replica.
	sharePeriod = 50 * time.Millisecond
	// shareAtLeast is the time after which unchanged loads are told again, because
	// generations grow.
	shareAtLeast = 500 * time.Millisecond
	// shareTimeout bounds one exchange.
	shareTimeout = 500 * time.Millisecond
	// loadLife is the time after which the loads of a silent gateway are forgotten.
	// It outlasts a few lost exchanges; a gateway that has ended cancels its work.
	loadLife = 3 * time.Second
)

// loadShare is the state of the exchange of loads under the shared policy.
type loadShare struct {
	// dirty is set when grants have changed since the last exchange.
	dirty  bool
	sentAt time.Time
	// number is that of the newest message; messages with a higher one include the
	// grants of now.
	number uint64
	// heard is the time of the last loads of each gateway.
	heard map[string]heardLoads
	// calling holds the gateways with an exchange in progress.
	calling map[string]bool
}

type heardLoads struct {
	at          time.Time
	incarnation int64
	number      uint64
	// forgotten is set once the loads were dropped.
	forgotten bool
}

// LoadsArgs tells the loads of a gateway's grants, by group.
type LoadsArgs struct {
	Gateway     string
	Incarnation int64
	// Number grows with each message, so that a late one is ignored.
	Number uint64
	Groups []GroupLoads
	// Reports are those that the gateway has read since its last message.
	Reports []api.LoadReport
	// Broken are the engines that broke links of the gateway, with the time for
	// which it gives them no new work.
	Broken map[string]time.Duration
}

// GroupLoads are the loads of one group.
type GroupLoads struct {
	Group schedule.GroupKey
	Loads []schedule.ReplicaLoad
}

// Loads takes over the loads of a peer's grants.
func (s *Service) Loads(in *LoadsArgs, _ *Empty) error {
	s.m.hearLoads(time.Now(), in)
	return nil
}

// shareLoads tells the others of this gateway's grants until ctx ends.
func (m *Manager) shareLoads(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	var toldAt time.Time
	every(ctx, sharePeriod, func() {
		now := time.Now()
		m.forgetLoads(now)
		if !m.shareDue(now) {
			return
		}
		args := m.ownLoads(m.nextNumber())
		args.Reports = m.readReports(toldAt)
		if m.opt.Broken != nil {
			args.Broken = m.opt.Broken(now)
		}
		toldAt = now
		for _, g := range m.opt.View.Live() {
			if g.Name != m.self() && m.startSharing(g.Name) {
				wait.Go(func() { m.shareWith(ctx, g, args) })
			}
		}
	})
}

// shareDue reports whether loads are to be told, and then counts them as told.
func (m *Manager) shareDue(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loads.dirty && now.Sub(m.loads.sentAt) < shareAtLeast {
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

// startSharing marks an exchange as in progress; it reports false if one is. The
// gateway then hears of the change with the next exchange.
func (m *Manager) startSharing(gateway string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loads.calling[gateway] {
		m.loads.dirty = true
		return false
	}
	if m.loads.calling == nil {
		m.loads.calling = map[string]bool{}
	}
	m.loads.calling[gateway] = true
	return true
}

func (m *Manager) ownLoads(number uint64) *LoadsArgs {
	args := &LoadsArgs{Gateway: m.self(), Incarnation: m.opt.View.Self().Incarnation, Number: number}
	for _, r := range m.existing() {
		if loads := r.loads(); len(loads) > 0 {
			args.Groups = append(args.Groups, GroupLoads{Group: r.key, Loads: loads})
		}
	}
	return args
}

func (m *Manager) shareWith(ctx context.Context, g membership.Gateway, args *LoadsArgs) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	if err := m.opt.Caller.Call(ctx, g.PeerAddress, ServiceName+".Loads", args, new(Empty)); err != nil {
		level.Debug(m.opt.Logger).Log("msg", "loads not told", "peer", g.Name, "err", err)
	}
	m.mu.Lock()
	delete(m.loads.calling, g.Name)
	m.mu.Unlock()
}

// hearLoads passes a peer's loads to the groups, unless a newer message came first.
func (m *Manager) hearLoads(now time.Time, in *LoadsArgs) {
	m.mu.Lock()
	last := m.loads.heard[in.Gateway]
	if in.Incarnation < last.incarnation || in.Incarnation == last.incarnation && in.Number <= last.number {
		m.mu.Unlock()
		return
	}
	if m.loads.heard == nil {
		m.loads.heard = map[string]heardLoads{}
	}
	m.loads.heard[in.Gateway] = heardLoads{at: now, incarnation: in.Incarnation, number: in.Number}
	m.mu.Unlock()
	m.hearReports(now, in.Reports)
	if len(in.Broken) > 0 && m.opt.HearBroken != nil {
		m.opt.HearBroken(now, in.Broken)
	}
	by := map[schedule.GroupKey][]schedule.ReplicaLoad{}
	for _, g := range in.Groups {
		by[g.Group] = g.Loads
	}
	for _, r := range m.existing() {
		r.setPeerLoads(now, in.Gateway, in.Number, by[r.key])
	}
}

// forgetLoads drops the loads of gateways that have been silent for long.
func (m *Manager) forgetLoads(now time.Time) {
	var silent []string
	m.mu.Lock()
	for name, h := range m.loads.heard {
		switch {
		case now.Sub(h.at) > 10*loadLife:
			delete(m.loads.heard, name)
		case now.Sub(h.at) > loadLife && !h.forgotten:
			silent = append(silent, name)
			// The number is kept in case that a delayed message still comes.
			h.forgotten = true
			m.loads.heard[name] = h
		}
	}
	m.mu.Unlock()
	for _, name := range silent {
		for _, r := range m.existing() {
			r.setPeerLoads(now, name, math.MaxUint64, nil)
		}
	}
}

func (r *runner) loads() []schedule.ReplicaLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group.Loads()
}

func (r *runner) setPeerLoads(now time.Time, gateway string, number uint64, loads []schedule.ReplicaLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group.SetPeerLoads(now, gateway, loads)
	r.group.DropReservations(now, gateway, number)
	r.poke()
}
