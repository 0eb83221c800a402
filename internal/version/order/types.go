package order

import (
	"context"
	"slices"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

// Catalogue provides the current revision, or nil before the first one.
type Catalogue interface{ Current() *catalogue.Snapshot }

// HostList reads the platform's host list.
type HostList interface {
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// Engines sends requests to engines.
type Engines interface {
	Order(ctx context.Context, name, address string, o api.Order) (api.OrderState, error)
	OrderState(ctx context.Context, name, address string) (api.OrderState, error)
	Load(ctx context.Context, name, address string) (api.LoadReport, error)
}

// EngineView is the state of an engine as known to the controller.
type EngineView struct {
	Name       string
	DataCentre string
	// Usable is false for an engine that is leaving, drains without an order or has
	// been unreachable for Options.LostAfter.
	Usable  bool
	Goal    api.Goal
	Loaded  []string
	Loading []string
}

// loadRank returns how close an engine is to serving a model: 2 if the model is loaded,
// 1 if it is ordered or loading, else 0.
func (e *EngineView) loadRank(model string) int {
	switch {
	case slices.Contains(e.Loaded, model):
		return 2
	case slices.Contains(e.Loading, model) || slices.Contains(e.Goal.Models, model):
		return 1
	default:
		return 0
	}
}

// Assignment is the goal that the plan sets for an engine. An engine without an
// assignment is left unchanged.
type Assignment struct {
	Engine string
	Goal   api.Goal
}

// sameGoal reports whether two goals are equal, with models and adapters compared as
// sets.
func sameGoal(a, b api.Goal) bool {
	return a.Role == b.Role && a.Drain == b.Drain &&
		sameSet(a.Models, b.Models) && sameSet(a.Adapters, b.Adapters)
}

func sameSet(a, b []string) bool {
	return slices.Equal(sorted(a), sorted(b))
}

func sorted(s []string) []string {
	c := slices.Clone(s)
	slices.Sort(c)
	return slices.Compact(c)
}
