// Package evacuation keeps the data centres whose backend servers get no new work.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Evacuation is a data centre whose backend servers get no new work until operators take that back.
type Evacuation struct {
	DataCentre string `json:"data_centre"`
	// Revision is the revision of the source that began it.
	Revision int64 `json:"revision"`
	// Since is the time at which this gateway learned of it.
	Since time.Time `json:"since"`
}

// Change is the begin or the end of an evacuation.
type Change struct {
	Evacuation
	Began bool
}

// Set is a set of evacuations. The zero value is empty. It is not safe for concurrent use.
type Set struct{ byDataCentre map[string]Evacuation }

// Replace replaces the whole set and returns the changes, sorted by data centre. A data centre with
// another revision than before was taken back and evacuated again.
func (s *Set) Replace(now time.Time, evacuations []Evacuation) []Change {
	next := make(map[string]Evacuation, len(evacuations))
	var changes []Change
	for _, e := range evacuations {
		if old, known := s.byDataCentre[e.DataCentre]; known && old.Revision == e.Revision {
			next[e.DataCentre] = old
			continue
		}
		e.Since = now
		next[e.DataCentre] = e
		changes = append(changes, Change{e, true})
	}
	for dataCentre, old := range s.byDataCentre {
		if _, stays := next[dataCentre]; !stays {
			changes = append(changes, Change{old, false})
		}
	}
	s.byDataCentre = next
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return changes
}

// Contains reports whether a data centre is evacuated.
func (s *Set) Contains(dataCentre string) bool {
	_, ok := s.byDataCentre[dataCentre]
	return ok
}

// Empty reports whether no data centre is evacuated.
func (s *Set) Empty() bool { return len(s.byDataCentre) == 0 }

// Get returns the evacuation of a data centre and whether there is one.
func (s *Set) Get(dataCentre string) (Evacuation, bool) {
	e, ok := s.byDataCentre[dataCentre]
	return e, ok
}

// List returns the evacuations sorted by data centre.
func (s *Set) List() []Evacuation {
	return slices.SortedFunc(maps.Values(s.byDataCentre), func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
}
