package membership

import (
	"encoding/binary"
	"time"

	"persimmonwing/internal/process/schedule"
)

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

// compose makes the first message of an exchange. A peer of the own data centre
// gets its heartbeats without ids.
func (s *state) compose(now time.Time, localPeer bool) Message {
	m := s.message(now, nil)
	local, remote := s.beating(now)
	if localPeer && len(s.table.look().local) <= maxPositions {
		m.Local = s.localBeats(now)
	} else {
		m.Beats = s.plainLocal(local, nil)
	}
	m.Beats = s.beats(m.Beats, remote, maxRemoteBeats, &s.nextRemote, nil)
	return m
}

// message makes a message without heartbeats. request is the one to which it
// answers, or nil.
func (s *state) message(now time.Time, request *Message) Message {
	self := s.table.self
	m := Message{Sender: self.ID(), Revision: self.CatalogueRevision, Digest: s.facts.digest}
	if self.Left {
		m.From = self
	}
	peerRows := map[uint32]int64{}
	if request != nil {
		for _, r := range request.Rows {
			peerRows[r.Group] = r.Version
		}
	}
	m.Rows = s.summaries.rows(now, self.DataCentre, maxRemoteRows, peerRows)
	m.Facts = s.facts.fresh(now, maxFreshFacts)
	if request != nil && request.Digest != s.facts.digest {
		m.Facts = append(m.Facts, s.facts.rotate(maxRepairFacts)...)
	}
	m.Hosts = s.justLeft(now)
	return m
}

// plainLocal returns the heartbeats of this gateway and its data centre with ids.
func (s *state) plainLocal(local []known, peerHas map[uint32]uint64) []byte {
	b := appendBeat(nil, s.table.self.ID(), s.table.self.Heartbeat)
	return s.beats(b, local, maxLocalBeats, &s.nextLocal, peerHas)
}

// localBeats returns 4 bytes that identify the known hosts of the own data centre
// and, in the order of their ids, the low 2 bytes of their heartbeats, or 0 of a
// host that is not heard. With ids they would take three times as much.
func (s *state) localBeats(now time.Time) []byte {
	x := s.table.look()
	b := binary.LittleEndian.AppendUint32(nil, x.localSet)
	for _, name := range x.local {
		heartbeat := uint64(0)
		if name == s.table.self.Name {
			heartbeat = s.table.self.Heartbeat
		} else if k := s.table.hosts[name]; s.table.alive(now, k) {
			heartbeat = k.Heartbeat
		}
		b = binary.LittleEndian.AppendUint16(b, uint16(heartbeat))
	}
	return b
}

// readLocal calls f for the heartbeats of localBeats. It reports false if the
// sender knows other hosts.
func (s *state) readLocal(b []byte, f func(name string, low uint16)) bool {
	if len(b) == 0 {
		return true
	}
	x := s.table.look()
	if len(b) != 4+2*len(x.local) || binary.LittleEndian.Uint32(b) != x.localSet {
		return false
	}
	for i, name := range x.local {
		if low := binary.LittleEndian.Uint16(b[4+2*i:]); low != 0 {
			f(name, low)
		}
	}
	return true
}

// read calls f for all heartbeats of known hosts, and unknown for other ids. It
// reports false if Local cannot be read.
func (s *state) read(m *Message, f func(k known, low uint16), unknown func(id uint32)) bool {
	byName := func(name string, low uint16) {
		if name != s.table.self.Name {
			f(s.table.hosts[name], low)
		}
	}
	ids := s.table.look().byID
	readBeats(m.Beats, func(id uint32, low uint16) {
		if name, ok := ids[id]; ok {
			byName(name, low)
		} else {
			unknown(id)
		}
	})
	return s.readLocal(m.Local, byName)
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

// absorb takes over a message. It returns the ids whose names are unknown, and
// false if Local cannot be read.
func (s *state) absorb(now time.Time, m *Message) (want []uint32, readable bool) {
	sender := s.sender(now, m)
	if sender.Name == "" {
		want = append(want, m.Sender)
	}
	for _, h := range m.Hosts {
		s.mergeFrom(now, sender, h)
	}
	for _, k := range m.Groups {
		s.summaries.groups[groupID(k)] = k
	}
	for _, f := range m.Facts {
		s.facts.Merge(now, f)
	}
	readable = s.read(m, func(k known, low uint16) {
		h := k.Host
		h.Heartbeat = expand(h.Heartbeat, low)
		s.mergeFrom(now, sender, h)
	}, func(id uint32) {
		if id != m.Sender {
			want = append(want, id)
		}
	})
	owners := s.table.look().byName
	for _, r := range m.Rows {
		want = append(want, s.absorbRow(now, r, owners)...)
	}
	return want[:min(len(want), maxNames)], readable
}

// sender returns the sender's entry, or an empty one if it is not known.
func (s *state) sender(now time.Time, m *Message) Host {
	if m.From.Name != "" {
		s.table.Merge(now, m.From)
		return m.From
	}
	h := s.table.hosts[s.table.look().byID[m.Sender]].Host
	if h.Name != "" && m.Revision > h.CatalogueRevision {
		h.CatalogueRevision = m.Revision
		s.table.Merge(now, h)
	}
	return h
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

// answer absorbs a request and makes its answer, with the heartbeats that are
// news to the peer.
func (s *state) answer(now time.Time, m *Message) Message {
	want, readable := s.absorb(now, m)
	if m.NamesOnly {
		out := s.names(m.Want)
		out.Want = want
		return out
	}
	out := s.message(now, m)
	peerHas := map[uint32]uint64{}
	s.read(m, func(k known, low uint16) { peerHas[k.id] = expand(k.Heartbeat, low) }, func(uint32) {})
	local, remote := s.beating(now)
	out.Beats = s.plainLocal(local, peerHas)
	out.Beats = s.beats(out.Beats, remote, maxRemoteBeats, &s.nextRemote, peerHas)
	out.Want, out.Plain = want, !readable
	return out
}

// follow absorbs an answer and returns the message that goes on with the
// exchange, and whether there is a need for it.
func (s *state) follow(now time.Time, answer *Message) (Message, bool) {
	want, _ := s.absorb(now, answer)
	m := s.names(answer.Want)
	m.Want = want
	if answer.Plain {
		local, _ := s.beating(now)
		m.Beats = s.plainLocal(local, nil)
	}
	return m, len(want)+len(answer.Want) > 0 || answer.Plain
}
