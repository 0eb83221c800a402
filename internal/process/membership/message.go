package membership

import (
	"encoding/binary"

	"persimmonwing/internal/process/schedule"
)

// The bounds of one message. With them a message stays under 1.5 KB at 50
// gateways in each of 8 data centres when nothing changes.
const (
	// maxLocalBeats bounds the heartbeats of the own data centre; above it they
	// are sent in turn.
	maxLocalBeats = 64
	// maxPositions bounds the data centre whose heartbeats are sent without ids.
	maxPositions = 256
	// maxRemoteBeats bounds those of other data centres, sent in turn.
	maxRemoteBeats = 24
	// maxRemoteRows bounds the summaries of other data centres, sent in turn.
	maxRemoteRows = 8
	// maxFreshFacts bounds the facts that are sent because they are new.
	maxFreshFacts = 32
	// maxRepairFacts bounds the facts sent in turn when digests differ.
	maxRepairFacts = 16
	// maxNames bounds the full entries sent because the peer asked for them.
	maxNames = 64
)

// Message is the argument and the answer of Membership.Exchange.
type Message struct {
	// From is set in messages with names and by a gateway that leaves.
	From Host
	// Sender is the id of the sender, and Revision its catalogue revision.
	Sender   uint32
	Revision int64
	// Beats holds (id, heartbeat) pairs, see appendBeat.
	Beats []byte
	// Local holds the heartbeats of the sender's data centre without ids, see
	// localBeats.
	Local []byte
	// Plain asks for Local again with ids, because the receiver knows others.
	Plain bool
	Rows  summaryRows
	Facts []Fact
	// Digest covers all facts of the sender.
	Digest uint64
	// Hosts and Groups are full entries: those that the peer asked for and
	// hosts that have just left.
	Hosts  []Host
	Groups []schedule.GroupKey
	// Want lists ids whose names the sender does not know.
	Want []uint32
	// ConfirmedRevision and ConfirmedAgeMS are set in answers: so many milliseconds
	// ago, at most, the catalogue's head was at most this revision. An age of 0
	// means that nothing is confirmed.
	ConfirmedRevision int64
	ConfirmedAgeMS    uint32
	// NamesOnly marks a follow-up that only asks for names or sends them.
	NamesOnly bool
}

// beatSize is the size of a pair in Beats.
const beatSize = 6

// appendBeat appends 4 bytes of id and the low 2 bytes of the heartbeat.
func appendBeat(b []byte, id uint32, heartbeat uint64) []byte {
	b = binary.LittleEndian.AppendUint32(b, id)
	return binary.LittleEndian.AppendUint16(b, uint16(heartbeat))
}

// readBeats calls f for each pair; malformed trailing bytes are ignored.
func readBeats(b []byte, f func(id uint32, low uint16)) {
	for ; len(b) >= beatSize; b = b[beatSize:] {
		f(binary.LittleEndian.Uint32(b), binary.LittleEndian.Uint16(b[4:]))
	}
}

// expand returns the heartbeat nearest to a known one that ends in low. Hosts
// without news are forgotten after 5 minutes, so that it is within 9 hours.
func expand(known uint64, low uint16) uint64 {
	difference := int64(int16(low - uint16(known)))
	return uint64(max(0, int64(known)+difference))
}
