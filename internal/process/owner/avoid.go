package owner

import (
	"time"

	"persimmonwing/internal/process/schedule"
)

// avoidFor is the time for which a gateway is not asked again after a call to it
// failed. By then membership shows it dead, or it is reachable again.
const avoidFor = 3 * time.Second

// avoid records a failed call.
func (m *Manager) avoid(gateway string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.avoided[gateway] = time.Now().Add(avoidFor)
}

// avoids reports whether a call to a gateway failed lately.
func (m *Manager) avoids(gateway string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.avoided[gateway])
}

// reached records a call that succeeded.
func (m *Manager) reached(gateway string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.avoided, gateway)
}

// order returns the gateways to ask for a group, the owner first. Those that
// failed lately come last.
func (m *Manager) order(k schedule.GroupKey) []string {
	if m.opt.Policy != PolicyOwner {
		return []string{m.self()}
	}
	ranked := m.opt.View.Rank(k)
	if len(ranked) == 0 && m.isLast(k) {
		return []string{m.self()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var first, last []string
	for _, name := range ranked {
		if time.Now().Before(m.avoided[name]) {
			last = append(last, name)
		} else {
			first = append(first, name)
		}
	}
	return append(first, last...)
}
