package cell

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func names(prefix string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint(prefix, i))
	}
	return out
}

// divide returns the division of a fleet as a gateway sees it.
func divide(self string, gateways, engines []string) *Division {
	d := &Division{}
	d.Update(self, gateways, engines)
	return d
}

// Guards against engines that no gateway schedules, that gateways of two cells schedule, or of which gateways
// of one cell have different views, when gateways have just ended, started or taken the place of others.
func TestEachEngineIsInOneCell(t *testing.T) {
	is := is.New(t)
	all, engines := names("gateway-", 100), names("engine-", 1000)
	views := map[string]*Division{}
	for _, live := range [][]string{all, all[:30], append(all[:20:20], all[60:]...), all} {
		cells, seen := map[string]string{}, 0
		for i, g := range live {
			if views[g] == nil {
				views[g] = &Division{}
			}
			views[g].Update(g, live, engines)
			if i%10 == 0 { // does not depend on what was before
				is.Equal(views[g].Engines(), divide(g, live, engines).Engines())
			}
			for e := range views[g].Engines() {
				if cells[e] == "" {
					cells[e] = g
					seen++
				}
				is.True(views[g].SameCell(g, cells[e]))
			}
		}
		is.Equal(seen, len(engines))
	}
}

// Guards against a fleet in which work crowds in some cells, and against a large change for the others
// when one gateway ends.
func TestCellsAreEven(t *testing.T) {
	is := is.New(t)
	gateways, engines := names("gateway-", 300), names("engine-", 3000)
	perGateway := map[string]int{}
	for i := range 20 {
		g := gateways[15*i]
		d := divide(g, gateways, engines)
		mates := 0
		for _, other := range gateways {
			if d.SameCell(g, other) {
				mates++
			}
		}
		perGateway[g] = len(d.Engines()) / mates
	}
	least, most := slices.Min(slices.Collect(maps.Values(perGateway))), slices.Max(slices.Collect(maps.Values(perGateway)))
	is.True(least >= 5) // the mean is 10 engines for each gateway
	is.True(most <= 15)
	before, after := divide(gateways[1], gateways, engines), divide(gateways[1], gateways[:299], engines)
	changed := 0
	for _, e := range engines {
		if before.Engines()[e] != after.Engines()[e] {
			changed++
		}
	}
	is.True(changed <= 20)
}

// Guards against a fleet of the size of earlier deployments that is divided, a gateway that uses thousands of engines
// because it knows no other one yet, and a number of cells that changes with each engine.
func TestNumberOfCells(t *testing.T) {
	is := is.New(t)
	is.Equal(divide("g", []string{"g"}, names("e", maxEngines)).Engines(), nil)
	is.Equal(len(divide("g", []string{"g"}, names("e", 3000)).Engines()), maxOwnEngines)
	for _, n := range []struct{ engines, before, want int }{
		{0, 0, 1}, {128, 1, 1}, {129, 1, 2}, {1000, 1, 8}, {3000, 8, 32}, {128, 2, 2}, {97, 2, 2}, {95, 2, 1}, {10, 32, 1},
	} {
		is.Equal(count(n.engines, n.before), n.want)
	}
}
