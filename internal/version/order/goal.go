package order

import (
	"slices"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

// goalOf returns the goal of an engine. assigned is the model that the plan assigns to
// the engine, or empty. goalOf returns false for an engine that is left unchanged.
func goalOf(c *catalogue.Catalogue, e *EngineView, assigned string) (api.Goal, bool) {
	if slices.Contains(c.Draining, e.Name) {
		g := e.Goal
		g.Drain = true
		return g, true
	}
	g := api.Goal{Role: e.Goal.Role}
	managed := map[string]bool{}
	for _, m := range c.Models {
		managed[m.Name] = m.Replicas > 0
	}
	surplus := false
	for _, name := range sorted(slices.Concat(e.Goal.Models, e.Loaded)) {
		has, known := managed[name]
		switch {
		case name == assigned:
		case has:
			surplus = true
		case (known || assigned == "") && (slices.Contains(e.Loaded, name) || slices.Contains(e.Loading, name)):
			g.Models = append(g.Models, name)
		}
	}
	if assigned == "" && !surplus {
		g.Models, g.Adapters = e.Goal.Models, e.Goal.Adapters
		return g, e.Goal.Drain
	}
	if assigned != "" {
		g.Models = sorted(append(g.Models, assigned))
	}
	g.Adapters = adapters(c, g.Models)
	return g, true
}

// adapters returns the adapters of the models, sorted and without duplicates.
func adapters(c *catalogue.Catalogue, models []string) []string {
	var out []string
	for _, m := range c.Models {
		if slices.Contains(models, m.Name) {
			out = append(out, m.Adapters...)
		}
	}
	return sorted(out)
}
