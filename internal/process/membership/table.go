package membership

import (
	"slices"
	"sort"
	"time"
)

const (
	// suspectAfter marks a host whose heartbeat is late by two periods.
	suspectAfter = 2 * time.Second
	// deadAfter is the time without a new heartbeat after which a host of the
	// same data centre no longer counts live.
	deadAfter = 3 * time.Second
	// remoteDeadAfter is deadAfter for other data centres. Their heartbeats come
	// in a rotating part of each message, so they arrive less often; a call to a
	// dead host fails over sooner than that.
	remoteDeadAfter = 20 * time.Second
	// forgetAfter is the time after which a dead host is no longer retried.
	forgetAfter = 5 * time.Minute
)

// known is a host with its id and the local time of its last news.
type known struct {
	Host
	id   uint32
	seen time.Time
}

// Table holds the hosts that a gateway knows. It is not safe for concurrent use.
type Table struct {
	self  Host
	hosts map[string]known
	// index is nil after a change of names, addresses or incarnations.
	index *index
	// started holds the addresses of hosts that are new or have started again since
	// the last call of takeStarted.
	started []string
}

// NewTable returns a table that knows only this gateway.
func NewTable(self Host) *Table { return &Table{self: self, hosts: map[string]known{}} }

// Self returns this gateway's own entry.
func (t *Table) Self() Host { return t.self }

// Beat advances this gateway's heartbeat.
func (t *Table) Beat(revision int64) {
	t.self.Heartbeat++
	t.SetRevision(revision)
}

// SetRevision tells this gateway's catalogue revision.
func (t *Table) SetRevision(revision int64) {
	t.self.CatalogueRevision = max(t.self.CatalogueRevision, revision)
}

// Leave marks this gateway as left.
func (t *Table) Leave() { t.self.Left = true }

// Merge joins an entry with the known one and reports whether it told news.
func (t *Table) Merge(now time.Time, h Host) bool {
	if h.Name == t.self.Name {
		return t.mergeSelf(h)
	}
	old, ok := t.hosts[h.Name]
	if !ok {
		t.index = nil
		t.hosts[h.Name] = known{h, h.ID(), now}
		t.started = append(t.started, h.PeerAddress)
		return true
	}
	next := known{join(old.Host, h), old.id, old.seen}
	if h.newer(old.Host) {
		next.seen = now
	}
	if next.Incarnation != old.Incarnation || next.PeerAddress != old.PeerAddress || next.DataCentre != old.DataCentre {
		t.index = nil
		next.id = next.ID()
		t.started = append(t.started, next.PeerAddress)
	}
	t.hosts[h.Name] = next
	return next.Host != old.Host
}

// mergeSelf outbids an entry with this gateway's name and address that stems
// from an earlier start whose clock was ahead. An entry with another address is
// a replacement of this gateway and is left alone.
func (t *Table) mergeSelf(h Host) bool {
	outbid := h.PeerAddress == t.self.PeerAddress && !t.self.Left &&
		(h.Incarnation > t.self.Incarnation || (h.Incarnation == t.self.Incarnation && h.Left))
	if outbid {
		t.self.Incarnation = h.Incarnation + 1
		t.index = nil
	}
	return outbid
}

// takeStarted returns the addresses of hosts that have started since the last call.
func (t *Table) takeStarted() []string {
	out := t.started
	t.started = nil
	return out
}

// Forget drops hosts without news for 5 minutes.
func (t *Table) Forget(now time.Time) {
	for name, k := range t.hosts {
		if now.Sub(k.seen) > forgetAfter {
			delete(t.hosts, name)
			t.index = nil
		}
	}
}

// State returns the state of a host; an unknown host is dead.
func (t *Table) State(now time.Time, name string) State {
	if name == t.self.Name {
		return t.selfState()
	}
	k, ok := t.hosts[name]
	if !ok {
		return Dead
	}
	return t.stateOf(now, k)
}

func (t *Table) selfState() State {
	if t.self.Left {
		return Left
	}
	return Live
}

func (t *Table) stateOf(now time.Time, k known) State {
	switch {
	case k.Left:
		return Left
	case !t.alive(now, k):
		return Dead
	case now.Sub(k.seen) > t.limit(k)-deadAfter+suspectAfter:
		return Suspect
	}
	return Live
}

// limit returns the time without a heartbeat after which a host is dead.
func (t *Table) limit(k known) time.Duration {
	if k.DataCentre != t.self.DataCentre {
		return remoteDeadAfter
	}
	return deadAfter
}

// alive reports whether a host's process still runs. One that has left may, to
// finish its requests.
func (t *Table) alive(now time.Time, k known) bool {
	return now.Sub(k.seen) <= t.limit(k) && !t.replaced(k.Host)
}

// replaced reports whether a newer host uses the same address.
func (t *Table) replaced(h Host) bool {
	if t.self.PeerAddress == h.PeerAddress {
		return true
	}
	return t.look().atAddress[h.PeerAddress] != h.Name
}

func supersedes(a, b Host) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Name > b.Name
}

// Hosts returns all known hosts with their states, this gateway included,
// sorted by name.
func (t *Table) Hosts(now time.Time) []HostState {
	out := make([]HostState, 0, len(t.hosts)+1)
	for _, name := range t.look().names {
		k := t.hosts[name]
		out = append(out, HostState{k.Host, t.stateOf(now, k)})
	}
	self := HostState{t.self, t.selfState()}
	i := sort.Search(len(out), func(i int) bool { return out[i].Name > self.Name })
	return slices.Insert(out, i, self)
}

// HostState is a host with its state.
type HostState struct {
	Host
	State State
}

// Usable reports whether the host counts live. A suspect does, so that one late
// heartbeat moves no group.
func (s HostState) Usable() bool { return s.State == Live || s.State == Suspect }
