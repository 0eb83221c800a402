package membership

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// index is a lookup index of a Table. It stays valid until a name, an address or an
// incarnation changes; heartbeats don't affect it.
type index struct {
	// names is sorted and excludes this gateway.
	names []string
	// byID maps host IDs to names. byName maps hashes of names to names.
	byID, byName map[uint32]string
	// atAddress maps each peer address to the name of the newest host that uses it. replaced holds the others.
	atAddress map[string]string
	replaced  map[string]bool
	// local lists the hosts of this data centre, this gateway included, in the order of
	// their IDs. localHash is a hash of these IDs.
	local     []string
	localHash uint32
}

// getIndex returns the index and rebuilds it if it is out of date.
func (t *Table) getIndex() *index {
	if t.index != nil {
		return t.index
	}
	n := len(t.hosts) + 1
	x := &index{
		names:     slices.Sorted(maps.Keys(t.hosts)),
		byID:      make(map[uint32]string, n),
		byName:    make(map[uint32]string, n),
		atAddress: make(map[string]string, n),
		replaced:  map[string]bool{},
	}
	for _, name := range x.names {
		k := t.hosts[name]
		x.byID[k.id] = name
		x.byName[hashID(name)] = name
		if other, ok := x.atAddress[k.PeerAddress]; !ok || supersedes(k.Host, t.hosts[other].Host) {
			x.atAddress[k.PeerAddress] = name
		}
	}
	for _, name := range x.names {
		if x.atAddress[t.hosts[name].PeerAddress] != name {
			x.replaced[name] = true
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
	x.localHash = uint32(xxhash.Sum64(ids))
	return x
}

// id returns the ID of a known host or of this gateway.
func (t *Table) id(name string) uint32 {
	if name == t.self.Name {
		return t.self.ID()
	}
	return t.hosts[name].id
}

// localNames returns the names of all hosts of this data centre, this gateway included,
// in the order of their IDs.
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

// local reports whether the host at an address is known to be in this data centre.
func (t *Table) local(address string) bool {
	k, ok := t.hosts[t.getIndex().atAddress[address]]
	return ok && k.DataCentre == t.self.DataCentre
}
