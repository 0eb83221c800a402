package gateway

import (
	"slices"
	"time"

	"persimmonwing/internal/process/schedule"
)

// discoveryTimeout bounds the time for which a gateway with a catalogue stays not
// ready because it has discovered no engine. A fleet may have no engines, or the host
// list may be unavailable while application servers are known.
const discoveryTimeout = 3 * time.Second

// discovered reports whether a group with replicas has been discovered or
// discoveryTimeout has passed. Without this wait, a gateway refused generations with
// no_capacity for about 200 ms after its start.
func (p *process) discovered() bool {
	if p.discoveryDone.Load() {
		// Group summaries disappear while an owner shuts down, which must not make this
		// gateway unready.
		return true
	}
	waited := time.Since(p.holder.InstalledAt())
	discoveryDone := waited > discoveryTimeout || slices.ContainsFunc(p.gossiper.Summaries(), func(s schedule.Summary) bool { return s.Replicas > 0 })
	p.discoveryDone.Store(discoveryDone)
	return discoveryDone
}

// status fills in the fields of GET /status that describe peers, the platform and
// owned groups.
func (p *process) status(s *Status) {
	s.LivePeers = p.gossiper.Gateways()
	_, age, confirmed := p.syncer.Confirmed()
	s.PlatformReachable = confirmed && age < platformStaleAfter
	s.Evacuated = p.evacuations.list()
	for _, g := range p.gossiper.Summaries() {
		if g.Owner == p.opts.Name {
			s.GroupsOwned++
			s.Groups = append(s.Groups, g.Group.String())
		}
	}
}

// platformStaleAfter is the age of the platform's latest confirmation of the catalogue
// head from which the platform counts as unreachable.
const platformStaleAfter = 5 * time.Second
