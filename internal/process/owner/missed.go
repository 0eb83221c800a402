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
	// maxFetchPeers is the number of gateways queried for missed reports.
	maxFetchPeers = 8
	// fetchTimeout bounds the query for missed reports, during which a caller waits.
	fetchTimeout = 300 * time.Millisecond
	// joinPeriod is the time after the start in which gateways become known for the
	// first time, so that none is treated as rejoined. The start itself fetches
	// suspects.
	joinPeriod = time.Minute
	// fetchRetryDelay is the time between two queries when no gateway answers.
	fetchRetryDelay = 2 * time.Second
)

// missedReports tracks whether this gateway may have missed reports of suspects,
// because it has just started or was paused: a request that crashes engines would
// otherwise run here once more.
type missedReports struct {
	stale bool
	// failedAt is the time of the last query that no gateway answered.
	failedAt time.Time
	// fetching lets one request send the query while the others wait for the answers.
	fetching sync.Mutex
}

// wasPaused reports whether the process was paused since the last tick. The caller
// holds m.mu.
func (m *Manager) wasPaused(now time.Time) bool {
	return !m.lastTick.IsZero() && now.Sub(m.lastTick) > pauseThreshold
}

// fetchDue reports whether reports may be missing and a query is due.
func (m *Manager) fetchDue(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.missed.stale = m.missed.stale || m.wasPaused(now)
	return m.missed.stale && now.Sub(m.missed.failedAt) >= fetchRetryDelay
}

// fetchMissed fetches the suspects of other gateways if this one may have missed
// reports. Without an answer the request proceeds: a gateway that is cut off from all
// others still serves what it can.
func (m *Manager) fetchMissed(ctx context.Context) {
	if !m.fetchDue(time.Now()) {
		return
	}
	m.missed.fetching.Lock()
	defer m.missed.fetching.Unlock()
	if !m.fetchDue(time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	peers := m.fetchTargets()
	answered := m.fetchReports(ctx, peers)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.missed.stale = !answered
	// If no gateway is known, as after a start during a partition, the first one that
	// becomes known is queried without a delay.
	if m.missed.stale && len(peers) > 0 {
		m.missed.failedAt = time.Now()
	}
}

// fetchTargets returns the gateways to query, in random order, those of this data
// centre first.
func (m *Manager) fetchTargets() []membership.Gateway {
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
	return all[:min(len(all), maxFetchPeers)]
}

// fetchFromRejoined fetches the suspects of gateways that were not known a second ago.
// After a partition of more than 5 minutes membership forgets gateways, so nobody has
// kept reports for them, while suspects live for 10 minutes.
func (m *Manager) fetchFromRejoined(now time.Time) {
	var rejoined []membership.Gateway
	names := map[string]bool{}
	gateways := m.opt.View.Known()
	m.mu.Lock()
	for _, g := range gateways {
		names[g.Name] = true
		if !m.knownGateways[g.Name] && now.Sub(m.startedAt) > joinPeriod {
			rejoined = append(rejoined, g)
		}
	}
	m.knownGateways = names
	m.mu.Unlock()
	for _, g := range rejoined {
		m.inBackground(func() { m.fetchFromGateway(g) })
	}
}

// fetchFromGateway fetches the suspects of one gateway. If it does not answer, the next
// check queries it again.
func (m *Manager) fetchFromGateway(g membership.Gateway) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if !m.fetchReports(ctx, []membership.Gateway{g}) {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.knownGateways, g.Name)
	}
}

// fetchReports merges the suspects of all peers that answer and reports whether any
// did.
func (m *Manager) fetchReports(ctx context.Context, peers []membership.Gateway) bool {
	var wait sync.WaitGroup
	var answered atomic.Bool
	for _, g := range peers {
		wait.Go(func() {
			var reply FetchReply
			if err := m.opt.Caller.Call(ctx, g.PeerAddress, SuspectsServiceName+".Fetch", &Empty{}, &reply); err != nil {
				level.Debug(m.opt.Logger).Log("msg", "fetching suspects failed", "peer", g.Name, "err", err)
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
