package owner

import (
	"time"

	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
)

// Arbiter returns the name of the gateway that decides the reservations on an engine,
// or of this gateway if there is none.
func (m *Manager) Arbiter(engine string) string {
	if g, ok := m.arbiter(engine); ok {
		return g.Name
	}
	return m.self()
}

// Relay returns the gateway that this one calls as its relay.
func (m *Manager) Relay() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loads.relay.relay
}

// PeerLoads returns the number of running generations of all gateways by engine.
func (m *Manager) PeerLoads(k schedule.GroupKey) map[string]int {
	r, err := m.runner(k)
	if err != nil {
		return nil
	}
	out := map[string]int{}
	for _, e := range []string{"e1", "e2"} {
		r.mu.Lock()
		for _, l := range r.group.LoadsByGateway(e, 0) {
			out[e] += l.Load.Running
		}
		r.mu.Unlock()
	}
	return out
}

// SelectRelay exposes selectRelay.
var SelectRelay = selectRelay

// DecodeLoads exposes decodeLoads.
var DecodeLoads = decodeLoads

// RelayBuffer exposes relayBuffer.
type RelayBuffer struct{ relayBuffer }

// Add, Since, Expire and Sequence expose the methods and the newest sequence number.
func (b *RelayBuffer) Add(now time.Time, in *LoadsArgs, local bool) { b.add(now, in, local) }
func (b *RelayBuffer) Since(now time.Time, s uint64, caller string, onlyLocal bool) ([]RelayedLoads, []api.LoadReport) {
	return b.since(now, s, caller, onlyLocal)
}

// NewRelayBuffer returns a buffer for engines whose incarnations are ordered by startedBefore.
func NewRelayBuffer(startedBefore func(a, b string) bool) *RelayBuffer {
	return &RelayBuffer{relayBuffer{startedBefore: startedBefore}}
}
func (b *RelayBuffer) Expire(now time.Time) { b.expire(now) }
func (b *RelayBuffer) Sequence() uint64     { return b.sequence }

// ChangedSince exposes changedSince for a caller of this data centre.
func (b *RelayBuffer) ChangedSince(s uint64) bool { return b.changedSince(s, "follower", false) }

// StatementAge returns the age of the newest statement of a server that this gateway knows, or -1.
func (m *Manager) StatementAge(now time.Time, server string) time.Duration {
	m.statements.mu.Lock()
	defer m.statements.mu.Unlock()
	if s, ok := m.statements.newest[server]; ok {
		return now.Sub(s.at)
	}
	return -1
}
