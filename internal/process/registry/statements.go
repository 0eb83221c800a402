package registry

import "time"

const (
	// MaxPause bounds the pause that a server can ask for. Callers wait for up to 40 s.
	MaxPause = 60 * time.Second
	// firstRequestTimeout is the time after which another request may be sent to a server
	// whose pause has ended, if the first one has no answer.
	firstRequestTimeout = time.Second
	// statementRetention is how long the record of a removed server is kept that has stated
	// that it leaves: an old entry may be listed again after an outage.
	statementRetention = 10 * time.Minute
)

// Statement is what a server says about itself in the header of a response.
type Statement struct {
	// Leaving is set if the server states that it leaves.
	Leaving bool
	// Pause is how long the server wants nothing from this gateway, or 0.
	Pause time.Duration
	// Source names the kind of response for the log.
	Source string
}

// StateChange describes the begin or the end of a state that a server stated itself.
type StateChange struct {
	// Server is the name of the server and State "leaving", "paused" or "cold".
	Server, State string
	// Source is the kind of response by which the state began, or the reason why it ended.
	Source string
	Began  bool
	// Length is the length of the requested pause or of the cold time at the begin, and the age of
	// the state at the end.
	Length time.Duration
}

const (
	stateLeaving = "leaving"
	statePaused  = "paused"
)

// requestPause is a pause that a server asked for. After its end a single request is sent
// first, whose answer ends the pause or starts the next one.
type requestPause struct {
	// began is zero if there is no pause.
	began, until time.Time
	// firstUntil is the time until which the first request after the end is awaited.
	firstUntil time.Time
	// number changes whenever the server asks for a pause, so that the answer to a first
	// request does not end a pause that was asked for later. No two pauses have the same.
	number uint64
	// elapsed is set once Tick has noticed the end.
	elapsed bool
	// urgent counts the calls that were admitted in spite of the pause.
	urgent int
}

// maxUrgentCalls bounds the calls that are sent in spite of a pause.
const maxUrgentCalls = 1

// extend starts the pause or makes it longer. It reports whether it has begun.
func (p *requestPause) extend(now time.Time, d time.Duration) bool {
	begun := p.began.IsZero()
	if begun {
		p.began = now
	}
	if until := now.Add(min(d, MaxPause)); until.After(p.until) {
		p.until = until
	}
	p.firstUntil, p.elapsed = time.Time{}, false
	return begun
}

// noticeEnd reports whether the pause has ended since the last call.
func (p *requestPause) noticeEnd(now time.Time) bool {
	if p.began.IsZero() || p.elapsed || now.Before(p.until) {
		return false
	}
	p.elapsed = true
	return true
}

// remaining returns how long no new request may be sent.
func (p *requestPause) remaining(now time.Time) time.Duration {
	end := p.until
	if p.firstUntil.After(end) {
		end = p.firstUntil
	}
	return max(0, end.Sub(now))
}

// Admit reports whether something may be sent to a server now, whatever its incarnation: a request, or
// a control call. Generations that run in an evacuated data centre still need control calls. first is not 0
// for the first request after a pause; it must be passed to NoteStatement or to Unanswered.
func (g *Registry) Admit(now time.Time, s Server, control bool) (admitted bool, first uint64) {
	g.mu.Lock()
	r := g.servers[s.Name]
	switch {
	case !control && (g.evacuated.Contains(s.DataCentre) || r != nil && r.evacuated):
		g.mu.Unlock()
		return false, 0
	case r == nil:
		g.mu.Unlock()
		return true, 0
	case control:
		defer g.mu.Unlock()
		return !now.Before(r.pause.until), 0
	case r.draining || r.pause.remaining(now) > 0:
		g.mu.Unlock()
		return false, 0
	case r.pause.began.IsZero():
		g.mu.Unlock()
		return true, 0
	}
	r.pause.firstUntil = now.Add(firstRequestTimeout)
	first = r.pause.number
	g.mu.Unlock()
	g.onChange()
	return true, first
}

// AdmitUrgent reports whether a control call may be sent to a server now that can't wait for the end of
// a pause.
func (g *Registry) AdmitUrgent(now time.Time, s Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.servers[s.Name]
	if r == nil || !now.Before(r.pause.until) {
		return true
	}
	r.pause.urgent++
	return r.pause.urgent <= maxUrgentCalls
}

// Unanswered records that the first request after a pause got no answer, so that another
// one may be sent.
func (g *Registry) Unanswered(s Server, first uint64) {
	g.update(s.Name, func(r *record) {
		if r.StartedMS == s.StartedMS && r.pause.number == first {
			r.pause.firstUntil = time.Time{}
		}
	})
}

// NoteStatement records what the incarnation s of a server stated in a response. first is the
// result of Admit.
func (g *Registry) NoteStatement(now time.Time, s Server, first uint64, st Statement) {
	if first == 0 && !st.Leaving && st.Pause <= 0 {
		return
	}
	g.update(s.Name, func(r *record) {
		if r.StartedMS != s.StartedMS {
			return
		}
		if st.Leaving && !r.stated {
			r.draining, r.drainingOf = true, max(r.drainingOf, r.StartedMS)
			r.stated, r.statedAt = true, now
			g.changes = append(g.changes, StateChange{Server: r.Name, State: stateLeaving, Source: st.Source, Began: true})
		}
		// The pause may have ended, or another one have begun, since the request was sent.
		current := first != 0 && r.pause.number == first && !r.pause.began.IsZero()
		switch {
		case st.Pause > 0:
			if current {
				g.endPause(now, r, "next_pause")
			}
			g.pauses++
			r.pause.number = g.pauses
			if r.pause.extend(now, st.Pause) {
				g.changes = append(g.changes, StateChange{Server: r.Name, State: statePaused, Source: st.Source, Began: true, Length: min(st.Pause, MaxPause)})
			}
		case current:
			g.endPause(now, r, "answer")
		}
	})
}

func (g *Registry) endPause(now time.Time, r *record, reason string) {
	if !r.pause.began.IsZero() {
		g.changes = append(g.changes, StateChange{Server: r.Name, State: statePaused, Source: reason, Length: now.Sub(r.pause.began)})
	}
	r.pause = requestPause{number: r.pause.number}
}

// endStatements records the end of an incarnation's own statements.
func (g *Registry) endStatements(now time.Time, r *record, reason string) {
	g.endPause(now, r, reason)
	g.endCold(now, r, reason)
	if r.stated {
		g.changes = append(g.changes, StateChange{Server: r.Name, State: stateLeaving, Source: reason, Length: now.Sub(r.statedAt)})
	}
}

// inherit copies what the server has stated to the record of its new entry if both
// describe the same incarnation. It reports whether they do.
func (r *record) inherit(old *record, s Server) bool {
	if old == nil {
		return false
	}
	r.retained = old.retained || old.draining || !old.pause.began.IsZero()
	if s.StartedMS == 0 {
		return false
	}
	if old.draining && old.drainingOf == s.StartedMS {
		r.draining, r.drainingOf = true, old.drainingOf
	}
	if old.StartedMS != s.StartedMS {
		r.cold.inheritPassed(&old.cold, s.StartedMS)
		return false
	}
	r.stated, r.statedAt, r.pause, r.cold = old.stated, old.statedAt, old.pause, old.cold
	return true
}

// Blocked reports whether a server accepts no new request from this gateway, because its data
// centre is evacuated, it leaves, or it has asked for a pause.
func (g *Registry) Blocked(now time.Time, name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.servers[name]
	return r == nil || r.evacuated || r.isLeaving() || r.pause.remaining(now) > 0
}

// Paused reports whether a server has asked for a pause that has not ended.
func (g *Registry) Paused(now time.Time, name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.servers[name]
	return r != nil && now.Before(r.pause.until)
}

// AllPaused returns the time until the earliest end of a pause if all servers of a service
// that could serve a request have asked for one.
func (g *Registry) AllPaused(now time.Time, service string) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var earliest time.Duration
	for _, r := range g.index.services[service] {
		if r.isLeaving() || r.evacuated {
			continue
		}
		remaining := r.pause.remaining(now)
		if remaining == 0 {
			return 0, false
		}
		if earliest == 0 || remaining < earliest {
			earliest = remaining
		}
	}
	return earliest, earliest > 0
}

// StatedLeaving reports whether the incarnation s of a server has stated in a response that it
// leaves.
func (g *Registry) StatedLeaving(s Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.servers[s.Name]
	return r != nil && r.StartedMS == s.StartedMS && r.stated
}

// ObserveStates sets a function that is called when a server begins or ends a state that it
// stated itself. It must be called before the registry is used.
func (g *Registry) ObserveStates(f func(StateChange)) { g.onState = f }

// reportChanges calls onState for the changes collected. The caller holds no lock.
func (g *Registry) reportChanges() {
	g.mu.Lock()
	changes := g.changes
	g.changes = nil
	g.mu.Unlock()
	if g.onState != nil {
		for _, c := range changes {
			g.onState(c)
		}
	}
}
