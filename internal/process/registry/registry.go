// Package registry tracks the backend servers that this gateway knows. It combines the
// platform's server list with what the servers report and what the gateway observes on
// its connections to them.
package registry

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"persimmonwing/internal/process/evacuation"
	"persimmonwing/internal/process/membership"
)

const (
	// recoveryGrace is how long entries that disappeared during an outage of the list
	// stay valid after the list is available again. Entries expire during an outage,
	// and running servers rewrite theirs within two seconds.
	recoveryGrace = 2500 * time.Millisecond
	// unreachableExclusion is how long a server gets no new work after it refused a
	// connection.
	unreachableExclusion = 500 * time.Millisecond
	// minBrokenExclusion and maxBrokenExclusion bound how long an engine gets no new
	// work from this gateway after it closed a request's connection before responding.
	// Such an engine may keep sending reports, and looks idle because nothing runs on
	// it. Without the exclusion 53 generations were lost in a day, 32 with 1 to 4 s and
	// 21 with 3 to 6 s.
	minBrokenExclusion = 3 * time.Second
	maxBrokenExclusion = 6 * time.Second
	// overwrittenGrace is how long a server whose entry was overwritten by an older one may stay unconfirmed. Running
	// servers write their next entry within two seconds.
	overwrittenGrace = 2500 * time.Millisecond
	// shortUptime is the uptime below which a crash counts as part of the same crash
	// loop, and crashLoopThreshold is the minimum number of consecutive crashes for a
	// restarted server to get no new work for maxBrokenExclusion. Servers in a crash loop
	// restart every 1 to 2 s; 42 of 104 plan requests that failed in a day were lost on
	// servers that had restarted empty and crashed again.
	shortUptime        = 10 * time.Second
	crashLoopThreshold = 2
	// removedRetention is how long the record of a removed server is kept.
	removedRetention = 30 * time.Second
)

// Server is a backend server as described by its entry in the platform's list.
type Server struct {
	Name       string
	Address    string
	DataCentre string
	Service    string
	// Version is the version of the server's software. What two versions write does not fit together: a stream may go on only at
	// the version that began it. There is no order among versions.
	Version string
	// Models is set for engines only.
	Models []string
	Slots  int
	// Leaving is set once the server accepts no new work.
	Leaving bool
	// StartedMS is the start of this incarnation in Unix milliseconds, or 0 if unknown.
	StartedMS int64
	// Cold is how much longer the server is cold as its entry says, and Entry the number of the entry, which
	// increases within an incarnation and begins anew with the next one. HasCold is set if the entry says it.
	Cold    time.Duration
	HasCold bool
	Entry   int64
	// Revision is the list's revision when the entry was written, and Reader the gateway from whose copy of the list it
	// was read, or "" for the list itself.
	Revision int64
	Reader   string
}

// record is a server's list entry plus the state that this gateway keeps for it.
type record struct {
	Server
	// removed is set when the list no longer contains the entry.
	removed   bool
	removedAt time.Time
	// removalLost is set if the list's store has come back from an older copy since.
	removalLost bool
	// removalPending is set while a missing entry may still be rewritten after an
	// outage of the list. overwritten is set while the list has an older entry than the known one, until
	// overwrittenUntil at most. confirmed is set once the server has answered since that it serves.
	removalPending, overwritten, confirmed bool
	overwrittenUntil                       time.Time
	// replaced is set when another server responds at the address.
	replaced bool
	// draining is set when the server itself reports that it drains, and drainingOf is the
	// start of the incarnation to which that applies. excludedUntil is the time until which
	// the server gets no new work after a failure.
	draining      bool
	drainingOf    int64
	excludedUntil time.Time
	// stated is set when a response's header stated that the server leaves.
	stated   bool
	statedAt time.Time
	pause    requestPause
	// retained is set if an earlier incarnation left or paused by its own statement: an old
	// entry of it may be listed again.
	retained bool
	// brokenLinks counts consecutive requests whose connection the server closed before
	// responding, and brokenUntil is the end of the exclusion for the last of them.
	brokenLinks int
	brokenUntil time.Time
	// evacuated is set while the data centre is evacuated.
	evacuated bool
	// crashes counts the crashes before this start, as long as the uptime between two
	// of them was below shortUptime.
	crashes int
	cold    coldState
}

// crashesBefore returns the value of crashes for the server's next incarnation. An
// incarnation that announced its end does not count as a crash.
func (r *record) crashesBefore(next Server) int {
	switch {
	case r == nil || r.isLeaving() || r.StartedMS == 0 || next.StartedMS <= r.StartedMS:
		return 0
	case next.StartedMS-r.StartedMS >= shortUptime.Milliseconds():
		return 1
	}
	return r.crashes + 1
}

// supersedes reports whether the record's entry, which may have been removed since, is later than s. The store may
// write an entry seconds after its server has sent it, when later ones of that server are already there. Without
// a start, the numbers of two incarnations can't be told apart.
func (r *record) supersedes(s Server) bool {
	return s.StartedMS < r.StartedMS || s.StartedMS == r.StartedMS && s.StartedMS != 0 && s.Entry < r.Entry
}

// removedAfter reports whether s is listed only because the store has lost the removal of it: nothing shows that its server has
// written since.
func (r *record) removedAfter(s Server) bool {
	return r.removed && r.removalLost && s.StartedMS != 0 && s.StartedMS == r.StartedMS && s.Entry <= r.Entry
}

func (r *record) isLeaving() bool { return r.Leaving || r.removed || r.replaced || r.draining }

// Registry holds the known backend servers. It is safe for concurrent use.
type Registry struct {
	// onChange is called when the set of servers that accept new work may have changed,
	// and onLeaving when a server has begun to leave. Both are called without locks held
	// and must not block.
	onChange  func()
	onLeaving func(name string)
	// onState is set by ObserveStates, and onLapsed by ObserveLapses.
	onState  func(StateChange)
	onLapsed func(Server)
	now      func() time.Time

	mu         sync.Mutex
	servers    map[string]*record
	evacuated  evacuation.Set
	graceUntil time.Time
	synced     bool
	// timed holds the names of the servers with a state that time ends, or that is looked at as long as it lasts.
	timed map[string]bool
	index index
	// engineSet changes whenever the set of engines changes.
	engineSet uint64
	// changes holds the changes of state that onState has not been called for, and lapsed the
	// servers that onLapsed has not been called for.
	changes []StateChange
	lapsed  []Server
	// pauses is the number of the last pause.
	pauses uint64
	// coldRights and coldAfterStart are set by BoundCold.
	coldRights     func(service string) int
	coldAfterStart func(service string) time.Duration
}

// New returns an empty registry that calls onChange and onLeaving as described at their
// fields.
func New(onChange func(), onLeaving func(name string)) *Registry {
	return &Registry{onChange: onChange, onLeaving: onLeaving, now: time.Now, servers: map[string]*record{}, timed: map[string]bool{}, index: newIndex()}
}

// Synced reports whether the list has been read at least once.
func (g *Registry) Synced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.synced
}

// ListRecovered reports that the list has been readable again since at, after an outage.
// It may be called late, and more than once for the same outage.
func (g *Registry) ListRecovered(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if until := at.Add(recoveryGrace); g.synced && until.After(g.graceUntil) {
		g.graceUntil = until
	}
}

// ListReturned reports that the list is now in a store that has come back from an older copy. Entries that were removed since
// that copy may be in it again.
func (g *Registry) ListReturned() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.servers {
		r.removalLost = r.removed
	}
}

// Sync replaces the whole list with servers.
func (g *Registry) Sync(now time.Time, servers []Server) {
	listed := make(map[string]bool, len(servers))
	var leaving []string
	g.mu.Lock()
	g.synced = true
	for _, s := range servers {
		listed[s.Name] = true
		if r := g.servers[s.Name]; r == nil || !r.removedAfter(s) {
			leaving = g.put(s, leaving)
		}
	}
	for name := range g.servers {
		if !listed[name] {
			leaving = g.drop(now, name, leaving)
		}
	}
	g.mu.Unlock()
	g.notify(leaving)
}

// Put adds or updates one entry of the list.
func (g *Registry) Put(s Server) { g.Change(time.Time{}, []Server{s}, nil) }

// Remove records that the list no longer contains an entry.
func (g *Registry) Remove(now time.Time, name string) { g.Change(now, nil, []string{name}) }

// Change adds or updates some entries of the list and removes others. onChange is called once for all of
// them: it takes time in proportion to the engines, and thousands of servers start at the same time.
func (g *Registry) Change(now time.Time, put []Server, remove []string) {
	var leaving []string
	g.mu.Lock()
	for _, s := range put {
		leaving = g.put(s, leaving)
	}
	for _, name := range remove {
		leaving = g.drop(now, name, leaving)
	}
	g.mu.Unlock()
	g.notify(leaving)
}

// put stores an entry. Like drop, it returns leaving with the server's name appended if
// the server has begun to leave. The caller holds the lock.
func (g *Registry) put(s Server, leaving []string) []string {
	r := g.servers[s.Name]
	if r != nil && r.supersedes(s) {
		g.noteOverwritten(r)
		return leaving
	}
	wasEngine := r != nil && r.isEngine()
	if r != nil {
		g.index.remove(r)
	}
	if r == nil || s.StartedMS > r.StartedMS || s.Address != r.Address {
		next := &record{crashes: r.crashesBefore(s)}
		if next.crashes >= crashLoopThreshold {
			next.excludedUntil = g.now().Add(maxBrokenExclusion)
		}
		if !next.inherit(r, s) && r != nil {
			g.endStatements(g.now(), r, "restart")
		}
		r = next
		g.servers[s.Name] = r
	}
	before := r.isLeaving()
	r.Server, r.evacuated = s, g.evacuated.Contains(s.DataCentre)
	g.noteListedCold(r)
	r.removed, r.removalLost, r.removalPending, r.overwritten, r.confirmed = false, false, false, false, false
	g.index.add(r)
	if r.isEngine() != wasEngine {
		g.engineSet++
	}
	g.noteTimed(r)
	if !before && r.isLeaving() {
		leaving = append(leaving, s.Name)
	}
	return leaving
}

// noteOverwritten records that an older entry of a server was written over the known one. Later ones may have been
// overwritten as well, before this process read them, so that only the server itself can tell whether it still serves. A
// cold server is not asked: all gateways would do so at the same time, and it may end under that. The caller holds the lock.
func (g *Registry) noteOverwritten(r *record) {
	if r.isLeaving() || r.removalPending {
		return
	}
	now := g.now()
	if !r.unconfirmed() && r.cold.remaining(now) == 0 {
		g.lapsed = append(g.lapsed, r.Server)
	}
	g.changeEntry(r, func() { r.overwritten, r.overwrittenUntil, r.confirmed = true, now.Add(overwrittenGrace), false })
}

func (g *Registry) drop(now time.Time, name string, leaving []string) []string {
	r := g.servers[name]
	switch {
	case r == nil || r.removed:
		return leaving
	case now.Before(g.graceUntil):
		if r.removalPending {
			return leaving
		}
		if !r.isLeaving() {
			g.lapsed = append(g.lapsed, r.Server)
		}
		g.changeEntry(r, func() { r.removalPending, r.overwritten, r.confirmed = true, false, false })
		return leaving
	}
	before := r.isLeaving()
	g.changeEntry(r, func() { r.remove(now) })
	if !before {
		leaving = append(leaving, name)
	}
	return leaving
}

func (g *Registry) notify(leaving []string) {
	// What the registry is told at once about these servers belongs to the same change.
	g.reportLapses()
	for _, name := range leaving {
		g.onLeaving(name)
	}
	g.onChange()
	g.reportChanges()
}

// remove records that the server's entry was removed.
func (r *record) remove(now time.Time) {
	r.removed, r.removedAt, r.removalPending, r.overwritten, r.confirmed = true, now, false, false, false
}

// ObserveLapses sets a function that is called for each server whose entry is missing after an
// outage of the list, or was overwritten by an older one. Such a server may have left: only the server
// itself can tell. The function must not block. It must be set before the registry is used.
func (g *Registry) ObserveLapses(f func(Server)) { g.onLapsed = f }

// reportLapses calls onLapsed for the servers collected. The caller holds no lock.
func (g *Registry) reportLapses() {
	g.mu.Lock()
	lapsed := g.lapsed
	g.lapsed = nil
	g.mu.Unlock()
	if g.onLapsed != nil {
		for _, s := range lapsed {
			g.onLapsed(s)
		}
	}
}

// Lapsed reports whether the entry of this incarnation of a server is missing after an outage of the
// list, or was overwritten by an older one, and the server has not been confirmed.
func (g *Registry) Lapsed(s Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.servers[s.Name]
	return r != nil && r.StartedMS == s.StartedMS && r.unconfirmed()
}

// NoteServing records that a server whose entry is missing or was overwritten has answered that it serves.
func (g *Registry) NoteServing(s Server) {
	g.update(s.Name, func(r *record) { r.confirmed = r.confirmed || r.StartedMS == s.StartedMS && r.unconfirmed() })
}

// NoteEnded records that a server whose entry is missing has ended.
func (g *Registry) NoteEnded(now time.Time, s Server) {
	g.update(s.Name, func(r *record) {
		if r.StartedMS == s.StartedMS && r.removalPending {
			g.changeEntry(r, func() { r.remove(now) })
		}
	})
}

// unconfirmed reports whether nothing but an earlier entry tells that the server serves.
func (r *record) unconfirmed() bool {
	return (r.removalPending || r.overwritten) && !r.confirmed && !r.isLeaving()
}

// Tick does the periodic work: it drops entries that were not rewritten after an outage, ends the doubt about entries that
// were overwritten overwrittenGrace ago, and deletes the records of servers removed more than removedRetention ago.
// It also notices pauses that have ended.
func (g *Registry) Tick(now time.Time) {
	var leaving []string
	changed := false
	g.mu.Lock()
	for name := range g.timed {
		r := g.servers[name]
		changed = r.pause.noticeEnd(now) || changed
		changed = g.noticeColdEnd(now, r) || changed
		if r.removalPending && !now.Before(g.graceUntil) {
			leaving = g.drop(now, name, leaving)
		}
		if r.overwritten && !now.Before(r.overwrittenUntil) {
			changed = changed || r.unconfirmed()
			g.changeEntry(r, func() { r.overwritten, r.confirmed = false, false })
		}
		retention := removedRetention
		if r.draining || r.retained || r.pause.remaining(now) > 0 {
			retention = statementRetention
		}
		if r.removed && now.Sub(r.removedAt) > retention {
			g.endStatements(now, r, "removed")
			delete(g.servers, name)
		}
		if g.servers[name] == nil || !r.timed(now) {
			delete(g.timed, name)
		}
	}
	g.mu.Unlock()
	if changed || len(leaving) > 0 {
		g.notify(leaving)
	}
	g.reportChanges()
}

// timed reports whether the record has a state that Tick, Broken or ColdServers looks at.
//
// Load pattern: a host has thousands of servers in its list, and few of them pause, are cold or end at a time.
func (r *record) timed(now time.Time) bool {
	return r.removed || r.removalPending || r.overwritten || !r.pause.began.IsZero() && !r.pause.elapsed || r.brokenUntil.After(now) ||
		!r.cold.began.IsZero() || !r.cold.deniedUntil.IsZero() || r.cold.remaining(now) > 0
}

// noteTimed keeps a record with such a state until Tick finds that it has ended. Callers pass times of
// different clocks, so no state counts as ended here. The caller holds the lock.
func (g *Registry) noteTimed(r *record) {
	if r.timed(time.Time{}) {
		g.timed[r.Name] = true
	}
}

// NoteReplaced records that another server responds at the address of the incarnation s. That says nothing of a later
// incarnation, or of another address that the server has had since.
func (g *Registry) NoteReplaced(s Server) {
	g.update(s.Name, func(r *record) {
		r.replaced = r.replaced || r.StartedMS == s.StartedMS && r.Address == s.Address
	})
}

// NoteDraining records that the incarnation of a server that started at startedMS drains.
// A startedMS of 0 means the current incarnation.
func (g *Registry) NoteDraining(name string, startedMS int64) {
	g.update(name, func(r *record) {
		if startedMS == 0 || startedMS >= r.StartedMS {
			r.draining, r.drainingOf = true, max(startedMS, r.StartedMS)
		}
	})
}

// NoteUnreachable records that a server refused a connection.
func (g *Registry) NoteUnreachable(now time.Time, name string) {
	g.update(name, func(r *record) { r.excludedUntil = now.Add(unreachableExclusion) })
}

// NoteBroken records that a server closed a request's connection before responding. The
// exclusion doubles with each consecutive call, from minBrokenExclusion to
// maxBrokenExclusion.
func (g *Registry) NoteBroken(now time.Time, name string) {
	g.update(name, func(r *record) {
		exclusion := min(maxBrokenExclusion, minBrokenExclusion<<min(r.brokenLinks, 8))
		r.brokenLinks++
		r.brokenUntil = now.Add(exclusion)
		r.excludeUntil(r.brokenUntil)
	})
}

// excludeUntil excludes the server from new work until t at least.
func (r *record) excludeUntil(t time.Time) {
	if t.After(r.excludedUntil) {
		r.excludedUntil = t
	}
}

// Broken returns the servers that are excluded because they closed connections of this
// gateway, with the remaining time of the exclusion. Exclusions learned from other
// gateways are not included.
func (g *Registry) Broken(now time.Time) map[string]time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out map[string]time.Duration
	for name := range g.timed {
		r := g.servers[name]
		if remaining := r.brokenUntil.Sub(now); remaining > 0 {
			if out == nil {
				out = map[string]time.Duration{}
			}
			out[name] = remaining
		}
	}
	return out
}

// MergeBroken applies the exclusions that another gateway returned from Broken, each
// limited to maxBrokenExclusion.
func (g *Registry) MergeBroken(now time.Time, broken map[string]time.Duration) {
	for name, remaining := range broken {
		g.update(name, func(r *record) { r.excludeUntil(now.Add(min(remaining, maxBrokenExclusion))) })
	}
}

// NoteAnswered records that a server has begun a response, which resets its count of
// broken connections.
func (g *Registry) NoteAnswered(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.servers[name]; r != nil {
		r.brokenLinks = 0
		r.brokenUntil = time.Time{}
	}
}

func (g *Registry) update(name string, change func(*record)) {
	g.mu.Lock()
	r := g.servers[name]
	if r == nil {
		g.mu.Unlock()
		return
	}
	before := r.isLeaving()
	change(r)
	g.noteTimed(r)
	after := r.isLeaving()
	g.mu.Unlock()
	if !before && after {
		g.onLeaving(name)
	}
	g.onChange()
	g.reportChanges()
}

// Get returns a server by name and whether it is known.
func (g *Registry) Get(name string) (Server, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.servers[name]
	if r == nil {
		return Server{}, false
	}
	return r.Server, true
}

// Leaving reports whether a server accepts no new work. It is true for unknown servers.
func (g *Registry) Leaving(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.servers[name]
	return r == nil || r.isLeaving()
}

// LaterEntry returns the known entry of a server if it is later than s. Such an s is ignored.
func (g *Registry) LaterEntry(s Server) (Server, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.servers[s.Name]
	if r == nil || !r.supersedes(s) {
		return Server{}, false
	}
	return r.Server, true
}

// LeftAfter reports whether a later entry than s is known which says that the server leaves, or which was removed.
func (g *Registry) LeftAfter(s Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.servers[s.Name]
	return r != nil && r.supersedes(s) && (r.Leaving || r.removed)
}

// Advance uses those of some entries that are later than the known ones of the same incarnations, unless the list has no
// entry of their servers any more, and returns these. The list may have lost them to older ones.
func (g *Registry) Advance(servers []Server) (later []Server) {
	g.mu.Lock()
	for _, s := range servers {
		r := g.servers[s.Name]
		if r != nil && !r.removed && !r.removalPending && r.StartedMS == s.StartedMS && s.StartedMS != 0 && s.Entry > r.Entry {
			later = append(later, s)
		}
	}
	g.mu.Unlock()
	if len(later) > 0 {
		g.Change(time.Time{}, later, nil)
	}
	return later
}

// Listed reports whether a server that has not been removed has an address.
func (g *Registry) Listed(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.index.addresses[address] > 0
}

// Service returns the servers of a service, those in dataCentre first, each part sorted by
// name.
func (g *Registry) Service(now time.Time, service, dataCentre string) []membership.Backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []membership.Backend
	listed := g.listedServices(now)
	for _, r := range g.index.services[service] {
		out = append(out, g.backend(now, r, listed))
	}
	slices.SortFunc(out, func(a, b membership.Backend) int {
		if (a.DataCentre == dataCentre) != (b.DataCentre == dataCentre) {
			if a.DataCentre == dataCentre {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	return out
}

// Versions returns the software versions of the listed servers of some services, by service.
func (g *Registry) Versions(services []string) map[string][]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string][]string, len(services))
	for _, service := range services {
		for _, r := range g.index.services[service] {
			if !slices.Contains(out[service], r.Version) {
				out[service] = append(out[service], r.Version)
			}
		}
	}
	return out
}

// engineNames returns the names of all engines in no particular order, unless they are the same as those of the
// set that it returned before.
func (g *Registry) engineNames(before uint64) (out []string, set uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.engineSet == before {
		return nil, before
	}
	return slices.Collect(maps.Keys(g.index.engines)), g.engineSet
}

// isEngine reports whether the record is that of a listed engine.
func (r *record) isEngine() bool { return len(r.Models) > 0 && !r.removed }

// engines returns the engines with the given names, or all engines if names is nil, sorted by name.
func (g *Registry) engines(now time.Time, names map[string]bool) []membership.Backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []membership.Backend
	listed := g.listedServices(now)
	add := func(r *record) {
		b := g.backend(now, r, listed)
		b.Service = ""
		out = append(out, b)
	}
	if names == nil {
		for _, r := range g.index.engines {
			add(r)
		}
	}
	for name := range names {
		if r := g.servers[name]; r != nil && r.isEngine() {
			add(r)
		}
	}
	slices.SortFunc(out, func(a, b membership.Backend) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// listedServices returns the services that have a server which accepts work and is not
// unconfirmed, if any server is unconfirmed. The caller holds the lock.
func (g *Registry) listedServices(now time.Time) map[string]bool {
	unconfirmed := false
	for _, r := range g.index.lapsed {
		unconfirmed = unconfirmed || r.unconfirmed()
	}
	if !unconfirmed {
		return nil
	}
	out := map[string]bool{}
	for _, r := range g.servers {
		if r.accepting(now) && !r.unconfirmed() {
			out[r.Service] = true
		}
	}
	return out
}

func (r *record) accepting(now time.Time) bool {
	return !r.evacuated && !r.isLeaving() && !now.Before(r.excludedUntil) && r.pause.remaining(now) == 0 && !now.Before(r.cold.deniedUntil)
}

// backend returns the server as a backend. An unconfirmed one accepts work only if no other server
// of its service does. The caller holds the lock.
func (g *Registry) backend(now time.Time, r *record, listed map[string]bool) membership.Backend {
	return membership.Backend{
		Name: r.Name, Address: r.Address, DataCentre: r.DataCentre, Service: r.Service,
		Accepting: r.accepting(now) && !(r.unconfirmed() && listed[r.Service]), Evacuated: r.evacuated,
		MaxStarts: g.maxColdStarts(now, r),
	}
}
