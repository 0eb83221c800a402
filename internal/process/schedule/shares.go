package schedule

import (
	"math"
	"time"
)

const (
	// usageTimeConstant is the time constant of the exponential decay of recent usage.
	usageTimeConstant = 5 * time.Second
	// overShareFactor is the multiple of its share above which a workspace counts as
	// over its share. It is above 1 so that equal workspaces do not alternate.
	overShareFactor = 1.25
	// activeCountInterval is the minimum time between two counts of the active
	// workspaces.
	activeCountInterval = 500 * time.Millisecond
	// idleTokens is the decayed usage in tokens below which a workspace is removed.
	idleTokens = 1.0
)

// decayingSum is a sum that decays exponentially with usageTimeConstant.
type decayingSum struct {
	value float64
	at    time.Time
}

func (d *decayingSum) get(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-float64(now.Sub(d.at))/float64(usageTimeConstant))
}

func (d *decayingSum) add(now time.Time, x float64) {
	d.value = d.get(now) + x
	d.at = now
}

// rate returns the average per second over usageTimeConstant.
func (d *decayingSum) rate(now time.Time) float64 { return d.get(now) / usageTimeConstant.Seconds() }

// usage is the recent usage of one workspace.
type usage struct {
	tokens decayingSum
	weight float64
}

// shares tracks which workspaces use more than their share of the group's urgent work.
// activeWeight is the sum of the weights of the workspaces with recent usage.
type shares struct {
	usage map[string]*usage
	total decayingSum
	// withinShare is the decaying number of urgent grants of workspaces that are not
	// over their share.
	withinShare  decayingSum
	activeWeight float64
	countedAt    time.Time
}

// add records an urgent grant. Background work is not recorded, because it must not
// lower the rank of a workspace's urgent work.
func (s *shares) add(now time.Time, workspace string, weight, tokens float64) {
	if !s.exceeded(now, workspace) {
		s.withinShare.add(now, 1)
	}
	u := s.usage[workspace]
	if u == nil {
		u = &usage{}
		s.usage[workspace] = u
	}
	u.weight = weight
	u.tokens.add(now, tokens)
	s.total.add(now, tokens)
	s.countActive(now)
}

// countActive recomputes activeWeight and removes the idle workspaces, at most once in
// activeCountInterval.
func (s *shares) countActive(now time.Time) {
	if now.Sub(s.countedAt) < activeCountInterval {
		return
	}
	s.countedAt = now
	s.activeWeight = 0
	for name, u := range s.usage {
		if u.tokens.get(now) < idleTokens {
			delete(s.usage, name)
			continue
		}
		s.activeWeight += u.weight
	}
}

// exceeded reports whether a workspace uses more than overShareFactor times its share.
func (s *shares) exceeded(now time.Time, workspace string) bool {
	u := s.usage[workspace]
	if u == nil || s.activeWeight <= u.weight {
		return false
	}
	share := s.total.get(now) * u.weight / s.activeWeight
	return u.tokens.get(now) > overShareFactor*share
}
