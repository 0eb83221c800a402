package owner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/request/pause"
)

// givenUpCheckPeriod is the time between two checks whether a server has ended at which a request
// was given up.
const givenUpCheckPeriod = 100 * time.Millisecond

// GiveUpCall ends an admitted call that was given up, or whose connection broke, while the server
// may still be running it. ended reports whether the server has ended since. It is called until the server
// has ended or survived the call.
func (m *Manager) GiveUpCall(c crashguard.Call, trial []uint64, server crashguard.Loss, ended func(context.Context) bool) {
	m.endTrials(c.ID, trial)
	m.giveUp(server, crashguard.GivenUpSend{ID: c.ID, Parts: []uint64{c.Part}}, ended)
}

// giveUp records a send that was given up, and watches the server for its end.
func (m *Manager) giveUp(server crashguard.Loss, s crashguard.GivenUpSend, ended func(context.Context) bool) {
	s.At = time.Now()
	m.mu.Lock()
	watched := m.givenUp.Waiting(server)
	added := !m.stopping && m.givenUp.Add(server, s)
	m.mu.Unlock()
	if added && !watched {
		m.inBackground(func() { m.watchServer(server, ended) })
	}
}

// watchServer checks a server until it has ended, or no request is left that was given up there.
func (m *Manager) watchServer(server crashguard.Loss, ended func(context.Context) bool) {
	for !m.isStopping() {
		_ = pause.For(context.Background(), givenUpCheckPeriod)
		m.mu.Lock()
		m.givenUp.Expire(time.Now())
		waiting := m.givenUp.Waiting(server)
		m.mu.Unlock()
		if !waiting {
			return
		}
		if ended(context.Background()) {
			m.givenUpLost(server)
			return
		}
	}
}

// givenUpLost logs the requests that were given up at a server which has ended.
func (m *Manager) givenUpLost(server crashguard.Loss) {
	now := time.Now()
	m.mu.Lock()
	sends := m.givenUp.Ended(server)
	m.mu.Unlock()
	for i, s := range sends {
		if i == maxLoggedRequests {
			break
		}
		level.Warn(m.opt.Logger).Log("msg", "server ended after a request was given up", "server", server.Engine, "incarnation", server.Incarnation,
			"id", s.ID, "parts", formatParts(s.Parts), "given_up_ms", now.Sub(s.At).Milliseconds(), "given_up", len(sends))
	}
}
