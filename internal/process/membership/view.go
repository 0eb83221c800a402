package membership

import (
	"slices"
	"time"

	"persimmonwing/internal/process/schedule"
)

// Self returns this gateway's own entry.
func (g *Gossiper) Self() Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.table.self
}

// Hosts returns all known gateways with their states, this one included, sorted by name.
func (g *Gossiper) Hosts() []HostState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.table.Hosts(time.Now())
}

// Live returns the live gateways sorted by name, this one included.
func (g *Gossiper) Live() []Gateway {
	hosts := g.Hosts()
	out := make([]Gateway, 0, len(hosts))
	for _, s := range hosts {
		if s.Usable() {
			out = append(out, Gateway{
				Name: s.Name, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress,
				Incarnation: s.Incarnation, MilliCores: s.MilliCores, Live: true,
			})
		}
	}
	return out
}

// Peers returns the live gateways, all of which schedule the same engines.
func (g *Gossiper) Peers() []Gateway { return g.Live() }

// Divided returns false, because Peers returns all gateways.
func (g *Gossiper) Divided() bool { return false }

// Known returns all other gateways that have not left, live or not. After a pause of
// this process none of them is live until the next exchange.
func (g *Gossiper) Known() []Gateway {
	var out []Gateway
	for _, s := range g.Hosts() {
		if s.Name != g.opt.Self.Name && !s.Left {
			out = append(out, Gateway{Name: s.Name, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress, Incarnation: s.Incarnation, Live: s.Usable()})
		}
	}
	return out
}

// Peer returns the peer address of a gateway and reports whether it is live.
func (g *Gossiper) Peer(name string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if name == g.state.table.self.Name {
		return g.state.table.self.PeerAddress, true
	}
	k, ok := g.state.table.hosts[name]
	if !ok {
		return "", false
	}
	return k.PeerAddress, HostState{k.Host, g.state.table.stateOf(time.Now(), k)}.Usable()
}

// Alive reports whether a gateway's process runs. This includes a gateway that has left
// and is still finishing its requests.
func (g *Gossiper) Alive(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	k, ok := g.state.table.hosts[name]
	return name == g.state.table.self.Name || (ok && g.state.table.alive(time.Now(), k))
}

// names returns the names of the live gateways of a data centre.
func (g *Gossiper) names(dataCentre string) []string {
	now := time.Now()
	var out []string
	t := g.state.table
	if t.self.DataCentre == dataCentre && !t.self.Left {
		out = append(out, t.self.Name)
	}
	for name, k := range t.hosts {
		if k.DataCentre == dataCentre && (HostState{k.Host, t.stateOf(now, k)}).Usable() {
			out = append(out, name)
		}
	}
	return out
}

// Owner returns the name of a group's owner in this gateway's view, or "" if no gateway
// of its data centre is live.
func (g *Gossiper) Owner(k schedule.GroupKey) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return HighestRanked(g.names(k.DataCentre), k.String())
}

// Rank returns the names of the live gateways of a group's data centre: first the owner,
// then the gateways to try in order if the owner is unreachable.
func (g *Gossiper) Rank(k schedule.GroupKey) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return rank(g.names(k.DataCentre), k.String())
}

// Gateways returns the number of live gateways, this one included.
func (g *Gossiper) Gateways() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, t := time.Now(), g.state.table
	n := 0
	if !t.self.Left {
		n++
	}
	for _, k := range t.hosts {
		if t.alive(now, k) && !k.Left {
			n++
		}
	}
	return n
}

// ResponsibleGateways returns a function that maps a key to the live gateway, of any
// data centre, that is responsible for it. The function uses the gateways that are live
// now, so it should be used for a short time only.
func (g *Gossiper) ResponsibleGateways() func(key string) (name, address string) {
	names, addresses := []string(nil), map[string]string{}
	for _, gateway := range g.Live() {
		names = append(names, gateway.Name)
		addresses[gateway.Name] = gateway.PeerAddress
	}
	return func(key string) (name, address string) {
		name = HighestRanked(names, "home/"+key)
		return name, addresses[name]
	}
}

// BackendsToPoll returns those of backends that this gateway has to poll because their
// poller cannot be derived from a group: application servers, and engines whose models
// may be unknown.
func (g *Gossiper) BackendsToPoll(backends []Backend) []Backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	self := g.state.table.self
	names := g.names(self.DataCentre)
	var out []Backend
	for _, b := range backends {
		if b.DataCentre == self.DataCentre && HighestRanked(names, "backend/"+b.Name) == self.Name {
			out = append(out, b)
		}
	}
	return out
}

// IsPoller reports whether this gateway is one of the two in its data centre that are
// elected to poll the platform for purpose.
func (g *Gossiper) IsPoller(purpose string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	self := g.state.table.self
	names, all := []string(nil), g.names(self.DataCentre)
	for _, name := range all {
		if f, _ := g.state.facts.Get(pollerKey(purpose, name)); !f.Leaving {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		names = all
	}
	order := rank(names, "poll/"+purpose)
	return slices.Contains(order[:min(pollers, len(order))], self.Name)
}

// Ranked returns the n live gateways of this data centre with the highest rendezvous
// hashes for purpose, or fewer. Gateways with the same view get the same result.
func (g *Gossiper) Ranked(purpose string, n int) []Gateway {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.state.table
	order := rank(g.names(t.self.DataCentre), purpose)
	var out []Gateway
	for _, name := range order[:min(n, len(order))] {
		host := t.self
		if name != host.Name {
			host = t.hosts[name].Host
		}
		out = append(out, Gateway{Name: name, DataCentre: host.DataCentre, PeerAddress: host.PeerAddress, Incarnation: host.Incarnation, Live: true})
	}
	return out
}

// FirstRanked returns the live gateway of each data centre with the highest rendezvous
// hash for purpose, sorted by this hash, highest first.
func (g *Gossiper) FirstRanked(purpose string) []Gateway {
	byDataCentre, gateways := map[string][]string{}, map[string]Gateway{}
	for _, l := range g.Live() {
		byDataCentre[l.DataCentre] = append(byDataCentre[l.DataCentre], l.Name)
		gateways[l.Name] = l
	}
	var first []string
	for _, names := range byDataCentre {
		first = append(first, HighestRanked(names, purpose))
	}
	out := make([]Gateway, 0, len(first))
	for _, name := range rank(first, purpose) {
		out = append(out, gateways[name])
	}
	return out
}

func pollerKey(purpose, gateway string) FactKey {
	return FactKey{FactPoller, purpose + "/" + gateway}
}

// SetPolled records whether this gateway could read the source for purpose. After a
// failure another gateway is elected.
func (g *Gossiper) SetPolled(purpose string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := Fact{FactKey: pollerKey(purpose, g.state.table.self.Name), Leaving: !ok}
	if _, known := g.state.facts.Get(f.FactKey); known || !ok {
		g.state.facts.State(time.Now(), f)
	}
}

// Summaries returns the unexpired group summaries sorted by group.
func (g *Gossiper) Summaries() []schedule.Summary {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.summaries.list(time.Now())
}

// NewestRevision returns the highest catalogue revision of the live gateways, and the
// peer address of a gateway that has it.
func (g *Gossiper) NewestRevision() (revision int64, peerAddress string) {
	for _, s := range g.Hosts() {
		if s.Usable() && s.CatalogueRevision > revision {
			revision, peerAddress = s.CatalogueRevision, s.PeerAddress
		}
	}
	return revision, peerAddress
}
