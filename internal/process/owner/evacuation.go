package owner

import (
	"slices"
	"time"

	"persimmonwing/internal/process/schedule"
)

// evacuatedRetryAfter is the time after which callers return while the data centres of all engines of a
// model are evacuated. Evacuations last for longer than most refusals.
const evacuatedRetryAfter = 5 * time.Second

// evacuated reports whether the engines of a data centre get no new work.
func (m *Manager) evacuated(dataCentre string) bool {
	return dataCentre != "" && m.opt.Evacuated != nil && m.opt.Evacuated(dataCentre)
}

// allEvacuated reports whether a model has engines, all of them in evacuated data centres.
func (m *Manager) allEvacuated(model string) bool {
	found := false
	for _, b := range m.opt.View.Engines("") {
		models, _ := m.opt.View.Reported(b.Name)
		if !slices.Contains(models, model) {
			continue
		}
		if !m.evacuated(b.DataCentre) {
			return false
		}
		found = true
	}
	return found
}

// finalRefusal returns the refusal of a request for which no group is left to try.
func (m *Manager) finalRefusal(s *acquisition) *schedule.Refusal {
	if m.allEvacuated(s.request.Model) {
		return &schedule.Refusal{Reason: schedule.ReasonEvacuated, RetryAfter: evacuatedRetryAfter}
	}
	if s.refusal != nil {
		return s.refusal
	}
	return &schedule.Refusal{Reason: schedule.ReasonNoReplica, RetryAfter: schedule.UnknownRoomWait}
}
