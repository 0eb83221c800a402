package owner

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
)

// peersView is a View with a list of known gateways, none of which counts as live after
// a pause.
type peersView struct {
	View
	known []membership.Gateway
}

func (v peersView) Self() membership.Host       { return membership.Host{Name: "g1", DataCentre: "dc"} }
func (v peersView) Known() []membership.Gateway { return v.known }
func (v peersView) Live() []membership.Gateway  { return nil }

// suspectPeer answers Suspects.Fetch.
type suspectPeer struct {
	reports []crashguard.Report
	down    bool
	calls   int
}

func (p *suspectPeer) Call(_ context.Context, _, _ string, _, reply any) error {
	p.calls++
	if p.down {
		return errors.New("no answer")
	}
	reply.(*FetchReply).Reports = p.reports
	return nil
}

// Guards against a request that crashed two engines while this gateway was frozen or
// not yet started, and that then runs here once more: without fetching, the fault run
// of seed 3 lost four engines to one request.
func TestMissedSuspectsAreFetched(t *testing.T) {
	const fingerprint = 7
	source := crashguard.New()
	source.EngineLost(time.Now(), "engine-1", "a", []uint64{fingerprint})
	source.EngineLost(time.Now(), "engine-2", "a", []uint64{fingerprint})
	for name, pause := range map[string]func(*Manager){
		"paused": func(m *Manager) {
			m.lastTick = time.Now()
			time.Sleep(2 * pauseThreshold)
		},
		"paused, first tick before the request": func(m *Manager) {
			m.lastTick = time.Now()
			time.Sleep(2 * pauseThreshold)
			m.missed.stale = m.wasPaused(time.Now())
			m.lastTick = time.Now()
		},
		"just started": func(m *Manager) { m.missed.stale = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				peer := &suspectPeer{reports: source.Reports(time.Now())}
				view := peersView{known: []membership.Gateway{{Name: "g2", PeerAddress: "p2"}}}
				m := New(Options{View: view, Caller: peer, Logger: log.NewNopLogger()})
				pause(m)
				m.fetchMissed(t.Context())
				is.Equal(m.guard.check(&schedule.Request{Fingerprint: fingerprint}), crashguard.Refuse)
				m.lastTick = time.Now()
				m.fetchMissed(t.Context())
				is.Equal(peer.calls, 1) // a gateway that was not paused queries nobody
			})
		})
	}
}

// Guards against a gateway that is cut off from all others and queries them before
// every request, or never again.
func TestCutOffGatewayServesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peer := &suspectPeer{down: true}
		view := peersView{known: []membership.Gateway{{Name: "g2", PeerAddress: "p2"}}}
		m := New(Options{View: view, Caller: peer, Logger: log.NewNopLogger()})
		m.missed.stale = true
		for range 100 {
			m.fetchMissed(t.Context())
		}
		is.Equal(peer.calls, 1)
		time.Sleep(fetchRetryDelay)
		peer.down = false
		m.fetchMissed(t.Context())
		is.Equal(peer.calls, 2)
		is.True(!m.missed.stale)
	})
}

// Guards against a gateway that starts while it is cut off, knows no gateway to query,
// and runs a request that crashes engines once more when the connection is restored:
// the fault run of seed 8 lost four engines that way.
func TestGatewayStartedDuringACutAsksLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const fingerprint = 7
		source := crashguard.New()
		source.EngineLost(time.Now(), "engine-1", "a", []uint64{fingerprint})
		source.EngineLost(time.Now(), "engine-2", "a", []uint64{fingerprint})
		peer := &suspectPeer{reports: source.Reports(time.Now())}
		view := &peersView{}
		m := New(Options{View: view, Caller: peer, Logger: log.NewNopLogger()})
		m.missed.stale = true
		m.fetchMissed(t.Context())
		is.Equal(peer.calls, 0)
		view.known = []membership.Gateway{{Name: "g2", PeerAddress: "p2"}}
		m.fetchMissed(t.Context())
		is.Equal(m.guard.check(&schedule.Request{Fingerprint: fingerprint}), crashguard.Refuse)
		m.fetchMissed(t.Context())
		is.Equal(peer.calls, 1)
	})
}

// cutCaller records reports by address and fails while cut is set.
type cutCaller struct {
	cut bool
	got map[string][]crashguard.Report
}

func (c *cutCaller) Call(_ context.Context, address, _ string, args, _ any) error {
	if c.cut {
		return errors.New("link is cut")
	}
	c.got[address] = append(c.got[address], *args.(*crashguard.Report))
	return nil
}

// Guards against a gateway that was cut off while a request crashed engines and that
// runs the request once more after the connection is restored, and against reports that
// arrive twice or out of order.
func TestReportsReachAGatewayAfterACut(t *testing.T) {
	for name, live := range map[string]bool{"counted live": true, "counted dead": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				caller := &cutCaller{cut: true, got: map[string][]crashguard.Report{}}
				view := &peersView{known: []membership.Gateway{{Name: "g2", PeerAddress: "p2", Live: live}}}
				m := New(Options{View: view, Caller: caller, Logger: log.NewNopLogger()})
				first := crashguard.Report{Loss: crashguard.Loss{Engine: "engine-1"}, Fingerprints: []uint64{7}}
				second := crashguard.Report{Finished: []uint64{7}}
				third := crashguard.Report{Loss: crashguard.Loss{Engine: "engine-2"}, Fingerprints: []uint64{7}}
				m.broadcast(first)
				m.broadcast(second)
				m.resendReports()
				synctest.Wait()
				is.Equal(len(caller.got), 0)
				caller.cut = false
				m.broadcast(third)
				m.resendReports()
				synctest.Wait()
				is.Equal(caller.got["p2"], []crashguard.Report{first, second, third})
				m.resendReports()
				synctest.Wait()
				is.Equal(len(caller.got["p2"]), 3)
				is.Equal(len(m.unsentReports), 0)
			})
		})
	}
}

// Guards against reports that are queued without bound, or for gateways that are gone.
func TestUnsentReportsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		view := &peersView{known: []membership.Gateway{{Name: "g2", PeerAddress: "p2", Live: true}}}
		m := New(Options{View: view, Caller: &cutCaller{cut: true}, Logger: log.NewNopLogger()})
		for i := range uint64(2 * maxUnsent) {
			m.broadcast(crashguard.Report{Finished: []uint64{i}})
		}
		is.Equal(len(m.unsentReports["g2"].reports), maxUnsent)
		is.Equal(m.unsentReports["g2"].reports[maxUnsent-1].Finished, []uint64{2*maxUnsent - 1}) // the latest are kept
		view.known = nil
		m.resendReports()
		is.Equal(len(m.unsentReports), 0)
	})
}

// Guards against gateways that, after a partition of more than 5 minutes, have
// forgotten each other and each run the requests that crashed engines on the other
// side, and against a start that queries every gateway.
func TestRejoinedGatewayIsAskedForSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const fingerprint = 7
		source := crashguard.New()
		source.EngineLost(time.Now(), "engine-1", "a", []uint64{fingerprint})
		source.EngineLost(time.Now(), "engine-2", "a", []uint64{fingerprint})
		peer := &suspectPeer{reports: source.Reports(time.Now()), down: true}
		other := []membership.Gateway{{Name: "g2", PeerAddress: "p2"}}
		view := &peersView{}
		m := New(Options{View: view, Caller: peer, Logger: log.NewNopLogger()})
		checkRejoined := func(known []membership.Gateway) {
			view.known = known
			m.fetchFromRejoined(time.Now())
			synctest.Wait()
			time.Sleep(time.Second)
		}
		checkRejoined(nil)
		checkRejoined(other)
		is.Equal(peer.calls, 0)
		time.Sleep(joinPeriod)
		checkRejoined(other)
		checkRejoined(nil)
		is.Equal(peer.calls, 0)
		checkRejoined(other)
		is.Equal(peer.calls, 1)
		peer.down = false
		checkRejoined(other)
		is.Equal(peer.calls, 2) // the first query was not answered
		is.Equal(m.guard.check(&schedule.Request{Fingerprint: fingerprint}), crashguard.Refuse)
		checkRejoined(other)
		is.Equal(peer.calls, 2)
	})
}

// countedGroup counts the calls of Dispatch.
type countedGroup struct {
	Group
	dispatches int
}

func (g *countedGroup) Dispatch(time.Time) []schedule.Decision { g.dispatches++; return nil }

func (*countedGroup) NextWake(time.Time) time.Time { return time.Time{} }

// Guards against an owner that was frozen and, when it resumes, grants replicas that
// have been leaving for longer than 3 s, before it has read the host list.
func TestPausedOwnerWaitsBeforeItGrants(t *testing.T) {
	is := is.New(t)
	g := &countedGroup{}
	r := newRunner(schedule.GroupKey{}, "g1", g, nil)
	now := time.Now()
	is.Equal(r.dispatch(now), maxDispatchDelay)
	is.Equal(r.dispatch(now.Add(maxDispatchDelay)), maxDispatchDelay) // a group that runs does not wait
	is.Equal(g.dispatches, 2)
	woken := now.Add(maxDispatchDelay + 12*time.Second)
	is.Equal(r.dispatch(woken), takeoverTimeout)
	is.Equal(r.dispatch(woken.Add(takeoverTimeout/2)), takeoverTimeout/2)
	is.Equal(g.dispatches, 2)
	is.Equal(r.dispatch(woken.Add(takeoverTimeout)), maxDispatchDelay)
	is.Equal(g.dispatches, 3)
}
