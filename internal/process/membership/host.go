package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Host is a gateway's entry in the membership table. A gateway publishes its own entry
// and the others relay it.
type Host struct {
	Name        string
	DataCentre  string
	PeerAddress string
	// Incarnation is the start time in Unix milliseconds, or higher.
	Incarnation int64
	// Heartbeat increases every second within an incarnation.
	Heartbeat uint64
	// MilliCores is the processor time that the host may use, in thousandths of a core, or 0
	// if it is unknown.
	MilliCores int
	// Left is set when the gateway has announced that it shuts down.
	Left bool
	// CatalogueRevision is the catalogue revision that the gateway applies.
	CatalogueRevision int64
}

// ID returns a hash that identifies a host's incarnation in compact messages. With 400
// hosts, the probability that two of them have the same ID is 2 in 100,000. Gossip
// would then not detect the failure of one of them until a call to it fails.
func (h Host) ID() uint32 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(h.Incarnation))
	return hashID(h.Name, h.DataCentre, h.PeerAddress, string(b[:]))
}

// hashID hashes strings to 32 bits; 0 is never returned.
func hashID(parts ...string) uint32 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return uint32(d.Sum64()) | 1
}

// mergeHost merges two entries with the same name: it returns the newer one, with the
// highest catalogue revision of the two if they are of the same incarnation.
func mergeHost(a, b Host) Host {
	out := a
	if b.newer(a) {
		out = b
	}
	if a.Incarnation == b.Incarnation {
		out.CatalogueRevision = max(a.CatalogueRevision, b.CatalogueRevision)
	}
	return out
}

// newer reports whether h supersedes b, an entry with the same name. The order is total
// except for the catalogue revision, which is ignored.
func (h Host) newer(b Host) bool {
	switch {
	case h.Incarnation != b.Incarnation:
		return h.Incarnation > b.Incarnation
	case h.PeerAddress != b.PeerAddress:
		return h.PeerAddress > b.PeerAddress
	case h.DataCentre != b.DataCentre:
		return h.DataCentre > b.DataCentre
	case h.Left != b.Left:
		return h.Left
	}
	return h.Heartbeat > b.Heartbeat
}

// State is the state of a host in the view of this gateway.
type State string

// The values of State.
const (
	Live    State = "live"
	Suspect State = "suspect"
	Dead    State = "dead"
	Left    State = "left"
)
