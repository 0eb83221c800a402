// Package cell divides a large fleet into cells, so that what a gateway has to learn about engines
// and other gateways does not grow with the fleet. A gateway schedules the engines of its cell and exchanges
// loads, reports and confirmations with the gateways of its cell only. See docs/design/knowledge.md.
package cell

import (
	"maps"
	"math/bits"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"persimmonwing/internal/process/membership"
)

const (
	// maxEngines is the number of engines per cell above which the number of cells doubles. A fleet with
	// fewer engines is one cell. Long generations need a choice of many engines: half of it, the least
	// that a cell has after a split, is still the size of a whole data centre of most deployments.
	maxEngines = 128
	// mergeEngines is the number of engines per cell below which cells merge. It is less than half of
	// maxEngines, so that engines that come and go do not split and merge cells in turn.
	mergeEngines = 48
	// maxOwnEngines bounds the engines of a cell that a gateway uses. A gateway that knows no other one, as
	// right after its start, would otherwise use and poll all engines of the fleet.
	maxOwnEngines = 2 * maxEngines
)

// count returns the number of cells for a number of engines, a power of two, if there were before cells.
func count(engines, before int) int {
	n := max(1, before)
	for engines > n*maxEngines {
		n *= 2
	}
	for n > 1 && engines < n*mergeEngines {
		n /= 2
	}
	return n
}

// of returns the cell of a gateway. When the number of cells doubles, each cell splits into two, so that
// gateways that disagree about the number by one step still share all engines of the smaller cell.
func of(gateway string, cells int) int {
	return int(xxhash.Sum64String(gateway) >> (65 - bits.Len(uint(cells))))
}

// home is the gateway of an engine's cell that ranks first for the engine.
type home struct {
	gateway string
	score   uint64
}

// Division is the division of the fleet as one gateway sees it. The zero value is a fleet of one cell.
//
// An engine belongs to the cell of its home, the live gateway that ranks first for it, which is also its
// reader and arbiter. A cell therefore has engines in proportion to its live gateways, no engine is without a
// gateway, and a gateway that starts or ends moves only the engines of which it is the home.
type Division struct {
	cells    int
	gateways []string
	homes    map[string]home
	engines  map[string]bool
}

// Cells returns the number of cells.
func (d *Division) Cells() int { return max(1, d.cells) }

// Engines returns the engines of this gateway's cell, or nil if the fleet is one cell.
func (d *Division) Engines() map[string]bool { return d.engines }

// SameCell reports whether two gateways are in one cell.
func (d *Division) SameCell(a, b string) bool { return of(a, d.Cells()) == of(b, d.Cells()) }

// Update applies the live gateways and the engines that are listed now. It compares only new gateways
// and engines with the others, since comparing all takes tens of milliseconds for 300 gateways and 3,000 engines.
func (d *Division) Update(self string, gateways, engines []string) {
	d.cells = count(len(engines), d.cells)
	if d.cells == 1 {
		*d = Division{cells: 1}
		return
	}
	gateways = slices.Sorted(slices.Values(gateways))
	live := make(map[string]bool, len(gateways))
	var started []string
	for _, g := range gateways {
		live[g] = true
		if _, known := slices.BinarySearch(d.gateways, g); !known {
			started = append(started, g)
		}
	}
	d.gateways = gateways
	if d.homes == nil {
		d.homes = make(map[string]home, len(engines))
	}
	for _, e := range engines {
		h, known := d.homes[e]
		switch {
		case !known || !live[h.gateway]:
			d.homes[e] = first(gateways, e, home{})
		case len(started) > 0:
			d.homes[e] = first(started, e, h)
		}
	}
	if len(d.homes) > len(engines) {
		listed := make(map[string]bool, len(engines))
		for _, e := range engines {
			listed[e] = true
		}
		maps.DeleteFunc(d.homes, func(e string, _ home) bool { return !listed[e] })
	}
	d.engines = d.enginesOf(of(self, d.cells))
}

// first returns the home of an engine among gateways and a candidate, which may be empty.
func first(gateways []string, engine string, best home) home {
	key := membership.ReaderKey(engine)
	for _, g := range gateways {
		if s := membership.Score(g, key); best.gateway == "" || s > best.score || s == best.score && g < best.gateway {
			best = home{g, s}
		}
	}
	return best
}

// enginesOf returns the engines of a cell, at most maxOwnEngines.
func (d *Division) enginesOf(cell int) map[string]bool {
	cells := make(map[string]int, len(d.gateways))
	for _, g := range d.gateways {
		cells[g] = of(g, d.cells)
	}
	var names []string
	for e, h := range d.homes {
		if h.gateway != "" && cells[h.gateway] == cell {
			names = append(names, e)
		}
	}
	if len(names) > maxOwnEngines {
		// All gateways of the cell choose the same ones.
		slices.SortFunc(names, func(a, b string) int {
			x, y := xxhash.Sum64String(a), xxhash.Sum64String(b)
			if x != y && x < y || x == y && strings.Compare(a, b) < 0 {
				return -1
			}
			return 1
		})
		names = names[:maxOwnEngines]
	}
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}
