// Package registry keeps what this gateway knows of backend servers, from the
// platform's list and from what the servers themselves say.
package registry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"persimmonwing/internal/process/membership"
)

const (
	// returnGrace is the time after the list's return for which an entry that
	// vanished meanwhile stays in force: entries lapse while the list is away, and
	// living servers write theirs again within two seconds.
	returnGrace = 2500 * time.Millisecond
	// unreachableFor is the time for which a server that refused a connection gets
	// no new work.
	unreachableFor = 500 * time.Millisecond
	// brokenFirst and brokenMost bound the time for which an engine that broke a
	// request's link before its answer gets no new work from this gateway. Its reports
	// may go on, and it looks free since nothing runs there. Such an engine cost 53
	// generations of a day without this, 32 with 1 to 4 s and 21 with 3 to 6 s.
	brokenFirst = 3 * time.Second
	brokenMost  = 6 * time.Second
	// shortLife is the life of a server below which its next crash belongs to the same
	// series, and crashSeries the number of crashes after which a server that is back
	// gets no new work for a while. Servers that go down and up do so every 1 to 2 s;
	// 42 of 104 plans that failed on a day were lost at servers that came back empty
	// and went down again.
	shortLife   = 10 * time.Second
	crashSeries = 2
	// forgetAfter is the time after which a server that has gone is forgotten.
	forgetAfter = 30 * time.Second
)

// Server is a backend server as its list describes it.
type Server struct {
	Name       string
	Address    string
	DataCentre string
	Service    string
	// Models is set for engines.
	Models []string
	Slots  int
	// Leaving is set once the server takes no new work.
	Leaving bool
	// StartedMS is the start of this incarnation in Unix milliseconds, or 0.
	StartedMS int64
}

// record is a server with what is known beside its entry.
type record struct {
	Server
	// gone is set when the list has dropped the entry.
	gone   bool
	goneAt time.Time
	// lapsed is set while a dropped entry may come back after an outage.
	lapsed bool
	// replaced is set when another server answers at the address.
	replaced bool
	// drains is set when the server itself says that it drains.
	drains           bool
	unreachableUntil time.Time
	// broken counts the links broken in a row, and brokenUntil is the end of the hold
	// for the last one.
	broken      int
	brokenUntil time.Time
	// crashes counts the ends without notice before this start, as long as no life
	// between two of them was a long one.
	crashes int
}

// crashesBefore returns the crashes in a row before the next start of a server.
func (r *record) crashesBefore(next Server) int {
	switch {
	case r == nil || r.leaving() || r.StartedMS == 0 || next.StartedMS <= r.StartedMS:
		return 0
	case next.StartedMS-r.StartedMS >= shortLife.Milliseconds():
		return 1
	}
	return r.crashes + 1
}

func (r *record) leaving() bool { return r.Leaving || r.gone || r.replaced || r.drains }

// Registry is safe for concurrent use.
type Registry struct {
	// changed is called without locks when a server may take new work or no more,
	// and left when one has begun to leave. Neither may block.
	changed func()
	left    func(name string)
	now     func() time.Time

	mu         sync.Mutex
	servers    map[string]*record
	graceUntil time.Time
	synced     bool
}

// New returns an empty registry.
func New(changed func(), left func(name string)) *Registry {
	return &Registry{changed: changed, left: left, now: time.Now, servers: map[string]*record{}}
}

// Known reports whether the list has been read at least once.
func (g *Registry) Known() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.synced
}

// ListReturned says that the list could be read again, since an instant, after an
// outage. It may be told of an outage again, and late.
func (g *Registry) ListReturned(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if until := at.Add(returnGrace); g.synced && until.After(g.graceUntil) {
		g.graceUntil = until
	}
}

// Sync replaces the whole list.
func (g *Registry) Sync(now time.Time, servers []Server) {
	listed := make(map[string]bool, len(servers))
	var left []string
	g.mu.Lock()
	g.synced = true
	for _, s := range servers {
		listed[s.Name] = true
		left = g.put(s, left)
	}
	for name := range g.servers {
		if !listed[name] {
			left = g.drop(now, name, left)
		}
	}
	g.mu.Unlock()
	g.tell(left)
}

// Put takes over one entry of the list.
func (g *Registry) Put(s Server) {
	g.mu.Lock()
	left := g.put(s, nil)
	g.mu.Unlock()
	g.tell(left)
}

// Remove takes over that the list has dropped an entry.
func (g *Registry) Remove(now time.Time, name string) {
	g.mu.Lock()
	left := g.drop(now, name, nil)
	g.mu.Unlock()
	g.tell(left)
}

// put returns left with the server if it has begun to leave.
func (g *Registry) put(s Server, left []string) []string {
	r := g.servers[s.Name]
	// An older incarnation's entry may arrive behind that of a newer one.
	if r != nil && s.StartedMS < r.StartedMS {
		return left
	}
	if r == nil || s.StartedMS > r.StartedMS || s.Address != r.Address {
		next := &record{crashes: r.crashesBefore(s)}
		if next.crashes >= crashSeries {
			next.unreachableUntil = g.now().Add(brokenMost)
		}
		r = next
		g.servers[s.Name] = r
	}
	before := r.leaving()
	r.Server = s
	r.gone, r.lapsed = false, false
	if !before && r.leaving() {
		left = append(left, s.Name)
	}
	return left
}

func (g *Registry) drop(now time.Time, name string, left []string) []string {
	r := g.servers[name]
	switch {
	case r == nil || r.gone:
		return left
	case now.Before(g.graceUntil):
		r.lapsed = true
		return left
	}
	before := r.leaving()
	r.gone, r.goneAt, r.lapsed = true, now, false
	if !before {
		left = append(left, name)
	}
	return left
}

func (g *Registry) tell(left []string) {
	for _, name := range left {
		g.left(name)
	}
	g.changed()
}

// Tick applies what is due: entries that did not come back after an outage are
// dropped, and servers that went long ago are forgotten.
func (g *Registry) Tick(now time.Time) {
	var left []string
	g.mu.Lock()
	for name, r := range g.servers {
		if r.lapsed && !now.Before(g.graceUntil) {
			left = g.drop(now, name, left)
		}
		if r.gone && now.Sub(r.goneAt) > forgetAfter {
			delete(g.servers, name)
		}
	}
	g.mu.Unlock()
	if len(left) > 0 {
		g.tell(left)
	}
}

// NoteReplaced records that another server answers at the server's address.
func (g *Registry) NoteReplaced(name string) { g.note(name, func(r *record) { r.replaced = true }) }

// NoteDraining records that a server of this incarnation says that it drains.
func (g *Registry) NoteDraining(name string, startedMS int64) {
	g.note(name, func(r *record) {
		if startedMS == 0 || startedMS >= r.StartedMS {
			r.drains = true
		}
	})
}

// NoteUnreachable records that a server refused a connection.
func (g *Registry) NoteUnreachable(now time.Time, name string) {
	g.note(name, func(r *record) { r.unreachableUntil = now.Add(unreachableFor) })
}

// NoteBroken records that a server broke a link before its answer began.
func (g *Registry) NoteBroken(now time.Time, name string) {
	g.note(name, func(r *record) {
		hold := min(brokenMost, brokenFirst<<min(r.broken, 8))
		r.broken++
		r.brokenUntil = now.Add(hold)
		r.holdUntil(r.brokenUntil)
	})
}

// holdUntil gives the server no new work until a time.
func (r *record) holdUntil(t time.Time) {
	if t.After(r.unreachableUntil) {
		r.unreachableUntil = t
	}
}

// Broken returns the servers that broke a link of this gateway, with the time for
// which they get no new work.
func (g *Registry) Broken(now time.Time) map[string]time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out map[string]time.Duration
	for name, r := range g.servers {
		if left := r.brokenUntil.Sub(now); left > 0 {
			if out == nil {
				out = map[string]time.Duration{}
			}
			out[name] = left
		}
	}
	return out
}

// HearBroken takes over what another gateway says of servers that broke its links.
func (g *Registry) HearBroken(now time.Time, broken map[string]time.Duration) {
	for name, left := range broken {
		g.note(name, func(r *record) { r.holdUntil(now.Add(min(left, brokenMost))) })
	}
}

// NoteAnswered records that a server has begun an answer.
func (g *Registry) NoteAnswered(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.servers[name]; r != nil {
		r.broken = 0
		r.brokenUntil = time.Time{}
	}
}

func (g *Registry) note(name string, change func(*record)) {
	g.mu.Lock()
	r := g.servers[name]
	if r == nil {
		g.mu.Unlock()
		return
	}
	before := r.leaving()
	change(r)
	after := r.leaving()
	g.mu.Unlock()
	if !before && after {
		g.left(name)
	}
	g.changed()
}

// Get returns a server.
func (g *Registry) Get(name string) (Server, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.servers[name]
	if r == nil {
		return Server{}, false
	}
	return r.Server, true
}

// Leaving reports whether a server takes no new work. An unknown one does not.
func (g *Registry) Leaving(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.servers[name]
	return r == nil || r.leaving()
}

// Addresses returns the addresses of the servers that have not gone.
func (g *Registry) Addresses() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]bool{}
	for _, r := range g.servers {
		if !r.gone {
			out[r.Address] = true
		}
	}
	return out
}

// Service returns the servers of a service: those of a data centre first, then
// by name.
func (g *Registry) Service(now time.Time, service, dataCentre string) []membership.Backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []membership.Backend
	for _, r := range g.servers {
		if r.Service == service && !r.gone {
			out = append(out, r.backend(now))
		}
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

// engines returns all engines by name.
func (g *Registry) engines(now time.Time) []membership.Backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []membership.Backend
	for _, r := range g.servers {
		if len(r.Models) > 0 && !r.gone {
			b := r.backend(now)
			b.Service = ""
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b membership.Backend) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (r *record) backend(now time.Time) membership.Backend {
	return membership.Backend{
		Name: r.Name, Address: r.Address, DataCentre: r.DataCentre, Service: r.Service,
		Accepting: !r.leaving() && !now.Before(r.unreachableUntil),
	}
}
