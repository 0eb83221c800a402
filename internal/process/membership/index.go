package membership

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
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
	// local names the hosts of the own data centre, this gateway included, in
	// the order of their ids, and localSet identifies them.
	local    []string
	localSet uint32
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
	x.local = t.localNames()
	var ids []byte
	for _, name := range x.local {
		ids = binary.LittleEndian.AppendUint32(ids, t.id(name))
	}
	x.localSet = uint32(xxhash.Sum64(ids))
	return x
}

// id returns the id of a known host or of this gateway.
func (t *Table) id(name string) uint32 {
	if name == t.self.Name {
		return t.self.ID()
	}
	return t.hosts[name].id
}

// localNames returns the names of the own data centre in the order of their ids.
func (t *Table) localNames() []string {
	out := []string{t.self.Name}
	for name, k := range t.hosts {
		if k.DataCentre == t.self.DataCentre {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(t.id(a), t.id(b)) })
	return out
}

// local reports whether the host at an address is known to be of the own data
// centre.
func (t *Table) local(address string) bool {
	k, ok := t.hosts[t.look().atAddress[address]]
	return ok && k.DataCentre == t.self.DataCentre
}
