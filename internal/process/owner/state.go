package owner

import (
	"time"

	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
)

// EngineState is what this gateway knows of an engine from load reports and from the
// groups that it owns.
type EngineState struct {
	// Owned is set when this gateway owns a group of the engine.
	Owned bool
	// Polled is set once there is a load report of the engine, with Report as the
	// latest one.
	Polled bool
	Report api.LoadReport
	// Unreachable is set while polls of the engine fail or it is reported lost.
	Unreachable bool
	// Replica combines the engine's states in the owned groups: the highest number of
	// running sequences and the smallest batch bound.
	Replica schedule.ReplicaState
}

// EngineStates returns, by engine name, the state of the engines that this gateway
// polls or that belong to a group that it owns.
func (m *Manager) EngineStates(now time.Time) map[string]EngineState {
	out := m.polledStates()
	for _, r := range m.allRunners() {
		if !m.owns(r.key) {
			continue
		}
		for name, replica := range r.state(now) {
			s := out[name]
			if s.Owned {
				replica = mergeStates(s.Replica, replica)
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
		if e.polled || e.failures >= lostAfterFailures {
			out[name] = EngineState{Polled: e.polled, Report: e.report, Unreachable: e.reportedLost || e.failures >= lostAfterFailures}
		}
	}
	return out
}

// mergeStates combines the states of an engine in two groups. A BatchBound of 0 means
// unbounded; it is 0 in all groups or in none, so the minimum is correct.
func mergeStates(a, b schedule.ReplicaState) schedule.ReplicaState {
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
