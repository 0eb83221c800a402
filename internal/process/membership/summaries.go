package membership

import (
	"sort"
	"strconv"
	"time"

	"persimmonwing/internal/process/schedule"
)

// summaryTTL is the age at which a summary is too old to be useful and is removed.
const summaryTTL = 5 * time.Second

// groupID returns a hash that identifies a group in compact messages.
func groupID(k schedule.GroupKey) uint32 {
	return hashID("group", k.DataCentre, k.Model, strconv.Itoa(k.Shard))
}

type knownSummary struct {
	schedule.Summary
	version int64
	madeAt  time.Time // by the local clock
}

// summaries contains the newest summary of each group.
type summaries struct {
	byGroup map[schedule.GroupKey]knownSummary
	groups  map[uint32]schedule.GroupKey
	next    int
}

func newSummaries() *summaries {
	return &summaries{byGroup: map[schedule.GroupKey]knownSummary{}, groups: map[uint32]schedule.GroupKey{}}
}

// state publishes a summary of this gateway with a higher version than the known one.
func (s *summaries) state(now time.Time, m schedule.Summary) {
	version := max(now.UnixMilli(), s.byGroup[m.Group].version+1)
	s.merge(m, version, now)
}

// merge stores a summary if its version is higher than the known one. Of two summaries
// with equal versions, the owner's name decides, so that all gateways agree.
func (s *summaries) merge(m schedule.Summary, version int64, madeAt time.Time) {
	old, ok := s.byGroup[m.Group]
	if ok && (old.version > version || (old.version == version && old.Owner >= m.Owner)) {
		return
	}
	s.groups[groupID(m.Group)] = m.Group
	s.byGroup[m.Group] = knownSummary{m, version, madeAt}
}

// removeExpired removes summaries older than summaryTTL. It keeps the group IDs.
func (s *summaries) removeExpired(now time.Time) {
	for k, m := range s.byGroup {
		if now.Sub(m.madeAt) > summaryTTL {
			delete(s.byGroup, k)
		}
	}
}

// list returns all unexpired summaries sorted by group.
func (s *summaries) list(now time.Time) []schedule.Summary {
	var out []schedule.Summary
	for _, k := range s.keys(func(m knownSummary) bool { return now.Sub(m.madeAt) <= summaryTTL }) {
		out = append(out, s.byGroup[k].Summary)
	}
	return out
}

func (s *summaries) keys(keep func(knownSummary) bool) []schedule.GroupKey {
	var out []schedule.GroupKey
	for k, m := range s.byGroup {
		if keep(m) {
			out = append(out, k)
		}
	}
	sort.Slice(out, func(i, j int) bool { return groupLess(out[i], out[j]) })
	return out
}

func groupLess(a, b schedule.GroupKey) bool {
	switch {
	case a.DataCentre != b.DataCentre:
		return a.DataCentre < b.DataCentre
	case a.Model != b.Model:
		return a.Model < b.Model
	}
	return a.Shard < b.Shard
}

// summaryRow is the compact form of a summary, with IDs instead of names. Peers request
// the names of IDs that they don't know.
type summaryRow struct {
	Group, Owner               uint32
	Version                    int64
	AgeMS                      uint32
	Replicas, Free             int
	Urgent, Background         int
	UrgentMS, BackgroundWaitMS int64
}

func (s *summaries) row(now time.Time, k schedule.GroupKey) summaryRow {
	m := s.byGroup[k]
	return summaryRow{
		Group: groupID(k), Owner: hashID(m.Owner), Version: m.version,
		AgeMS:    uint32(max(0, now.Sub(m.madeAt).Milliseconds())),
		Replicas: m.Replicas, Free: m.FreeSlots,
		Urgent: m.QueuedUrgent, Background: m.QueuedBackground,
		UrgentMS: m.WaitUrgentMS, BackgroundWaitMS: m.WaitBackgroundMS,
	}
}

// rows returns the unexpired summaries of the local data centre and up to limit of the
// other data centres, in rotation. It omits those that the peer has according to
// peerHas, which maps group IDs to versions.
func (s *summaries) rows(now time.Time, local string, limit int, peerHas map[uint32]int64) summaryRows {
	var out summaryRows
	add := func(k schedule.GroupKey) {
		if v, ok := peerHas[groupID(k)]; !ok || v < s.byGroup[k].version {
			out = append(out, s.row(now, k))
		}
	}
	fresh := func(m knownSummary) bool { return now.Sub(m.madeAt) <= summaryTTL }
	for _, k := range s.keys(func(m knownSummary) bool { return fresh(m) && m.Group.DataCentre == local }) {
		add(k)
	}
	others := s.keys(func(m knownSummary) bool { return fresh(m) && m.Group.DataCentre != local })
	for range min(limit, len(others)) {
		s.next = (s.next + 1) % len(others)
		add(others[s.next])
	}
	return out
}
