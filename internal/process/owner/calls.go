package owner

import (
	"context"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/schedule"
)

// AdmitCall returns when a call may be sent: at once, or when it is the trial of a call that has
// crashed a server. Its error is a *schedule.Refusal, or ctx's error when ctx ends first. trial must be
// passed to EndCall.
func (m *Manager) AdmitCall(ctx context.Context, c crashguard.Call) (trial []uint64, err error) {
	m.fetchMissed(ctx)
	s := &acquisition{request: schedule.Request{ID: c.ID, PartHashes: []uint64{c.Part}}, trialSlots: []uint64{c.TrialSlot()}}
	if err := m.awaitTrial(ctx, s); err != nil {
		m.endTrials(c.ID, s.trial)
		return nil, err
	}
	return s.trial, nil
}

// EndCall records the end of an admitted call. The other gateways learn of a lost server before it
// returns, or within 200 ms.
func (m *Manager) EndCall(c crashguard.Call, trial []uint64, o crashguard.CallOutcome) {
	if o.Lost || o.NotListening {
		var lost []crashguard.PartLoss
		if o.Lost {
			lost = []crashguard.PartLoss{{Part: c.Part, Trial: len(trial) > 0}}
		}
		report, isNew := m.guard.noteServerEnded(o.Loss, c.Service, lost)
		if len(report.Parts) > 0 {
			level.Warn(m.opt.Logger).Log("msg", "server lost with a call running", "server", o.Loss.Engine, "incarnation", o.Loss.Incarnation,
				"id", c.ID, "part", formatParts([]uint64{c.Part}), "trial", len(trial) > 0)
		}
		switch {
		case isNew && o.Lost:
			m.broadcast(report)
		case isNew:
			m.broadcastInBackground(report)
		}
	}
	m.endTrials(c.ID, trial)
	if o.Lost || o.NotListening {
		m.givenUpLost(o.Loss)
	}
	if o.Answered {
		m.answered([]uint64{c.Part})
	}
}
