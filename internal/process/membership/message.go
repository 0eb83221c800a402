package membership

import (
	"encoding/binary"
	"time"

	"persimmonwing/internal/process/schedule"
)

// The bounds of one message. With them a message stays under 1.5 KB at 50
// gateways in each of 8 data centres when nothing changes.
const (
	// maxLocalBeats bounds the heartbeats of the own data centre; above it they
	// are sent in turn.
	maxLocalBeats = 64
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
	From Host
	// Beats holds (id, heartbeat) pairs, see appendBeat.
	Beats []byte
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
	// NamesOnly marks a follow-up that only asks for names or sends them.
	NamesOnly bool
}

// appendBeat appends 4 bytes of id and the heartbeat as a varint.
func appendBeat(b []byte, id uint32, heartbeat uint64) []byte {
	b = binary.LittleEndian.AppendUint32(b, id)
	return binary.AppendUvarint(b, heartbeat)
}

// readBeats calls f for each pair; malformed trailing bytes are ignored.
func readBeats(b []byte, f func(id uint32, heartbeat uint64)) {
	for len(b) > 4 {
		id := binary.LittleEndian.Uint32(b)
		heartbeat, n := binary.Uvarint(b[4:])
		if n <= 0 {
			return
		}
		f(id, heartbeat)
		b = b[4+n:]
	}
}

// state is what gossip replicates.
type state struct {
	table      *Table
	facts      *Facts
	summaries  *summaries
	nextLocal  int
	nextRemote int
}

func newState(self Host) *state {
	return &state{table: NewTable(self), facts: newFacts(), summaries: newSummaries()}
}

// compose makes a message for a peer. request is the message to which it
// answers, or nil.
func (s *state) compose(now time.Time, request *Message) Message {
	m := Message{From: s.table.self, Digest: s.facts.digest}
	peerBeats, peerRows := map[uint32]uint64{}, map[uint32]int64{}
	if request != nil {
		readBeats(request.Beats, func(id uint32, h uint64) { peerBeats[id] = h })
		for _, r := range request.Rows {
			peerRows[r.Group] = r.Version
		}
	}
	local, remote := s.beating(now)
	m.Beats = s.beats(m.Beats, local, maxLocalBeats, &s.nextLocal, peerBeats)
	m.Beats = s.beats(m.Beats, remote, maxRemoteBeats, &s.nextRemote, peerBeats)
	m.Rows = s.summaries.rows(now, s.table.self.DataCentre, maxRemoteRows, peerRows)
	m.Facts = s.facts.fresh(now, maxFreshFacts)
	if request != nil && request.Digest != s.facts.digest {
		m.Facts = append(m.Facts, s.facts.rotate(maxRepairFacts)...)
	}
	m.Hosts = s.justLeft(now)
	return m
}

// beating returns the hosts whose processes run, of the own and of other data
// centres, sorted by name.
func (s *state) beating(now time.Time) (local, remote []known) {
	return s.split(func(k known) bool { return s.table.alive(now, k) })
}

// usable returns those of beating that have not left.
func (s *state) usable(now time.Time) (local, remote []known) {
	return s.split(func(k known) bool { return s.table.alive(now, k) && !k.Left })
}

func (s *state) split(keep func(known) bool) (local, remote []known) {
	for _, name := range s.table.look().names {
		k := s.table.hosts[name]
		if !keep(k) {
			continue
		}
		if k.DataCentre == s.table.self.DataCentre {
			local = append(local, k)
		} else {
			remote = append(remote, k)
		}
	}
	return local, remote
}

func (s *state) beats(b []byte, hosts []known, limit int, next *int, peerHas map[uint32]uint64) []byte {
	for range min(limit, len(hosts)) {
		*next = (*next + 1) % len(hosts)
		h := hosts[*next]
		if peerHas[h.id] < h.Heartbeat {
			b = appendBeat(b, h.id, h.Heartbeat)
		}
	}
	return b
}

// justLeft returns hosts whose end is news.
func (s *state) justLeft(now time.Time) []Host {
	var out []Host
	for _, k := range s.table.hosts {
		if k.Left && now.Sub(k.seen) <= freshFor && len(out) < maxNames {
			out = append(out, k.Host)
		}
	}
	return out
}

// absorb takes over a message and returns the ids whose names are unknown.
func (s *state) absorb(now time.Time, m *Message) []uint32 {
	s.table.Merge(now, m.From)
	for _, h := range m.Hosts {
		s.mergeFrom(now, m.From, h)
	}
	for _, k := range m.Groups {
		s.summaries.groups[groupID(k)] = k
	}
	for _, f := range m.Facts {
		s.facts.Merge(now, f)
	}
	x := s.table.look()
	var want []uint32
	readBeats(m.Beats, func(id uint32, heartbeat uint64) {
		name, ok := x.byID[id]
		if name == s.table.self.Name {
			return
		}
		if !ok {
			want = append(want, id)
			return
		}
		h := s.table.hosts[name].Host
		h.Heartbeat = heartbeat
		s.mergeFrom(now, m.From, h)
	})
	for _, r := range m.Rows {
		want = append(want, s.absorbRow(now, r, x.byName)...)
	}
	return want[:min(len(want), maxNames)]
}

// mergeFrom merges an entry that a sender passed on. A heartbeat of a host of
// the own data centre that returns from another one is ignored: the way back
// takes up to 2 s, by which a frozen host would count live for longer.
func (s *state) mergeFrom(now time.Time, sender, h Host) {
	own := s.table.self.DataCentre
	known, ok := s.table.hosts[h.Name]
	onlyHeartbeat := ok && h.Incarnation == known.Incarnation && !h.Left
	if sender.DataCentre != own && h.DataCentre == own && onlyHeartbeat {
		return
	}
	s.table.Merge(now, h)
}

func (s *state) absorbRow(now time.Time, r summaryRow, owners map[uint32]string) (want []uint32) {
	k, ok := s.summaries.groups[r.Group]
	if !ok {
		return []uint32{r.Group}
	}
	s.summaries.merge(schedule.Summary{
		Group: k, Owner: owners[r.Owner], Replicas: r.Replicas, FreeSlots: r.Free,
		QueuedUrgent: r.Urgent, QueuedBackground: r.Background,
		WaitUrgentMS: r.UrgentMS, WaitBackgroundMS: r.BackgroundWaitMS,
	}, r.Version, now.Add(-time.Duration(r.AgeMS)*time.Millisecond))
	return nil
}

// names returns a message with the full entries of ids that a peer asked for.
func (s *state) names(want []uint32) Message {
	m := Message{From: s.table.self, NamesOnly: true, Digest: s.facts.digest}
	ids := s.table.look().byID
	for _, id := range want[:min(len(want), maxNames)] {
		if k, ok := s.summaries.groups[id]; ok {
			m.Groups = append(m.Groups, k)
		}
		if name, ok := ids[id]; ok && name != s.table.self.Name {
			m.Hosts = append(m.Hosts, s.table.hosts[name].Host)
		}
	}
	return m
}

// answer absorbs a request and makes its answer.
func (s *state) answer(now time.Time, m *Message) Message {
	want := s.absorb(now, m)
	if m.NamesOnly {
		return s.names(m.Want)
	}
	out := s.compose(now, m)
	out.Want = want
	return out
}
