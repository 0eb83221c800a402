package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Host is what a gateway tells about itself and others pass on.
type Host struct {
	Name        string
	DataCentre  string
	PeerAddress string
	// Incarnation is the start time in Unix milliseconds, or higher.
	Incarnation int64
	// Heartbeat grows every second within an incarnation.
	Heartbeat uint64
	// Left is set when the gateway has announced its end.
	Left bool
	// CatalogueRevision is the revision that the gateway has in force.
	CatalogueRevision int64
}

// ID identifies a host's incarnation in compact messages. Two of 400 hosts
// share one with a probability of 2 in 100,000; the death of one of them would
// then stay unnoticed by gossip until a call to it fails.
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

// join returns what two entries of one name say together: the newer one, with
// the highest revision told within its incarnation.
func join(a, b Host) Host {
	out := a
	if b.newer(a) {
		out = b
	}
	if a.Incarnation == b.Incarnation {
		out.CatalogueRevision = max(a.CatalogueRevision, b.CatalogueRevision)
	}
	return out
}

// newer orders entries of one name; the revision does not count.
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

// State is the state of a host as this gateway sees it.
type State string

// The values of State.
const (
	Live    State = "live"
	Suspect State = "suspect"
	Dead    State = "dead"
	Left    State = "left"
)
