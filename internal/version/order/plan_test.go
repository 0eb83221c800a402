package order

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

var modelNames = []string{"a", "b", "c", "d"}

// drawCatalogue draws models, some of them without replicas.
func drawCatalogue(t *rapid.T, engines []string) *catalogue.Catalogue {
	c := &catalogue.Catalogue{}
	for _, name := range modelNames {
		m := catalogue.Model{Name: name, Replicas: rapid.IntRange(0, 4).Draw(t, "replicas of "+name)}
		if m.Replicas > 1 {
			m.Adapters = []string{name + "-adapter"}
		}
		c.Models = append(c.Models, m)
	}
	c.Draining = rapid.SliceOfNDistinct(rapid.SampledFrom(engines), 0, 2, rapid.ID).Draw(t, "draining")
	return c
}

// drawViews draws the state of engines with at most maxModels models each.
func drawViews(t *rapid.T, names []string, maxModels int) []EngineView {
	var views []EngineView
	for i, name := range names {
		loaded := rapid.SliceOfNDistinct(rapid.SampledFrom(append(modelNames, "unlisted")), 0, maxModels, rapid.ID).Draw(t, name)
		views = append(views, EngineView{
			Name:       name,
			DataCentre: fmt.Sprint("dc", i%2),
			Usable:     rapid.IntRange(0, 4).Draw(t, "usable") > 0,
			Goal:       api.Goal{Models: loaded, Adapters: adapters(&catalogue.Catalogue{}, loaded)},
			Loaded:     loaded[:rapid.IntRange(0, len(loaded)).Draw(t, "ready")],
		})
	}
	return views
}

func engineNames(t *rapid.T) []string {
	var names []string
	for i := range rapid.IntRange(1, 12).Draw(t, "engines") {
		names = append(names, fmt.Sprint("e", i))
	}
	return names
}

// usableIn returns the engines of a data centre to which models may be assigned.
func usableIn(c *catalogue.Catalogue, views []EngineView, dc string) (out []EngineView) {
	for _, v := range views {
		if v.DataCentre == dc && v.Usable && !slices.Contains(c.Draining, v.Name) {
			out = append(out, v)
		}
	}
	return out
}

// managedOf returns the models of a goal that have replicas in the catalogue.
func managedOf(c *catalogue.Catalogue, g api.Goal) (out []string) {
	for _, m := range c.Models {
		if m.Replicas > 0 && slices.Contains(g.Models, m.Name) {
			out = append(out, m.Name)
		}
	}
	return out
}

// applyPlan returns the state of the engines after all have reached their goal.
func applyPlan(views []EngineView, plan []Assignment) []EngineView {
	views = slices.Clone(views)
	for _, a := range plan {
		i := slices.IndexFunc(views, func(v EngineView) bool { return v.Name == a.Engine })
		views[i].Goal, views[i].Loaded = a.Goal, a.Goal.Models
	}
	return views
}

// Guards against a wrong number of replicas, goals for engines that are leaving or
// draining, several models that compete for the memory of one engine, lost adapters,
// plans that depend on the order of the list, and plans that change when they are
// repeated.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := engineNames(t)
		c, views := drawCatalogue(t, names), drawViews(t, names, 3)
		plan := Plan(c, views)
		for _, a := range plan {
			v := views[slices.Index(names, a.Engine)]
			drained := slices.Contains(c.Draining, a.Engine)
			if a.Goal.Drain != drained || !drained && !v.Usable {
				t.Fatalf("%s must not be assigned goal %+v", a.Engine, a.Goal)
			}
		}
		done := applyPlan(views, plan)
		for _, dc := range []string{"dc0", "dc1"} {
			usable := usableIn(c, done, dc)
			got := map[string]int{}
			for _, v := range usable {
				managed := managedOf(c, v.Goal)
				if len(managed) > 1 {
					t.Fatalf("%s is assigned several models: %v", v.Name, managed)
				}
				for _, m := range managed {
					got[m]++
					if want := adapters(c, []string{m}); len(without(want, v.Goal.Adapters)) > 0 {
						t.Fatalf("%s lacks adapters %v of %s", v.Name, want, m)
					}
				}
			}
			for m, want := range Shares(c, len(usable)) {
				if got[m] != want {
					t.Fatalf("%s has %d replicas of %s, want %d", dc, got[m], m, want)
				}
			}
		}
		again := applyPlan(done, Plan(c, done))
		if diff := cmp.Diff(done, again); diff != "" {
			t.Fatalf("a second plan for engines that have their goals differs: %s", diff)
		}
		shuffled := slices.Clone(views)
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(views), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if diff := cmp.Diff(plan, Plan(c, shuffled)); diff != "" {
			t.Fatalf("the plan depends on the order of engines: %s", diff)
		}
	})
}

// Guards against unnecessary moves: a model is loaded only if fewer engines have it
// than should, and unloaded only if more have it loaded.
func TestPlanMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := engineNames(t)
		c, views := drawCatalogue(t, names), drawViews(t, names, 1)
		done := applyPlan(views, Plan(c, views))
		for _, dc := range []string{"dc0", "dc1"} {
			before, now := usableIn(c, views, dc), usableIn(c, done, dc)
			for m, share := range Shares(c, len(before)) {
				held, loads, ready, kept := 0, 0, 0, 0
				for i, v := range before {
					if v.loadRank(m) == 2 {
						ready++
						if slices.Contains(now[i].Goal.Models, m) {
							kept++
						}
					}
					if v.loadRank(m) > 0 {
						held++
					} else if slices.Contains(now[i].Goal.Models, m) {
						loads++
					}
				}
				if kept != min(ready, share) {
					t.Fatalf("%s: %d of %d loaded replicas of %s are kept, share %d", dc, kept, ready, m, share)
				}
				if loads != max(0, share-held) {
					t.Fatalf("%s: %d loads of %s, but %d of %d engines have it loaded or ordered", dc, loads, m, held, share)
				}
			}
		}
	})
}

// Guards against shares that leave a model without engines, or that shift between
// models when an engine is lost.
func TestShares(t *testing.T) {
	is := is.New(t)
	c := &catalogue.Catalogue{Models: []catalogue.Model{{Name: "a", Replicas: 6}, {Name: "b", Replicas: 2}, {Name: "c"}}}
	is.Equal(Shares(c, 9), map[string]int{"a": 6, "b": 2})
	is.Equal(Shares(c, 4), map[string]int{"a": 3, "b": 1})
	is.Equal(Shares(c, 2), map[string]int{"a": 1, "b": 1})
	is.Equal(Shares(c, 0), map[string]int{})
	for n := range 9 {
		less, more := Shares(c, n), Shares(c, n+1)
		changed := 0
		for _, m := range modelNames {
			is.True(more[m] >= less[m])
			changed += more[m] - less[m]
		}
		is.True(changed <= 1)
	}
}

// Guards against a loaded replica that is unloaded in favour of one that is only
// ordered, and against a load that could be avoided by exchanging the models of two
// engines.
func TestPlanKeepsWhatIsLoaded(t *testing.T) {
	is := is.New(t)
	one := &catalogue.Catalogue{Models: []catalogue.Model{{Name: "a", Replicas: 1}}}
	both := &catalogue.Catalogue{Models: []catalogue.Model{{Name: "a", Replicas: 1}, {Name: "b", Replicas: 1}}}
	for i := range 8 {
		ordered, pair := make([]EngineView, 8), make([]EngineView, 2)
		for k := range ordered {
			ordered[k] = EngineView{Name: fmt.Sprint("e", k), Usable: true, Goal: api.Goal{Models: []string{"a"}}}
		}
		ordered[i].Loaded = []string{"a"}
		done := applyPlan(ordered, Plan(one, ordered))
		is.Equal(managedOf(one, done[i].Goal), []string{"a"})
		pair[0] = EngineView{Name: fmt.Sprint("e", i), Usable: true, Loaded: []string{"a", "b"}}
		pair[1] = EngineView{Name: "other", Usable: true, Loaded: []string{"a"}}
		done = applyPlan(pair, Plan(both, pair))
		is.Equal(done[0].Goal.Models, []string{"b"})
		is.Equal(done[1].Goal.Models, []string{"a"})
	}
}
