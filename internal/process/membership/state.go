package membership

import (
	"encoding/binary"
	"time"

	"persimmonwing/internal/process/schedule"
)

// state is the data that gossip replicates, with the positions of its rotations over
// the local and remote heartbeats.
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

// newRequest returns the first message of an exchange. For a peer of this data centre
// it contains the heartbeats of the data centre without IDs.
func (s *state) newRequest(now time.Time, localPeer bool) Message {
	m := s.newMessage(now, nil)
	local, remote := s.aliveHosts(now)
	if localPeer && len(s.table.getIndex().local) <= maxPositionalBeats {
		m.Local = s.localBeats(now)
	} else {
		m.Beats = s.localBeatsWithIDs(local, nil)
	}
	m.Beats = s.appendBeats(m.Beats, remote, maxRemoteBeats, &s.nextRemote, nil)
	return m
}

// newMessage returns a message without heartbeats. request is the message to which it
// responds, or nil.
func (s *state) newMessage(now time.Time, request *Message) Message {
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
	m.Hosts = s.recentlyLeft(now)
	return m
}

// localBeatsWithIDs returns the heartbeats of this gateway and of other hosts of its data
// centre with IDs. It omits hosts whose heartbeat the peer has according to peerHas.
func (s *state) localBeatsWithIDs(local []knownHost, peerHas map[uint32]uint64) []byte {
	b := appendBeat(nil, s.table.self.ID(), s.table.self.Heartbeat)
	return s.appendBeats(b, local, maxLocalBeats, &s.nextLocal, peerHas)
}

// localBeats returns a hash (4 bytes) of the IDs of all known hosts of this data centre,
// followed by the low 2 bytes of each host's heartbeat in the order of the IDs. The
// heartbeat of a host that isn't alive is 0. With IDs the heartbeats would take three
// times as much space.
func (s *state) localBeats(now time.Time) []byte {
	x := s.table.getIndex()
	b := binary.LittleEndian.AppendUint32(nil, x.localHash)
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

// readLocalBeats decodes the result of localBeats and calls f for each heartbeat. It
// returns false if the sender knows a different set of hosts of the data centre, because
// the positions then don't match.
func (s *state) readLocalBeats(b []byte, f func(name string, low uint16)) bool {
	if len(b) == 0 {
		return true
	}
	x := s.table.getIndex()
	if len(b) != 4+2*len(x.local) || binary.LittleEndian.Uint32(b) != x.localHash {
		return false
	}
	for i, name := range x.local {
		if low := binary.LittleEndian.Uint16(b[4+2*i:]); low != 0 {
			f(name, low)
		}
	}
	return true
}

// readHeartbeats calls f for each heartbeat in m whose host is known, except this
// gateway's own, and calls unknown with the ID of each heartbeat whose host is not known.
// It returns false if Local cannot be decoded.
func (s *state) readHeartbeats(m *Message, f func(k knownHost, low uint16), unknown func(id uint32)) bool {
	byName := func(name string, low uint16) {
		if name != s.table.self.Name {
			f(s.table.hosts[name], low)
		}
	}
	ids := s.table.getIndex().byID
	readBeats(m.Beats, func(id uint32, low uint16) {
		if name, ok := ids[id]; ok {
			byName(name, low)
		} else {
			unknown(id)
		}
	})
	return s.readLocalBeats(m.Local, byName)
}

// aliveHosts returns the hosts whose processes run, those of this data centre and those
// of other data centres, each sorted by name.
func (s *state) aliveHosts(now time.Time) (local, remote []knownHost) {
	return s.filterHosts(func(k knownHost) bool { return s.table.alive(now, k) })
}

// liveHosts returns the hosts of aliveHosts that have not left.
func (s *state) liveHosts(now time.Time) (local, remote []knownHost) {
	return s.filterHosts(func(k knownHost) bool { return s.table.alive(now, k) && !k.Left })
}

func (s *state) filterHosts(keep func(knownHost) bool) (local, remote []knownHost) {
	for _, name := range s.table.getIndex().names {
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

func (s *state) appendBeats(b []byte, hosts []knownHost, limit int, next *int, peerHas map[uint32]uint64) []byte {
	for range min(limit, len(hosts)) {
		*next = (*next + 1) % len(hosts)
		h := hosts[*next]
		if peerHas[h.id] < h.Heartbeat {
			b = appendBeat(b, h.id, h.Heartbeat)
		}
	}
	return b
}

// recentlyLeft returns up to maxNames hosts whose departure became known within
// freshFor.
func (s *state) recentlyLeft(now time.Time) []Host {
	var out []Host
	for _, k := range s.table.hosts {
		if k.Left && now.Sub(k.seen) <= freshFor && len(out) < maxNames {
			out = append(out, k.Host)
		}
	}
	return out
}

// apply merges a message into the state. It returns the IDs whose names are unknown, and
// false if Local cannot be decoded.
func (s *state) apply(now time.Time, m *Message) (want []uint32, readable bool) {
	sender := s.sender(now, m)
	if sender.Name == "" {
		want = append(want, m.Sender)
	}
	for _, h := range m.Hosts {
		s.mergeRelayed(now, sender, h)
	}
	for _, k := range m.Groups {
		s.summaries.groups[groupID(k)] = k
	}
	for _, f := range m.Facts {
		s.facts.Merge(now, f)
	}
	readable = s.readHeartbeats(m, func(k knownHost, low uint16) {
		h := k.Host
		h.Heartbeat = expandHeartbeat(h.Heartbeat, low)
		s.mergeRelayed(now, sender, h)
	}, func(id uint32) {
		if id != m.Sender {
			want = append(want, id)
		}
	})
	owners := s.table.getIndex().byName
	for _, r := range m.Rows {
		want = append(want, s.mergeRow(now, r, owners)...)
	}
	return want[:min(len(want), maxNames)], readable
}

// sender merges and returns the sender's entry. The entry is empty if the sender is
// unknown.
func (s *state) sender(now time.Time, m *Message) Host {
	if m.From.Name != "" {
		s.table.Merge(now, m.From)
		return m.From
	}
	h := s.table.hosts[s.table.getIndex().byID[m.Sender]].Host
	if h.Name != "" && m.Revision > h.CatalogueRevision {
		h.CatalogueRevision = m.Revision
		s.table.Merge(now, h)
	}
	return h
}

// mergeRelayed merges an entry relayed by sender. It ignores heartbeats of hosts of this
// data centre that another data centre relays: they arrive up to 2 s late, so a frozen
// host would count as live that much longer.
func (s *state) mergeRelayed(now time.Time, sender, h Host) {
	own := s.table.self.DataCentre
	known, ok := s.table.hosts[h.Name]
	onlyHeartbeat := ok && h.Incarnation == known.Incarnation && !h.Left
	if sender.DataCentre != own && h.DataCentre == own && onlyHeartbeat {
		return
	}
	s.table.Merge(now, h)
}

func (s *state) mergeRow(now time.Time, r summaryRow, owners map[uint32]string) (want []uint32) {
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

// names returns a message with the full entries of the IDs that a peer requested.
func (s *state) names(want []uint32) Message {
	m := Message{From: s.table.self, NamesOnly: true, Digest: s.facts.digest}
	ids := s.table.getIndex().byID
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

// response applies a request and returns the response to it, which contains only
// heartbeats that are newer than those in the request.
func (s *state) response(now time.Time, m *Message) Message {
	want, readable := s.apply(now, m)
	if m.NamesOnly {
		out := s.names(m.Want)
		out.Want = want
		return out
	}
	out := s.newMessage(now, m)
	peerHas := map[uint32]uint64{}
	s.readHeartbeats(m, func(k knownHost, low uint16) { peerHas[k.id] = expandHeartbeat(k.Heartbeat, low) }, func(uint32) {})
	local, remote := s.aliveHosts(now)
	out.Beats = s.localBeatsWithIDs(local, peerHas)
	out.Beats = s.appendBeats(out.Beats, remote, maxRemoteBeats, &s.nextRemote, peerHas)
	out.Want, out.Plain = want, !readable
	return out
}

// followUp applies a response and returns the message that continues the exchange, and
// whether it has to be sent.
func (s *state) followUp(now time.Time, response *Message) (Message, bool) {
	want, _ := s.apply(now, response)
	m := s.names(response.Want)
	m.Want = want
	if response.Plain {
		local, _ := s.aliveHosts(now)
		m.Beats = s.localBeatsWithIDs(local, nil)
	}
	return m, len(want)+len(response.Want) > 0 || response.Plain
}
