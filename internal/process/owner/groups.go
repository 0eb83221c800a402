package owner

import (
	"slices"
	"sort"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
)

// scope returns the data centre whose groups this gateway may own. Under policies
// without owners it returns "", because each gateway runs all groups of all data
// centres.
func (m *Manager) scope() string {
	if m.opt.Policy != PolicyOwner {
		return ""
	}
	return m.opt.View.Self().DataCentre
}

// groupDataCentre returns the data centre in the key of the group that a replica
// belongs to. Under the shared policy it returns "": the replicas of all data centres
// are one group, because each gateway sees all of them.
func (m *Manager) groupDataCentre(b membership.Backend) string {
	if m.opt.Policy == PolicyShared {
		return ""
	}
	return b.DataCentre
}

// ownGroups returns the groups that this gateway owns, as far as the models of their
// engines are known.
func (m *Manager) ownGroups() []schedule.GroupKey {
	var out []schedule.GroupKey
	for _, k := range m.knownGroups() {
		if m.owns(k) {
			out = append(out, k)
		}
	}
	return out
}

// servingKey identifies the engines of a data centre that serve a model.
type servingKey struct{ dataCentre, model string }

// knownGroups derives groups from the models that engines report.
func (m *Manager) knownGroups() []schedule.GroupKey {
	names := map[servingKey][]string{}
	for _, b := range m.opt.View.Engines(m.scope()) {
		models, _ := m.opt.View.Reported(b.Name)
		for _, model := range models {
			s := servingKey{m.groupDataCentre(b), model}
			names[s] = append(names[s], b.Name)
		}
	}
	seen := map[schedule.GroupKey]bool{}
	var out []schedule.GroupKey
	for s, engines := range names {
		shards := m.opt.ShardCount(len(engines))
		for _, name := range engines {
			k := schedule.GroupKey{DataCentre: s.dataCentre, Model: s.model, Shard: m.opt.ShardOf(name, shards)}
			if !seen[k] {
				seen[k] = true
				out = append(out, k)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].String() < out[j].String() })
	return out
}

// replicas returns the engines of a group. An engine of which this gateway has no
// report is not accepting, because its batch size and memory are unknown.
func (m *Manager) replicas(k schedule.GroupKey) []schedule.Replica {
	var serving []membership.Backend
	for _, b := range m.opt.View.Engines(k.DataCentre) {
		models, _ := m.opt.View.Reported(b.Name)
		if slices.Contains(models, k.Model) {
			serving = append(serving, b)
		}
	}
	shards := m.opt.ShardCount(len(serving))
	var out []schedule.Replica
	for _, b := range serving {
		if m.opt.ShardOf(b.Name, shards) == k.Shard {
			out = append(out, m.replica(b))
		}
	}
	return out
}

// replica combines an engine's membership entry with its last report.
func (m *Manager) replica(b membership.Backend) schedule.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := schedule.Replica{Name: b.Name, Address: b.Address, DataCentre: b.DataCentre, Evacuated: b.Evacuated, MaxStarts: b.MaxStarts}
	if e := m.engines[b.Name]; e != nil {
		r.MaxBatch = e.report.MaxBatch
		r.KVCapacityTokens = e.report.KVCapacityTokens
		r.Accepting = b.Accepting && e.usable()
	}
	return r
}

// candidates returns the summaries of all groups of a model that are not in skip:
// current ones of this gateway's own groups, gossiped ones, and empty ones of local
// groups if no local group has a summary yet.
func (m *Manager) candidates(model string, skip map[schedule.GroupKey]bool) []schedule.Summary {
	seen := map[schedule.GroupKey]bool{}
	var out []schedule.Summary
	add := func(s schedule.Summary) {
		if s.Group.Model == model && !seen[s.Group] && !skip[s.Group] && !m.evacuated(s.Group.DataCentre) {
			seen[s.Group] = true
			out = append(out, s)
		}
	}
	for _, s := range m.ownSummaries(model) {
		add(s)
	}
	if m.opt.Policy == PolicyOwner {
		for _, s := range m.opt.View.Summaries() {
			add(s)
		}
	}
	local := m.groupDataCentre(membership.Backend{DataCentre: m.opt.View.Self().DataCentre})
	if !slices.ContainsFunc(out, func(s schedule.Summary) bool { return s.Group.DataCentre == local }) {
		for _, k := range m.knownGroups() {
			add(schedule.Summary{Group: k, Owner: m.opt.View.Owner(k)})
		}
	}
	return out
}
