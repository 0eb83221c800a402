package origins

import "time"

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the version of the software that sent its first event.
	Version string
}

// known is what a gateway remembers of a stream that began at it, or that a caller took up here.
type known struct {
	Origin
	// until is the time after which the stream has ended, and lifetime its longest duration.
	until, lifetime time.Duration
	// recorded is set once the store has been asked to keep the origin.
	recorded bool
}

// table holds the origins of streams by the id of the attempt that brought the first event. It has no input or output.
type table struct {
	streams map[string]*known
	// order holds the ids in the order in which they were added, for pruning.
	order []string
}

func newTable() *table { return &table{streams: map[string]*known{}} }

// add records an origin. An id that is known keeps its origin: the first event of a stream comes once.
func (t *table) add(id string, o Origin, now, lifetime time.Duration) *known {
	if k := t.streams[id]; k != nil {
		return k
	}
	if len(t.order) >= maxStreams {
		delete(t.streams, t.order[0])
		t.order = t.order[1:]
	}
	k := &known{Origin: o, until: now + lifetime, lifetime: lifetime}
	t.streams[id] = k
	t.order = append(t.order, id)
	return k
}

// prune forgets streams that have ended.
func (t *table) prune(now time.Duration) {
	kept := t.order[:0]
	for _, id := range t.order {
		if t.streams[id].until < now {
			delete(t.streams, id)
			continue
		}
		kept = append(kept, id)
	}
	t.order = kept
}
