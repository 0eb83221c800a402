package membership

import (
	"maps"
	"slices"
)

// index speeds up look-ups in a Table between changes of its names, addresses
// and incarnations; heartbeats do not change it.
type index struct {
	// names is sorted and leaves out this gateway.
	names []string
	// byID maps host ids, and byName ids of names alone, to names.
	byID, byName map[uint32]string
	// atAddress holds the newest host of each address.
	atAddress map[string]string
}

// look returns the index and builds it if necessary.
func (t *Table) look() *index {
	if t.index != nil {
		return t.index
	}
	n := len(t.hosts) + 1
	x := &index{
		names:     slices.Sorted(maps.Keys(t.hosts)),
		byID:      make(map[uint32]string, n),
		byName:    make(map[uint32]string, n),
		atAddress: make(map[string]string, n),
	}
	for _, name := range x.names {
		k := t.hosts[name]
		x.byID[k.id] = name
		x.byName[hashID(name)] = name
		if other, ok := x.atAddress[k.PeerAddress]; !ok || supersedes(k.Host, t.hosts[other].Host) {
			x.atAddress[k.PeerAddress] = name
		}
	}
	x.byID[t.self.ID()] = t.self.Name
	x.byName[hashID(t.self.Name)] = t.self.Name
	t.index = x
	return x
}
