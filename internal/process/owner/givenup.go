package owner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/request/pause"
)

// minGivenUpCheck and maxGivenUpCheck bound the time between two checks whether a server has ended at which a
// request was given up. It doubles, as a check may take a new connection.
const (
	minGivenUpCheck = 100 * time.Millisecond
	maxGivenUpCheck = 400 * time.Millisecond
)

// GiveUpCall ends an admitted call that was given up, or whose connection broke, while the server
// may still be running it. ended reports whether the server has ended since, and is called until the
// server has ended or survived the call. The trial of the call goes on until then.
func (m *Manager) GiveUpCall(c crashguard.Call, trial []uint64, broken bool, server crashguard.Loss, ended func(context.Context) bool) {
	if len(trial) > 0 {
		// Other suspects need not wait for the trial of this one: the crashguard weighs that.
		m.endTrials(c.ID, []uint64{c.TrialSlot()})
		trial = []uint64{c.Part}
	}
	m.giveUp(server, crashguard.GivenUpSend{ID: c.ID, Service: c.Service, Parts: []uint64{c.Part}, Trial: trial, Broken: broken}, ended)
}

// GiveUpGeneration records, before its grant is released, that a generation was given up while the
// engine may still be running it. ended is as for GiveUpCall.
func (m *Manager) GiveUpGeneration(grantID string, ended func(context.Context) bool) {
	m.mu.Lock()
	h := m.held[grantID]
	if h == nil || h.Generated > 0 || len(h.Request.PartHashes) == 0 {
		m.mu.Unlock()
		return
	}
	send := crashguard.GivenUpSend{ID: grantID, Parts: h.Request.PartHashes, Trial: h.trial}
	engine := crashguard.Loss{Engine: h.Grant.Backend, Incarnation: h.incarnation}
	h.trial = nil // goes on after the release
	m.mu.Unlock()
	m.giveUp(engine, send, ended)
}

// giveUp records a send that was given up, and watches the server for its end.
func (m *Manager) giveUp(server crashguard.Loss, s crashguard.GivenUpSend, ended func(context.Context) bool) {
	s.At = time.Now()
	m.mu.Lock()
	watched := m.givenUp.Waiting(server)
	added := !m.stopping && m.givenUp.Add(server, s)
	m.mu.Unlock()
	if !added {
		m.endTrials(s.ID, s.Trial)
		return
	}
	if len(s.Trial) > 0 {
		m.inBackground(func() { m.extendTrials(s) })
	}
	if !watched {
		m.inBackground(func() { m.watchServer(server, ended) })
	}
}

// extendTrials extends the trials of a send that was given up, which may have begun long ago.
func (m *Manager) extendTrials(s crashguard.GivenUpSend) {
	ctx, cancel := context.WithTimeout(context.Background(), trialTTL)
	defer cancel()
	for _, part := range s.Trial {
		m.beginTrial(ctx, TrialArgs{Part: part, ID: s.ID})
	}
}

// watchServer checks a server until it has ended, or no request is left that was given up there.
func (m *Manager) watchServer(server crashguard.Loss, ended func(context.Context) bool) {
	for wait := minGivenUpCheck; ; wait = min(2*wait, maxGivenUpCheck) {
		_ = pause.For(context.Background(), wait)
		m.mu.Lock()
		expired := m.givenUp.Expire(time.Now())
		var stopped []crashguard.GivenUpSend
		if m.stopping {
			stopped = m.givenUp.Ended(server)
		}
		waiting := m.givenUp.Waiting(server)
		m.mu.Unlock()
		for _, s := range expired {
			m.endGivenUp(s)
		}
		for _, s := range stopped {
			m.endTrials(s.ID, s.Trial)
		}
		if !waiting {
			return
		}
		if ended(context.Background()) {
			m.givenUpLost(server)
			return
		}
		m.mu.Lock()
		m.givenUp.Alive(time.Now(), server)
		m.mu.Unlock()
	}
}

// endGivenUp ends the trial of a send that has expired. If the server has survived it, the other gateways
// learn of that before another trial begins, or within 200 ms.
func (m *Manager) endGivenUp(s crashguard.GivenUpSend) {
	if s.Survived() && len(s.Trial) > 0 && m.guard.trialSurvived(s.Trial) {
		level.Info(m.opt.Logger).Log("msg", "server survived a trial that was given up", "id", s.ID, "parts", formatParts(s.Trial))
		m.broadcast(crashguard.Report{SurvivedTrials: s.Trial})
	}
	m.endTrials(s.ID, s.Trial)
}

// givenUpLost records the end of a server for the requests that were given up there. The other
// gateways learn of it before it returns, or within 200 ms.
func (m *Manager) givenUpLost(server crashguard.Loss) {
	now := time.Now()
	m.mu.Lock()
	sends := m.givenUp.Ended(server)
	m.mu.Unlock()
	if len(sends) == 0 {
		return
	}
	var lost []crashguard.PartLoss
	for i, s := range sends {
		lost = append(lost, s.Losses()...)
		if i < maxLoggedRequests {
			level.Warn(m.opt.Logger).Log("msg", "server ended after a request was given up", "server", server.Engine, "incarnation", server.Incarnation,
				"id", s.ID, "parts", formatParts(s.Parts), "trial", len(s.Trial) > 0, "given_up_ms", now.Sub(s.At).Milliseconds(), "given_up", len(sends))
		}
	}
	var report crashguard.Report
	var isNew bool
	if service := sends[0].Service; service != "" {
		report, isNew = m.guard.noteServerEnded(server, service, lost)
	} else {
		report = m.guard.noteEngineLost(server, nil, lost)
		isNew = len(report.Parts) > 0
	}
	if isNew {
		m.recheck()
		m.broadcast(report)
	}
	for _, s := range sends {
		m.endTrials(s.ID, s.Trial)
	}
}
