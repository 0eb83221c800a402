package registry

import (
	"cmp"
	"slices"
	"time"

	"persimmonwing/internal/process/coldbound"
)

// StateCold is the State of a StateChange by which a server becomes cold.
const StateCold = "cold"

// coldState is what a server has said of how long it is cold, in the entries of the list and in answers.
// A word replaces earlier ones only if it is newer for certain: an entry those of entries with a lower
// number, an answer all that was known when its request was sent, and what another gateway passes on the words that were passed on before.
// Of other words the longer one holds.
type coldState struct {
	// listed is the end by the entry with the highest number, which was received at listedAt.
	listed, listedAt time.Time
	entry            int64
	hasEntry         bool
	listedLeft       time.Duration
	// answered is the end by the answer to the request that was sent last, at answeredSent.
	answered, answeredSent time.Time
	// passed is the end by the newest answer to another gateway, which that has read at passedStated and of which this one
	// has heard at passedAt. passedStart is the start of the server as that gateway knew it.
	passed, passedStated, passedAt time.Time
	passedStart                    int64
	// started is the newest start of the server that was learnt of before its entry showed it.
	started int64
	// began is the time since which this gateway knows that the server is cold, or zero.
	began time.Time
	// deniedUntil is the time until which this gateway has no right to send to the server.
	deniedUntil time.Time
}

func (c *coldState) until() time.Time {
	until := c.listed
	for _, t := range []time.Time{c.answered, c.passed} {
		if t.After(until) {
			until = t
		}
	}
	return until
}

func (c *coldState) remaining(now time.Time) time.Duration { return max(0, c.until().Sub(now)) }

// ColdServer is a server that is cold.
type ColdServer struct {
	Server
	// Left is how much longer it is cold, and Age for how long this gateway has known that it is.
	Left, Age time.Duration
}

// Incarnation returns the server's identity for package coldbound.
func (s Server) Incarnation() coldbound.Incarnation {
	return coldbound.Incarnation{Server: s.Name, StartedMS: s.StartedMS}
}

// BoundCold sets functions that return the number of requests that a cold server of a service may
// get within a second, or 0 without a bound, and how long a server is cold after its start. It must be called
// before the registry is used.
func (g *Registry) BoundCold(rights func(service string) int, afterStart func(service string) time.Duration) {
	g.coldRights, g.coldAfterStart = rights, afterStart
}

// NoteStarted records that a server has started at startedMS, as its report says. While the list is away,
// nothing else tells that it is cold.
func (g *Registry) NoteStarted(name string, startedMS int64) {
	if !g.noteStartedCold(name, startedMS) {
		return
	}
	g.onChange()
	g.reportChanges()
}

func (g *Registry) noteStartedCold(name string, startedMS int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.servers[name]
	if r == nil || g.coldAfterStart == nil || r.StartedMS == 0 || startedMS <= max(r.StartedMS, r.cold.started) {
		return false
	}
	now := g.now()
	r.cold.started = startedMS
	if end := now.Add(g.coldAfterStart(r.Service)); end.After(r.cold.until()) {
		r.cold.answered = end
	}
	return g.updateCold(now, r, "report")
}

// inheritPassed keeps what another gateway has passed on of an incarnation that starts at startedMS or later. The entry that
// this gateway reads of it may be older than that answer.
func (c *coldState) inheritPassed(old *coldState, startedMS int64) {
	if startedMS != 0 && old.passedStart >= startedMS {
		c.passed, c.passedStated, c.passedAt, c.passedStart = old.passed, old.passedStated, old.passedAt, old.passedStart
	}
}

// noteListedCold records what an entry says. The same entry may be read again much later. The caller
// holds the lock.
func (g *Registry) noteListedCold(r *record) {
	s, c, now := &r.Server, &r.cold, g.now()
	known := c.hasEntry && (s.Entry < c.entry || s.Entry == c.entry && (s.Entry != 0 || s.Cold == c.listedLeft))
	if s.HasCold && !known {
		c.entry, c.hasEntry, c.listedLeft = s.Entry, true, s.Cold
		c.listed, c.listedAt = now.Add(s.Cold), now
	}
	g.updateCold(now, r, "list")
}

// NoteCold records that the incarnation s of a server has stated in an answer how much longer it is
// cold. sent is the time at which the request was sent.
func (g *Registry) NoteCold(now, sent time.Time, s Server, left time.Duration) {
	if !g.noteAnsweredCold(now, sent, s, left) {
		return
	}
	g.onChange()
	g.reportChanges()
}

func (g *Registry) noteAnsweredCold(now, sent time.Time, s Server, left time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.servers[s.Name]
	if r == nil || r.StartedMS != s.StartedMS || sent.Before(r.cold.answeredSent) {
		return false
	}
	c := &r.cold
	c.answered, c.answeredSent = now.Add(left), sent
	if sent.After(c.listedAt) {
		c.listed = time.Time{}
	}
	if sent.After(c.passedAt) {
		c.passed = time.Time{}
	}
	return g.updateCold(now, r, "answer")
}

// HearCold records that a server, started at startedMS as far as another gateway knows, has told that gateway how much
// longer it was cold at the time at. That can't end a cold time, and is ignored if this gateway has an answer to a later request.
func (g *Registry) HearCold(now, at time.Time, name string, startedMS int64, left time.Duration) {
	if !g.noteHeardCold(now, at, name, startedMS, left) {
		return
	}
	g.onChange()
	g.reportChanges()
}

func (g *Registry) noteHeardCold(now, at time.Time, name string, startedMS int64, left time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.servers[name]
	if r == nil || startedMS < r.StartedMS || at.Before(r.cold.answeredSent) || at.Before(r.cold.passedStated) {
		return false
	}
	c := &r.cold
	c.passed, c.passedStated, c.passedAt, c.passedStart = at.Add(left), at, now, startedMS
	return g.updateCold(now, r, "peer")
}

// boundsCold reports whether a server's requests are bounded while it is cold. The caller holds the lock.
func (g *Registry) boundsCold(r *record) bool {
	return g.coldRights != nil && g.coldRights(r.Service) > 0
}

// updateCold records that a server whose requests are bounded has become cold or is no longer, and reports
// whether that changed.
// The caller holds the lock.
func (g *Registry) updateCold(now time.Time, r *record, source string) bool {
	if until := r.cold.until(); r.cold.deniedUntil.After(until) {
		r.cold.deniedUntil = until
	}
	g.noteTimed(r)
	switch left := r.cold.remaining(now); {
	case left > 0 && r.cold.began.IsZero() && g.boundsCold(r):
		r.cold.began = now
		g.changes = append(g.changes, StateChange{Server: r.Name, State: StateCold, Source: source, Began: true, Length: left})
		return true
	case left == 0 && !r.cold.began.IsZero():
		g.endCold(now, r, source)
		return true
	}
	return false
}

func (g *Registry) endCold(now time.Time, r *record, reason string) {
	if !r.cold.began.IsZero() {
		g.changes = append(g.changes, StateChange{Server: r.Name, State: StateCold, Source: reason, Length: now.Sub(r.cold.began)})
	}
	r.cold.began, r.cold.deniedUntil = time.Time{}, time.Time{}
}

// noticeColdEnd reports whether a server's cold time, or the time without a right, has ended since the last
// call. The caller holds the lock.
func (g *Registry) noticeColdEnd(now time.Time, r *record) bool {
	denied := !r.cold.deniedUntil.IsZero() && !now.Before(r.cold.deniedUntil)
	if denied {
		r.cold.deniedUntil = time.Time{}
	}
	return g.updateCold(now, r, "elapsed") || denied
}

// Cold returns how much longer a server is cold, or 0, and its present incarnation.
func (g *Registry) Cold(now time.Time, name string) (Server, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.servers[name]
	if r == nil {
		return Server{}, 0
	}
	return r.Server, r.cold.remaining(now)
}

// NoteColdDenied records that there is no right to send to a cold server before wait has passed. It then gets
// no new work from this gateway.
func (g *Registry) NoteColdDenied(now time.Time, name string, wait time.Duration) {
	g.update(name, func(r *record) {
		r.cold.deniedUntil = now.Add(min(wait, r.cold.remaining(now)))
	})
}

// ColdWait returns the time until the first of the servers of a service may get a request, if all that
// could serve one are cold and have got as many as they may.
func (g *Registry) ColdWait(now time.Time, service string) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var earliest time.Duration
	for _, r := range g.index.services[service] {
		if r.isLeaving() {
			continue
		}
		wait := r.cold.deniedUntil.Sub(now)
		if wait <= 0 {
			return 0, false
		}
		if earliest == 0 || wait < earliest {
			earliest = wait
		}
	}
	return earliest, earliest > 0
}

// ColdServers returns the servers that are cold and whose requests are bounded, sorted by name.
func (g *Registry) ColdServers(now time.Time) []ColdServer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []ColdServer
	for name := range g.timed {
		r := g.servers[name]
		if left := r.cold.remaining(now); left > 0 && !r.cold.began.IsZero() && !r.isLeaving() {
			out = append(out, ColdServer{Server: r.Server, Left: left, Age: now.Sub(r.cold.began)})
		}
	}
	slices.SortFunc(out, func(a, b ColdServer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// maxColdStarts returns the number of requests that may be placed on a server within a second, or 0
// without a bound: as many as its issuer issues rights from the first second on. The caller holds the lock.
func (g *Registry) maxColdStarts(now time.Time, r *record) int {
	if r.cold.remaining(now) == 0 || !g.boundsCold(r) {
		return 0
	}
	return coldbound.FirstWindow(g.coldRights(r.Service))
}
