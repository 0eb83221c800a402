package schedule

// prefixEntries is the number of entries of the prefix table. It has room for several
// hundred prefixes for each replica of a shard and takes 256 KiB.
const prefixEntries = 1 << 14

type prefixEntry struct {
	hash    uint64
	replica *replica
}

// prefixTable maps prefix hashes to the replicas that last ran them. A newer prefix
// overwrites an older one in the same slot. This is safe because the entries are only
// hints: a wrong or missing one costs prefill time but is no error.
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
