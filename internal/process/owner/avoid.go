package owner

import (
	"time"

	"persimmonwing/internal/process/membership"
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

// reach describes what calls of this gateway show of a data centre.
type reach struct {
	// answeredAt is the time of the last answer of one of its gateways, and cutUntil the time until
	// which it counts as cut off.
	answeredAt, cutUntil time.Time
}

// noteAnswer records that a gateway has answered a call.
func (m *Manager) noteAnswer(g membership.Gateway) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reach[g.DataCentre] = reach{answeredAt: time.Now()}
}

// noteNoAnswer records that a gateway has not answered a call that began at a time. If no other gateway of
// its data centre has answered since, the data centre counts as cut off: each of its gateways would
// otherwise cost a request the time of a call without an answer.
func (m *Manager) noteNoAnswer(g membership.Gateway, began time.Time) {
	m.avoid(g.Name)
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.reach[g.DataCentre]
	if r.answeredAt.Before(began) {
		r.cutUntil = time.Now().Add(avoidFor)
		m.reach[g.DataCentre] = r
	}
}

// seemsCut reports whether the gateways of another data centre have not answered lately. Within a data
// centre a single gateway is more likely to be frozen.
func (m *Manager) seemsCut(dataCentre string) bool {
	if dataCentre == m.opt.View.Self().DataCentre {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.reach[dataCentre].cutUntil)
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
