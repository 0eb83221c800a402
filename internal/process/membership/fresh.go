package membership

import "time"

const (
	// pausedAfter is the time between two gossip rounds above which this process is
	// considered to have been paused.
	pausedAfter = 2500 * time.Millisecond
	// isolatedAfter is the time without an exchange after which this gateway polls the
	// host list itself, because it receives no copy from the elected pollers. With one
	// poll per second it still detects a leaving server within 3 s.
	isolatedAfter = 1500 * time.Millisecond
	// maxListWait is the maximum time to wait for the host list after a pause. If the
	// list cannot be read, the gateway continues with its last copy.
	maxListWait = 600 * time.Millisecond
)

// freshness tracks whether the view of backend servers may be out of date.
type freshness struct {
	// lastRound and lastExchange are the times of the last gossip round and of the last
	// exchange with a peer.
	lastRound, lastExchange time.Time
	// staleSince is the end of the last pause if the host list has not been read since
	// then, or else zero.
	staleSince time.Time
	// read is closed when the host list has been read after the pause.
	read chan struct{}
}

// detectPause sets staleSince if this process has been paused since the last round.
func (f *freshness) detectPause(now time.Time) {
	if !f.lastRound.IsZero() && now.Sub(f.lastRound) > pausedAfter {
		f.lastRound = now
		if f.staleSince.IsZero() {
			f.read = make(chan struct{})
		}
		f.staleSince = now
	}
}

func (f *freshness) startRound(now time.Time) {
	f.detectPause(now)
	f.lastRound = now
}

// listRead clears staleSince if the host list was requested after the pause.
func (f *freshness) listRead(requestedAt time.Time) {
	if !f.staleSince.IsZero() && !requestedAt.Before(f.staleSince) {
		f.staleSince = time.Time{}
		close(f.read)
	}
}

// needsList reports whether this gateway must read the host list even if it is not
// elected: after a pause, or without exchanges for isolatedAfter.
func (g *Gossiper) needsList(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fresh.detectPause(now)
	return !g.fresh.staleSince.IsZero() || now.Sub(g.fresh.lastExchange) > isolatedAfter
}

// recordExchange records an exchange with a peer.
func (g *Gossiper) recordExchange() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fresh.lastExchange = time.Now()
}

// AwaitFresh waits, after a pause of this process, until the host list has been read or
// 600 ms have passed. Otherwise it returns at once. Without the wait, a gateway that was
// frozen would send calls to servers that have been leaving for more than 3 s.
func (g *Gossiper) AwaitFresh() {
	g.mu.Lock()
	now := time.Now()
	g.fresh.detectPause(now)
	since, read := g.fresh.staleSince, g.fresh.read
	g.mu.Unlock()
	if since.IsZero() {
		return
	}
	rest := time.NewTimer(since.Add(maxListWait).Sub(now))
	defer rest.Stop()
	select {
	case <-read:
	case <-rest.C:
	}
}
