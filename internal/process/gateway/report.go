package gateway

import (
	"slices"
	"time"

	"persimmonwing/internal/process/schedule"
)

// discoveryTimeout bounds the time for which a gateway with a catalogue is not
// ready because it has found no engine. A fleet may have none, or the host list
// may be out while services are known.
const discoveryTimeout = 3 * time.Second

// discovered reports whether a group with replicas is known. Without this wait, a
// gateway refused generations with no_capacity for some 200 ms after its start.
func (p *process) discovered() bool {
	if p.found.Load() {
		// Summaries vanish while an owner leaves; that must not end readiness.
		return true
	}
	waited := time.Since(p.holder.InstalledAt())
	found := waited > discoveryTimeout || slices.ContainsFunc(p.gossiper.Summaries(), func(s schedule.Summary) bool { return s.Replicas > 0 })
	p.found.Store(found)
	return found
}

// status completes the answer of /status.
func (p *process) status(s *Status) {
	s.LivePeers = p.gossiper.Gateways()
	_, age, confirmed := p.syncer.Confirmed()
	s.PlatformReachable = confirmed && age < platformStale
	for _, g := range p.gossiper.Summaries() {
		if g.Owner == p.opts.Name {
			s.GroupsOwned++
			s.Groups = append(s.Groups, g.Group.String())
		}
	}
}

// platformStale is the age of the last answer from the platform after which it
// counts as unreachable.
const platformStale = 5 * time.Second
