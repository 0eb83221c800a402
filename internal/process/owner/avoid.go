package owner

import (
	"time"

	"persimmonwing/internal/process/schedule"
)

// avoidFor is how long a gateway is avoided after a call to it failed. By then
// membership shows the gateway as dead, or it is reachable again.
const avoidFor = 3 * time.Second

// avoid records that a call to a gateway failed.
func (m *Manager) avoid(gateway string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.avoidUntil[gateway] = time.Now().Add(avoidFor)
}

// isAvoided reports whether a gateway is avoided because of a failed call.
func (m *Manager) isAvoided(gateway string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.avoidUntil[gateway])
}

// stopAvoiding records that a call to a gateway succeeded.
func (m *Manager) stopAvoiding(gateway string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.avoidUntil, gateway)
}

// gatewayOrder returns the gateways to try for a group, the owner first. Avoided
// gateways come last.
func (m *Manager) gatewayOrder(k schedule.GroupKey) []string {
	if m.opt.Policy != PolicyOwner {
		return []string{m.self()}
	}
	ranked := m.opt.View.Rank(k)
	if len(ranked) == 0 && m.isLocal(k) {
		return []string{m.self()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var first, last []string
	for _, name := range ranked {
		if time.Now().Before(m.avoidUntil[name]) {
			last = append(last, name)
		} else {
			first = append(first, name)
		}
	}
	return append(first, last...)
}
