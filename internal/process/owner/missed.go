package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/membership"
)

const (
	// fetchPeers is the number of gateways asked for missed reports.
	fetchPeers = 8
	// fetchTimeout bounds that question, for which a caller waits.
	fetchTimeout = 300 * time.Millisecond
	// joinTime is the time after the start in which gateways become known for the
	// first time. The start itself asks for suspects.
	joinTime = time.Minute
	// fetchAgain is the time between two questions that nobody answered.
	fetchAgain = 2 * time.Second
)

// missedReports tells whether this gateway may have missed reports of suspects,
// because it has just started or was paused: a request that crashes engines
// would otherwise run here once more.
type missedReports struct {
	stale bool
	// asked is the time of the last question that nobody answered.
	asked time.Time
	// fetching lets one request ask while the others wait for its answer.
	fetching sync.Mutex
}

// wasPaused reports whether the process has not run for a while. The caller
// holds m.mu.
func (m *Manager) wasPaused(now time.Time) bool {
	return !m.lastTick.IsZero() && now.Sub(m.lastTick) > frozenAfter
}

// mustFetch reports whether reports may be missing and it is time to ask.
func (m *Manager) mustFetch(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.missed.stale = m.missed.stale || m.wasPaused(now)
	return m.missed.stale && now.Sub(m.missed.asked) >= fetchAgain
}

// fetchMissed asks other gateways for their suspects if this one may have missed
// reports. Without an answer the request goes on: a gateway that is cut off from
// all others serves what it can.
func (m *Manager) fetchMissed(ctx context.Context) {
	if !m.mustFetch(time.Now()) {
		return
	}
	m.missed.fetching.Lock()
	defer m.missed.fetching.Unlock()
	if !m.mustFetch(time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	peers := m.fetchFrom()
	answered := m.fetchReports(ctx, peers)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.missed.stale = !answered
	// Without anybody to ask, as after a start during a partition, the first gateway
	// that becomes known is asked at once.
	if m.missed.stale && len(peers) > 0 {
		m.missed.asked = time.Now()
	}
}

// fetchFrom chooses the gateways to ask, those of the own data centre first.
func (m *Manager) fetchFrom() []membership.Gateway {
	var local, remote []membership.Gateway
	for _, g := range m.opt.View.Known() {
		if g.DataCentre == m.opt.View.Self().DataCentre {
			local = append(local, g)
		} else {
			remote = append(remote, g)
		}
	}
	for _, list := range [][]membership.Gateway{local, remote} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	all := append(local, remote...)
	return all[:min(len(all), fetchPeers)]
}

// fetchFromRejoined asks gateways that were not known a second ago for their
// suspects. After a partition of more than 5 minutes, in which membership forgets
// gateways, nobody has kept reports for them, and suspects live for 10.
func (m *Manager) fetchFromRejoined(now time.Time) {
	var rejoined []membership.Gateway
	names := map[string]bool{}
	gateways := m.opt.View.Known()
	m.mu.Lock()
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	for _, g := range gateways {
		names[g.Name] = true
		if !m.knownNames[g.Name] && now.Sub(m.startedAt) > joinTime {
			rejoined = append(rejoined, g)
		}
	}
	m.knownNames = names
	m.mu.Unlock()
	for _, g := range rejoined {
		m.later(func() { m.fetchFromOne(g) })
	}
}

// fetchFromOne asks one gateway, and again at the next look if it does not answer.
func (m *Manager) fetchFromOne(g membership.Gateway) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if !m.fetchReports(ctx, []membership.Gateway{g}) {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.knownNames, g.Name)
	}
}

// fetchReports merges the answers of all peers and reports whether any came.
func (m *Manager) fetchReports(ctx context.Context, peers []membership.Gateway) bool {
	var wait sync.WaitGroup
	var answered atomic.Bool
	for _, g := range peers {
		wait.Go(func() {
			var reply FetchReply
			if err := m.opt.Caller.Call(ctx, g.PeerAddress, SuspectsServiceName+".Fetch", &Empty{}, &reply); err != nil {
				level.Debug(m.opt.Logger).Log("msg", "suspects not fetched", "peer", g.Name, "err", err)
				return
			}
			for _, r := range reply.Reports {
				m.guard.merge(r)
			}
			answered.Store(true)
		})
	}
	wait.Wait()
	if answered.Load() {
		m.recheck()
	}
	return answered.Load()
}
