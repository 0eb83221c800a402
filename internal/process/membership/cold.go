package membership

import (
	"slices"
	"strings"
	"time"

	"persimmonwing/internal/process/coldbound"
)

// coldSlack is by how much a report may move the end of a cold time before it is published again.
const coldSlack = time.Second

// coldState is what this gateway knows of a server that is or was cold, beside the reports in the facts.
type coldState struct {
	words coldbound.Words
	// began is the time since which this gateway knows that the server is cold, or zero.
	began time.Time
	// deniedUntil is the time until which this gateway has no right to send to the server.
	deniedUntil time.Time
}

// ColdServer is a server that is cold and whose requests are bounded.
type ColdServer struct {
	Backend
	// Rights is the number of requests that it may get within a second from all gateways.
	Rights int
	// Left is how much longer it is cold, and Age for how long this gateway has known that it is.
	Left, Age time.Duration
}

// NoteCold records that a server has stated in an answer how much longer it is cold. sent is the time at
// which the request was sent. Peers learn of it, too, so that the answer to one gateway is enough.
func (g *Gossiper) NoteCold(name string, sent time.Time, left time.Duration) {
	now := time.Now()
	g.mu.Lock()
	c := g.cold[name]
	if c == nil && left > 0 || c == nil && g.state.facts.cold[name] {
		c = &coldState{}
		g.cold[name] = c
	}
	if c != nil {
		c.words.Answer(now, sent, left)
		if sent.After(g.state.facts.facts[FactKey{FactReport, name}].learnedAt) || left > 0 {
			g.publishCold(now, name, left)
		}
	}
	g.mu.Unlock()
	if c != nil {
		g.coldChanged(now)
	}
}

// SetCold publishes how much longer a server is cold by its latest report, after SetReport.
func (g *Gossiper) SetCold(name string, left time.Duration) {
	now := time.Now()
	g.mu.Lock()
	changed := g.publishCold(now, name, left)
	g.mu.Unlock()
	if changed {
		g.coldChanged(now)
	}
}

// publishCold publishes how much longer a server is cold, if that is new. The caller holds the lock.
func (g *Gossiper) publishCold(now time.Time, name string, left time.Duration) bool {
	known, ok := g.state.facts.facts[FactKey{FactReport, name}]
	f := known.Fact
	ends := known.learnedAt.Add(coldbound.Left(f.ColdMS))
	if !ok || (left > 0) == (f.ColdMS > 0) && (left == 0 || now.Add(left).Before(ends.Add(coldSlack))) {
		return false
	}
	f.ColdMS = left.Milliseconds()
	return g.state.facts.State(now, f)
}

// coldLeft returns how much longer a server is cold. The caller holds the lock.
func (g *Gossiper) coldLeft(now time.Time, name string) time.Duration {
	c := g.cold[name]
	if c == nil && !g.state.facts.cold[name] {
		return 0
	}
	var w coldbound.Words
	if c != nil {
		w = c.words
	}
	if f, ok := g.state.facts.facts[FactKey{FactReport, name}]; ok {
		w.Report(f.learnedAt, coldbound.Left(f.ColdMS))
	}
	return w.Left(now)
}

// coldChanged records which servers have become cold and which are no longer, and passes on the first at once. It must be
// called without locks held.
func (g *Gossiper) coldChanged(now time.Time) {
	g.mu.Lock()
	var began []string
	for name := range g.state.facts.cold {
		if g.cold[name] == nil {
			g.cold[name] = &coldState{}
		}
	}
	for name, c := range g.cold {
		switch left := g.coldLeft(now, name); {
		case left > 0 && c.began.IsZero():
			c.began = now
			began = append(began, name)
		case left == 0 && !g.state.facts.cold[name] && now.After(c.deniedUntil):
			delete(g.cold, name)
		case left == 0:
			c.began = time.Time{}
		}
	}
	g.mu.Unlock()
	if len(began) == 0 {
		return
	}
	g.Push()
	if g.opt.BecameCold == nil {
		return
	}
	for _, c := range g.ColdServers() {
		if slices.Contains(began, c.Name) {
			g.opt.BecameCold(c)
		}
	}
}

// Cold returns how much longer a server is cold. That is 0 if its requests are not bounded.
func (g *Gossiper) Cold(name string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := g.coldLeft(time.Now(), name)
	if left == 0 || g.coldRights(name) == 0 {
		return 0
	}
	return left
}

// ColdRights returns the number of requests that a server may get within a second while it is cold, or 0 without a bound.
func (g *Gossiper) ColdRights(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.coldRights(name)
}

func (g *Gossiper) coldRights(name string) int {
	if g.opt.ColdRights == nil {
		return 0
	}
	host, listed := g.state.facts.Get(FactKey{FactHost, name})
	if !listed {
		return 0
	}
	report, _ := g.state.facts.Get(FactKey{FactReport, name})
	return g.opt.ColdRights(host.Service, report.Models)
}

// NoteColdDenied records that there is no right to send to a cold server before wait has passed. It then gets no new
// work from this gateway.
func (g *Gossiper) NoteColdDenied(name string, wait time.Duration) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.cold[name]; c != nil {
		c.deniedUntil = now.Add(min(wait, g.coldLeft(now, name)))
	}
}

// coldBounds returns the number of requests that may start on a server within a second, or 0 without a bound, and for how
// long this gateway may send it none. The caller holds the lock.
func (g *Gossiper) coldBounds(now time.Time, name string) (maxStarts int, denied time.Duration) {
	if g.coldLeft(now, name) == 0 {
		return 0, 0
	}
	rights := g.coldRights(name)
	if rights == 0 {
		return 0, 0
	}
	if c := g.cold[name]; c != nil {
		denied = max(0, c.deniedUntil.Sub(now))
	}
	return coldbound.FirstWindow(rights), denied
}

// ColdServers returns the servers that are cold and whose requests are bounded, sorted by name.
func (g *Gossiper) ColdServers() []ColdServer {
	now := time.Now()
	var out []ColdServer
	for _, b := range g.backends(func(Fact) bool { return true }) {
		g.mu.Lock()
		left, rights := g.coldLeft(now, b.Name), g.coldRights(b.Name)
		c := ColdServer{Backend: b, Rights: rights, Left: left}
		if s := g.cold[b.Name]; s != nil && !s.began.IsZero() {
			c.Age = now.Sub(s.began)
		}
		g.mu.Unlock()
		if left > 0 && rights > 0 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b ColdServer) int { return strings.Compare(a.Name, b.Name) })
	return out
}
