package schedule

import (
	"math"
	"time"
)

const (
	// usageSpan is the time constant over which use is remembered.
	usageSpan = 5 * time.Second
	// overShare is the multiple of its share from which a workspace counts as
	// over it, so that equal workspaces don't alternate.
	overShare = 1.25
	// activePeriod is the time between two counts of the active workspaces.
	activePeriod = 500 * time.Millisecond
	// idleTokens is the remembered use below which a workspace is forgotten.
	idleTokens = 1.0
)

// decayed is a sum whose parts fade with the time constant usageSpan.
type decayed struct {
	value float64
	at    time.Time
}

func (d *decayed) get(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-float64(now.Sub(d.at))/float64(usageSpan))
}

func (d *decayed) add(now time.Time, x float64) {
	d.value = d.get(now) + x
	d.at = now
}

// rate is the sum per second.
func (d *decayed) rate(now time.Time) float64 { return d.get(now) / usageSpan.Seconds() }

// usage is the recent use of one workspace.
type usage struct {
	tokens decayed
	weight float64
}

// shares tells which workspaces use more than their share of the group's urgent
// work.
type shares struct {
	usage map[string]*usage
	total decayed
	// under counts urgent grants of workspaces that are not over their share.
	under        decayed
	activeWeight float64
	countedAt    time.Time
}

// add counts an urgent grant. Background work does not count: it must not cost a
// workspace its urgent rank.
func (s *shares) add(now time.Time, workspace string, weight, tokens float64) {
	if !s.over(now, workspace) {
		s.under.add(now, 1)
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

// countActive sums up the weights of the workspaces with recent use.
func (s *shares) countActive(now time.Time) {
	if now.Sub(s.countedAt) < activePeriod {
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

// over reports whether a workspace uses more than its share.
func (s *shares) over(now time.Time, workspace string) bool {
	u := s.usage[workspace]
	if u == nil || s.activeWeight <= u.weight {
		return false
	}
	share := s.total.get(now) * u.weight / s.activeWeight
	return u.tokens.get(now) > overShare*share
}
