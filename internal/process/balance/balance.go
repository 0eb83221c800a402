// Package balance chooses a server of a service from what this gateway knows of the servers' loads. All of it is a
// little old, and other gateways choose at the same moment from the same statements. The package has no input or
// output: statements, time and randomness are arguments.
package balance

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Statement is what a server states of its load.
type Statement struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes at the moment, as a multiple of the usual time. It is 1 if the server
	// doesn't state it.
	Slowdown float64
}

const (
	// maxStated bounds the numbers of a statement, and minSlowdown and maxSlowdown its slowdown. What is beyond
	// them is no load of a server.
	maxStated                = 1 << 20
	minSlowdown, maxSlowdown = 0.01, 1000
)

// Plausible reports whether a server can have this load.
func (s Statement) Plausible() bool {
	return s.Slots > 0 && s.Slots <= maxStated && s.Running >= 0 && s.Running <= s.Slots && s.Waiting >= 0 && s.Waiting <= maxStated &&
		s.Slowdown >= minSlowdown && s.Slowdown <= maxSlowdown
}

const (
	// turnovers is the number of response times after which a statement says little about the requests that were
	// running: they have ended, and others have come.
	turnovers = 4
	// minMemory bounds from below the time in which a statement loses its weight. Waves of demand and changes of
	// a server's speed last longer than most requests.
	minMemory = 700 * time.Millisecond
	// forgetAfter is the age at which a statement says nothing any more. Deployments that add and remove servers
	// do so within seconds.
	forgetAfter = 5 * time.Second
	// meanHorizon is the time over which the usual load of a server is averaged.
	meanHorizon = 3 * time.Second
	// responseWeight is the weight of a new response time in the moving average. A sudden slowdown is noticed before
	// that, by the age of the requests in flight.
	responseWeight = 0.1
)

// load is what is known of one incarnation of a server.
type load struct {
	incarnation int64
	// stated is the last statement to this gateway.
	stated   Statement
	statedAt time.Time
	// newestAt is the time of the newest statement to any gateway, and slots and slow its number of slots and
	// its slowdown.
	newestAt time.Time
	slots    int
	slow     float64
	// others is the number of requests of other gateways at stated, and usual its moving average over all statements.
	others, usual float64
	// inFlight holds the times at which this gateway sent the requests in flight, oldest first.
	inFlight []time.Time
	// took is the moving average of the response times in seconds, or 0 before the first.
	took float64
}

// known reports whether there is a statement that still says something.
func (l *load) known(now time.Time) bool {
	return l != nil && !l.newestAt.IsZero() && now.Sub(l.newestAt) < forgetAfter
}

// memory is the time in which a statement loses all but 1/e of its weight.
func (l *load) memory() time.Duration {
	return max(minMemory, time.Duration(turnovers*l.took*float64(time.Second)))
}

// weight is the weight of a statement of the time at against the usual load.
func (l *load) weight(now, at time.Time) float64 {
	return math.Exp(-float64(max(0, now.Sub(at))) / float64(l.memory()))
}

// busy is the expected number of requests at the server now: of the others as stated, drawn towards the usual
// number as the statement ages, and of this gateway.
func (l *load) busy(now time.Time) float64 {
	return max(0, l.usual+(l.others-l.usual)*l.weight(now, l.statedAt)) + float64(len(l.inFlight))
}

// slowdown is the expected slowdown now.
func (l *load) slowdown(now time.Time) float64 {
	return 1 + (l.slow-1)*l.weight(now, l.newestAt)
}

// response is the expected time in seconds of a request that need not wait, or 0 if nothing tells. It is at least
// the age of the oldest request in flight, so that a server that has become slow or has stopped is noticed before it
// answers.
func (l *load) response(now time.Time) float64 {
	if len(l.inFlight) == 0 {
		return l.took
	}
	return max(l.took, now.Sub(l.inFlight[0]).Seconds())
}

// Loads holds what this gateway knows of the servers of one service. It is safe for concurrent use.
type Loads struct {
	mu      sync.Mutex
	servers map[string]*load
}

// NewLoads returns Loads that know nothing.
func NewLoads() *Loads { return &Loads{servers: map[string]*load{}} }

// Stated is what is known of a server's load: the age of the newest statement, the requests that are expected there now,
// running and waiting, and the slots.
type Stated struct {
	Server      string
	Age         time.Duration
	Used, Slots int
}

// Stated returns what is known of the servers whose statements still say something, for metrics.
func (b *Loads) Stated(now time.Time) []Stated {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Stated
	for name, l := range b.servers {
		if l.known(now) {
			out = append(out, Stated{Server: name, Age: now.Sub(l.newestAt), Used: int(l.busy(now) + 0.5), Slots: l.slots})
		}
	}
	return out
}

// maxServers bounds the servers that are remembered.
const maxServers = 4096

// server returns the record of an incarnation. An earlier incarnation's load and speed say nothing about it.
func (b *Loads) server(now time.Time, name string, incarnation int64) *load {
	l := b.servers[name]
	switch {
	case l == nil:
		if len(b.servers) >= maxServers {
			b.forget(now)
		}
		l = &load{incarnation: incarnation}
		b.servers[name] = l
	case l.incarnation != incarnation:
		*l = load{incarnation: incarnation, inFlight: l.inFlight}
	}
	return l
}

// forget removes the servers of which nothing is known any more.
func (b *Loads) forget(now time.Time) {
	for name, l := range b.servers {
		if len(l.inFlight) == 0 && !l.known(now) {
			delete(b.servers, name)
		}
	}
}

// Learn records a statement that was made to this gateway at the time at. Older ones than the last are ignored. It reports
// whether the statement was used.
func (b *Loads) Learn(at time.Time, name string, incarnation int64, s Statement) bool {
	if !s.Plausible() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.server(at, name, incarnation)
	if !l.statedAt.IsZero() && at.Before(l.statedAt) {
		return false
	}
	l.stated, l.statedAt, l.others = s, at, l.average(at, s)
	return true
}

// Hear records a statement that was made to another gateway at the time at. It reports whether it was used: only if it
// is newer than all others.
//
// It draws the usual load, and tells the server's speed. The number of requests at that moment is not taken for that of
// now: all gateways hear the same number, as late as several calls take, and would all leave a server and return
// to it together.
func (b *Loads) Hear(at time.Time, name string, incarnation int64, s Statement) bool {
	if !s.Plausible() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.server(at, name, incarnation)
	if !l.newestAt.IsZero() && !at.After(l.newestAt) {
		return false
	}
	l.average(at, s)
	return true
}

// average draws the usual load towards a statement, and returns the requests of other gateways in it.
func (l *load) average(at time.Time, s Statement) float64 {
	// A statement that another gateway has read is older than the requests sent since.
	own := len(l.inFlight)
	for own > 0 && l.inFlight[own-1].After(at) {
		own--
	}
	others := max(0, float64(s.Running+s.Waiting-own))
	switch {
	case l.newestAt.IsZero():
		l.usual = others
	case at.After(l.newestAt):
		l.usual += (others - l.usual) * (1 - math.Exp(-float64(at.Sub(l.newestAt))/float64(meanHorizon)))
	}
	if !at.Before(l.newestAt) {
		l.newestAt, l.slots, l.slow = at, s.Slots, s.Slowdown
	}
	return others
}

// Sent records that this gateway sent a request to a server. The caller must call the result once, with the time
// that the response took, or 0 if the end says nothing about the server's speed.
func (b *Loads) Sent(now time.Time, name string, incarnation int64) (ended func(took time.Duration)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.server(now, name, incarnation)
	l.inFlight = append(l.inFlight, now)
	return func(took time.Duration) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if i := slices.Index(l.inFlight, now); i >= 0 {
			l.inFlight = slices.Delete(l.inFlight, i, i+1)
		}
		switch {
		case took <= 0 || l.incarnation != incarnation:
		case l.took == 0:
			l.took = took.Seconds()
		default:
			l.took += responseWeight * (took.Seconds() - l.took)
		}
	}
}
