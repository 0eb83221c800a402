package membership

import (
	"slices"
	"sort"
	"time"
)

const (
	// suspectAfter is the time without a new heartbeat, two gossip periods, after which
	// a host of the same data centre is suspect.
	suspectAfter = 2 * time.Second
	// deadAfter is the time without a new heartbeat after which a host of the same data
	// centre is dead.
	deadAfter = 3 * time.Second
	// remoteDeadAfter is the same for hosts of other data centres. Each message contains
	// only some of their heartbeats, in rotation, so they arrive less often. Calls to a
	// dead host fail over before that time.
	remoteDeadAfter = 20 * time.Second
	// removeAfter is the time without a new heartbeat after which a host is removed and
	// no longer retried.
	removeAfter = 5 * time.Minute
)

// knownHost is a host with its ID and the local time at which its entry last became
// newer.
type knownHost struct {
	Host
	id   uint32
	seen time.Time
}

// Table contains this gateway's own entry and the other hosts that it knows. It is not
// safe for concurrent use.
type Table struct {
	self  Host
	hosts map[string]knownHost
	// index is nil after a change of names, addresses or incarnations; see getIndex.
	index *index
	// started lists the addresses of hosts that are new or have restarted since the
	// last call of popStarted.
	started []string
}

// NewTable returns a table that knows only this gateway.
func NewTable(self Host) *Table { return &Table{self: self, hosts: map[string]knownHost{}} }

// Self returns this gateway's own entry.
func (t *Table) Self() Host { return t.self }

// Beat increments this gateway's heartbeat and sets its catalogue revision.
func (t *Table) Beat(revision int64) {
	t.self.Heartbeat++
	t.SetRevision(revision)
}

// SetRevision sets this gateway's catalogue revision. A lower one is ignored.
func (t *Table) SetRevision(revision int64) {
	t.self.CatalogueRevision = max(t.self.CatalogueRevision, revision)
}

// Leave marks this gateway as left.
func (t *Table) Leave() { t.self.Left = true }

// Merge merges an entry into the table and reports whether the table changed.
func (t *Table) Merge(now time.Time, h Host) bool {
	if h.Name == t.self.Name {
		return t.mergeSelf(h)
	}
	old, ok := t.hosts[h.Name]
	if !ok {
		t.index = nil
		t.hosts[h.Name] = knownHost{h, h.ID(), now}
		t.started = append(t.started, h.PeerAddress)
		return true
	}
	next := knownHost{mergeHost(old.Host, h), old.id, old.seen}
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

// mergeSelf handles an entry with this gateway's name. If the entry has this gateway's
// address and supersedes its own entry, it stems from an earlier start whose clock was
// ahead; mergeSelf then raises this gateway's incarnation above it. An entry with
// another address belongs to a replacement of this gateway and is ignored.
func (t *Table) mergeSelf(h Host) bool {
	superseded := h.PeerAddress == t.self.PeerAddress && !t.self.Left &&
		(h.Incarnation > t.self.Incarnation || (h.Incarnation == t.self.Incarnation && h.Left))
	if superseded {
		t.self.Incarnation = h.Incarnation + 1
		t.index = nil
	}
	return superseded
}

// popStarted returns the addresses of hosts that are new or have restarted since the
// last call.
func (t *Table) popStarted() []string {
	out := t.started
	t.started = nil
	return out
}

// RemoveExpired removes hosts without a new heartbeat for 5 minutes.
func (t *Table) RemoveExpired(now time.Time) {
	for name, k := range t.hosts {
		if now.Sub(k.seen) > removeAfter {
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

func (t *Table) stateOf(now time.Time, k knownHost) State {
	switch {
	case k.Left:
		return Left
	case !t.alive(now, k):
		return Dead
	case now.Sub(k.seen) > t.deadTimeout(k)-deadAfter+suspectAfter:
		return Suspect
	}
	return Live
}

// deadTimeout returns the time without a new heartbeat after which a host is dead.
func (t *Table) deadTimeout(k knownHost) time.Duration {
	if k.DataCentre != t.self.DataCentre {
		return remoteDeadAfter
	}
	return deadAfter
}

// alive reports whether a host's process is presumed to run. This includes a host that
// has left and is still finishing its requests.
func (t *Table) alive(now time.Time, k knownHost) bool {
	return now.Sub(k.seen) <= t.deadTimeout(k) && !t.replaced(k.Host)
}

// replaced reports whether this gateway or a newer host uses the same address.
func (t *Table) replaced(h Host) bool {
	if t.self.PeerAddress == h.PeerAddress {
		return true
	}
	return t.getIndex().replaced[h.Name]
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
	for _, name := range t.getIndex().names {
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

// Usable reports whether the host is live or suspect. Suspect hosts are included so
// that one late heartbeat doesn't change the owner of a group.
func (s HostState) Usable() bool { return s.State == Live || s.State == Suspect }
