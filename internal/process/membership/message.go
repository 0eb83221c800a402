package membership

import (
	"encoding/binary"

	"persimmonwing/internal/process/schedule"
)

// The limits of one message. They keep a message below 1.5 KB with 50 gateways in each
// of 8 data centres when nothing changes.
const (
	// maxLocalBeats is the maximum number of heartbeats of this data centre that are
	// sent with IDs. More hosts are sent in rotation.
	maxLocalBeats = 64
	// maxPositionalBeats is the maximum number of hosts of this data centre up to which
	// their heartbeats are sent without IDs.
	maxPositionalBeats = 256
	// maxRemoteBeats is the maximum number of heartbeats of other data centres, sent in
	// rotation.
	maxRemoteBeats = 24
	// maxRemoteRows is the maximum number of summaries of other data centres, sent in
	// rotation.
	maxRemoteRows = 8
	// maxFreshFacts is the maximum number of facts that are sent because they are new.
	maxFreshFacts = 32
	// maxRepairFacts is the maximum number of facts, sent in rotation, that are added
	// when the digests differ.
	maxRepairFacts = 16
	// maxNames is the maximum number of IDs that a message requests, of full entries sent
	// in response, and of hosts added because they have just left.
	maxNames = 64
)

// Message is the request and the response of Membership.Exchange.
type Message struct {
	// From is the sender's full entry. It is set in messages with names and by a
	// gateway that has left.
	From Host
	// Sender is the sender's host ID, and Revision its catalogue revision.
	Sender   uint32
	Revision int64
	// Beats contains pairs of host ID and heartbeat, see appendBeat.
	Beats []byte
	// Local contains the heartbeats of the sender's data centre without IDs, see
	// localBeats.
	Local []byte
	// Plain requests the heartbeats in Local again with IDs, because the two gateways
	// know different hosts.
	Plain bool
	Rows  summaryRows
	Facts []Fact
	// Digest is a hash of all facts of the sender.
	Digest uint64
	// Hosts and Groups are full entries: those that the peer requested, and hosts that
	// have just left.
	Hosts  []Host
	Groups []schedule.GroupKey
	// Want lists the IDs of hosts and groups that the sender doesn't know.
	Want []uint32
	// ConfirmedRevision and ConfirmedAgeMS are set in responses: at most ConfirmedAgeMS
	// ago, the head of the catalogue was at most ConfirmedRevision. An age of 0 means
	// that nothing is confirmed.
	ConfirmedRevision int64
	ConfirmedAgeMS    uint32
	// NamesOnly marks a follow-up message that only requests or sends full entries.
	NamesOnly bool
}

// beatSize is the size in bytes of a pair in Beats.
const beatSize = 6

// appendBeat appends a host ID (4 bytes) and the low 2 bytes of its heartbeat.
func appendBeat(b []byte, id uint32, heartbeat uint64) []byte {
	b = binary.LittleEndian.AppendUint32(b, id)
	return binary.LittleEndian.AppendUint16(b, uint16(heartbeat))
}

// readBeats calls f for each pair in b. It ignores an incomplete pair at the end.
func readBeats(b []byte, f func(id uint32, low uint16)) {
	for ; len(b) >= beatSize; b = b[beatSize:] {
		f(binary.LittleEndian.Uint32(b), binary.LittleEndian.Uint16(b[4:]))
	}
}

// expandHeartbeat returns the heartbeat closest to a known one whose low 2 bytes are
// low. This is unambiguous for up to 9 hours of heartbeats, and hosts without a new
// heartbeat are removed after 5 minutes.
func expandHeartbeat(known uint64, low uint16) uint64 {
	difference := int64(int16(low - uint16(known)))
	return uint64(max(0, int64(known)+difference))
}
