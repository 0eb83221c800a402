package owner

import (
	"time"

	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
)

// EngineState is what this gateway knows of an engine at first hand.
type EngineState struct {
	// Owned is set when this gateway owns a group of the engine.
	Owned bool
	// Polled is set once the engine has answered a poll, with Report as the last answer.
	Polled bool
	Report api.LoadReport
	// Unreachable is set while polls fail or the engine is said to be lost.
	Unreachable bool
	// Replica joins the states in the owned groups: the most running sequences,
	// the smallest bound.
	Replica schedule.ReplicaState
}

// EngineStates returns the engines that this gateway polls, by name.
func (m *Manager) EngineStates(now time.Time) map[string]EngineState {
	out := m.polledStates()
	for _, r := range m.existing() {
		if !m.owns(r.key) {
			continue
		}
		for name, replica := range r.state(now) {
			s := out[name]
			if s.Owned {
				replica = joined(s.Replica, replica)
			}
			s.Owned, s.Replica = true, replica
			out[name] = s
		}
	}
	return out
}

func (m *Manager) polledStates() map[string]EngineState {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]EngineState, len(m.engines))
	for name, e := range m.engines {
		if e.polled || e.failures >= lostAfter {
			out[name] = EngineState{Polled: e.polled, Report: e.report, Unreachable: e.doubted || e.failures >= lostAfter}
		}
	}
	return out
}

// joined returns the state of an engine that belongs to two groups. A bound of
// 0 means none and occurs in all groups or in none.
func joined(a, b schedule.ReplicaState) schedule.ReplicaState {
	return schedule.ReplicaState{
		Running:    max(a.Running, b.Running),
		BatchBound: min(a.BatchBound, b.BatchBound),
		Resting:    a.Resting || b.Resting,
	}
}

func (r *runner) state(now time.Time) map[string]schedule.ReplicaState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group.State(now)
}
