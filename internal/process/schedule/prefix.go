package schedule

// prefixEntries is the size of the table of prefixes. It holds some hundred
// prefixes for each replica of a shard in 256 KiB.
const prefixEntries = 1 << 14

type prefixEntry struct {
	hash    uint64
	replica *replica
}

// prefixTable maps prefix hashes to the replica that last ran them. A newer
// prefix replaces an older one in the same place; a wrong or missing hint
// costs only speed.
type prefixTable struct {
	entries []prefixEntry
}

func (t *prefixTable) lookup(hash uint64) *replica {
	if t.entries == nil {
		return nil
	}
	e := t.entries[hash%prefixEntries]
	if e.hash != hash {
		return nil
	}
	return e.replica
}

func (t *prefixTable) remember(hashes []uint64, r *replica) {
	if t.entries == nil && len(hashes) > 0 {
		t.entries = make([]prefixEntry, prefixEntries)
	}
	for _, h := range hashes {
		t.entries[h%prefixEntries] = prefixEntry{hash: h, replica: r}
	}
}
