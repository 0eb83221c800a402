package order

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"persimmonwing/internal/version/catalogue"
)

// Plan selects the engines that should have each model of the catalogue loaded. An
// engine gets at most one model with replicas, because weights and KV cache share its
// memory. Models without replicas stay where they are loaded.
func Plan(c *catalogue.Catalogue, engines []EngineView) []Assignment {
	groups := map[string][]*EngineView{}
	for i := range engines {
		e := &engines[i]
		groups[e.DataCentre] = append(groups[e.DataCentre], e)
	}
	var out []Assignment
	for _, dc := range slices.Sorted(maps.Keys(groups)) {
		out = append(out, planDataCentre(c, groups[dc])...)
	}
	return out
}

func planDataCentre(c *catalogue.Catalogue, engines []*EngineView) []Assignment {
	slices.SortFunc(engines, func(a, b *EngineView) int { return cmp.Compare(a.Name, b.Name) })
	usable := slices.DeleteFunc(slices.Clone(engines), func(e *EngineView) bool {
		return !e.Usable || slices.Contains(c.Draining, e.Name)
	})
	assigned := assign(Shares(c, len(usable)), usable)
	var out []Assignment
	for _, e := range engines {
		if !e.Usable && !slices.Contains(c.Draining, e.Name) {
			continue
		}
		if g, ok := goalOf(c, e, assigned[e.Name]); ok {
			out = append(out, Assignment{Engine: e.Name, Goal: g})
		}
	}
	return out
}

// Shares returns the number of engines for each model with replicas in a data centre
// with n engines. If there are too few engines, each model gets a proportional share,
// rounded by the D'Hondt method, and at least one engine if there are enough. With this
// method, one engine more or less changes the share of one model only.
func Shares(c *catalogue.Catalogue, n int) map[string]int {
	wanted, total := map[string]int{}, 0
	for _, m := range c.Models {
		if m.Replicas > 0 {
			wanted[m.Name] = m.Replicas
			total += m.Replicas
		}
	}
	if total <= n {
		return wanted
	}
	names := slices.Sorted(maps.Keys(wanted))
	shares, left := map[string]int{}, n
	if n >= len(names) {
		for _, name := range names {
			shares[name] = 1
			left--
		}
	}
	for ; left > 0; left-- {
		best := slices.MinFunc(names, func(a, b string) int {
			return cmp.Compare(
				float64(shares[a]+1)/float64(wanted[a]),
				float64(shares[b]+1)/float64(wanted[b]))
		})
		shares[best]++
	}
	return shares
}

// assign returns the model of each engine that gets one. Engines keep their model as
// far as possible. Engines for the remaining replicas are selected by rendezvous
// hashing.
func assign(shares map[string]int, engines []*EngineView) map[string]string {
	models := slices.Sorted(maps.Keys(shares))
	m := newMatching(shares)
	byHash := slices.Clone(engines)
	slices.SortFunc(byHash, func(a, b *EngineView) int {
		return cmp.Or(cmp.Compare(rendezvous("", a.Name), rendezvous("", b.Name)), cmp.Compare(a.Name, b.Name))
	})
	// Loaded models are matched first, so that none is unloaded in favour of a model
	// that is only ordered.
	for rank := 2; rank >= 1; rank-- {
		for _, e := range byHash {
			edges := slices.DeleteFunc(slices.Clone(models), func(model string) bool { return e.loadRank(model) < rank })
			m.add(e.Name, edges)
		}
	}
	for _, model := range models {
		for m.free(model) > 0 {
			e := bestFree(engines, m, model)
			if e == nil {
				break
			}
			m.put(e.Name, model)
		}
	}
	return m.modelOf
}

// bestFree returns the best unassigned engine for a model, or nil. It prefers engines
// that have nothing loaded.
func bestFree(engines []*EngineView, m *matching, model string) *EngineView {
	var best *EngineView
	better := func(a, b *EngineView) bool {
		if idle, other := len(a.Loaded) == 0, len(b.Loaded) == 0; idle != other {
			return idle
		}
		return rendezvous(model, a.Name) > rendezvous(model, b.Name)
	}
	for _, e := range engines {
		if _, taken := m.modelOf[e.Name]; !taken && (best == nil || better(e, best)) {
			best = e
		}
	}
	return best
}

func rendezvous(model, engine string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(engine)
	return d.Sum64()
}
