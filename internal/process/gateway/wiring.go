package gateway

import (
	"time"

	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/owner"
	"persimmonwing/internal/process/random"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/claim"
	"persimmonwing/internal/version/catalogue"
	"persimmonwing/internal/version/revision"
)

func (p *process) newGossiper() *membership.Gossiper {
	return membership.NewGossiper(membership.Options{
		Self: membership.Host{
			Name:        p.opts.Name,
			DataCentre:  p.opts.DataCentre,
			PeerAddress: p.opts.peerAddress(),
			Incarnation: time.Now().UnixMilli(),
		},
		Seeds:    p.opts.Peers,
		Caller:   p.pool,
		Logger:   logging.Part(p.logger, "membership"),
		Rand:     random.Shared,
		Revision: p.holder.Number,
		// The syncer is created after the gossiper but before either of them runs, so
		// it must be looked up at the time of the call.
		Confirmed: func() (int64, time.Duration, bool) { return p.syncer.Confirmed() },
		Confirm:   func(revision int64, at time.Time) { p.syncer.ObserveConfirmation(revision, at) },
		Draining: func() []string {
			if s := p.holder.Current(); s != nil {
				return s.Draining
			}
			return nil
		},
		Evacuated:  p.evacuations.contains,
		ColdRights: p.coldRights,
		BecameCold: p.becameCold,
		Started:    p.pool.ResetBackoff,
		Changed: func() {
			p.fetchAnnouncedRevision()
			p.manager.OwnersChanged()
		},
	})
}

// fetchAnnouncedRevision starts to fetch a catalogue revision that gossip announces, if
// it is newer than the current one.
func (p *process) fetchAnnouncedRevision() {
	if number, address := p.gossiper.NewestRevision(); number > p.holder.Number() {
		p.syncer.ObserveRevision(address, number)
	}
}

// purposeClaims names the election that ranks the collectors of claim writes.
const purposeClaims = "claims"

// claimCollectors returns the claim collectors of this data centre in order of rank.
func (p *process) claimCollectors() []claim.Collector {
	var out []claim.Collector
	for _, g := range p.gossiper.Ranked(purposeClaims, claim.MaxCollectors) {
		out = append(out, claim.Collector{Address: g.PeerAddress, Self: g.Name == p.opts.Name})
	}
	return out
}

// purposeRetention names the election of the gateway that deletes the expired claims of
// a data centre.
const purposeRetention = "retention"

func (p *process) deletesExpiredClaims() bool {
	first := p.gossiper.Ranked(purposeRetention, 1)
	return len(first) > 0 && first[0].Name == p.opts.Name
}

// randomWorkspace returns the name of a random workspace, at whose claims a pass of the
// sweeper starts, or "" if the catalogue has none.
func (p *process) randomWorkspace() string {
	s := p.holder.Current()
	if s == nil || len(s.Workspaces) == 0 {
		return ""
	}
	return s.Workspaces[random.Shared.IntN(len(s.Workspaces))].Name
}

// purposeCatalogue names the election of the gateways that poll the catalogue head.
const purposeCatalogue = "catalogue"

func (p *process) newSyncer(store revision.Store) *revision.Syncer {
	return revision.NewSyncer(revision.SyncerConfig{
		Holder: p.holder,
		Source: store,
		Peers:  p.cataloguePeers,
		Poller: func() bool { return p.gossiper.IsPoller(purposeCatalogue) },
		Logger: logging.Part(p.logger, "catalogue"),
		Rand:   random.Shared,
	})
}

// cataloguePeers returns the other live gateways, or the configured peers while no
// other gateway is known.
func (p *process) cataloguePeers() []revision.Peer {
	var peers []revision.Peer
	for _, g := range p.gossiper.Live() {
		if g.Name != p.opts.Name {
			peers = append(peers, cataloguePeer{address: g.PeerAddress, caller: p.pool})
		}
	}
	if len(peers) > 0 {
		return peers
	}
	for _, a := range p.opts.Peers {
		if a != p.opts.peerAddress() {
			peers = append(peers, cataloguePeer{address: a, caller: p.pool})
		}
	}
	return peers
}

func (p *process) newManager(loads owner.LoadSource) *owner.Manager {
	return owner.New(owner.Options{
		Policy:     owner.Policy(p.opts.Policy),
		View:       p.gossiper,
		Caller:     p.pool,
		Loads:      loads,
		NoteCold:   p.gossiper.SetCold,
		Logger:     logging.Part(p.logger, "scheduler"),
		NewGroup:   func(k schedule.GroupKey) owner.Group { return schedule.NewGroup(k, p.groupOptions()) },
		PickGroup:  pickGroup,
		ShardCount: schedule.ShardCount,
		ShardOf:    schedule.ShardOf,
		Evacuated:  p.evacuations.contains,
		Floors: func() (backgroundFloor, urgentReserve float64) {
			s := p.holder.Current()
			if s == nil {
				s = &catalogue.Snapshot{Catalogue: &catalogue.Catalogue{}}
			}
			return s.BackgroundFloor, s.UrgentReserve
		},
		WorkspaceFloors: func() map[string]float64 {
			if s := p.holder.Current(); s != nil {
				return s.WorkspaceFloors()
			}
			return nil
		},
	})
}

// pickGroup chooses the group for a request. It is safe for concurrent use.
func pickGroup(candidates []schedule.Summary, r schedule.Request, localDataCentre string) (schedule.GroupKey, bool) {
	return schedule.PickGroup(candidates, r, localDataCentre, random.Shared)
}

func (p *process) groupOptions() schedule.Options {
	return schedule.Options{
		Owner:             p.opts.Name,
		Policy:            schedule.Policy(p.opts.Policy),
		NoMemoryAdmission: p.opts.disabled("memory"),
		NoClasses:         p.opts.disabled("classes"),
		NoFairness:        p.opts.disabled("fairness"),
		NoBatchBound:      p.opts.disabled("batch_bound"),
		NoAffinity:        p.opts.disabled("affinity"),
		QueueBound:        p.opts.Queue.MaxWaiting,
	}
}
