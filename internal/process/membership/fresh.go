package membership

import "time"

const (
	// pausedAfter is the gap between two rounds of gossip after which this process
	// must have been paused.
	pausedAfter = 2500 * time.Millisecond
	// isolatedAfter is the time without an exchange after which this gateway polls
	// the host list itself, since no poller's copy reaches it. With one poll each
	// second it still learns of a leaving server within 3 s.
	isolatedAfter = 1500 * time.Millisecond
	// wakeWait bounds the wait for a host list after a pause. A gateway that cannot
	// read it serves on with its last copy.
	wakeWait = 600 * time.Millisecond
)

// freshness tells whether the view of backend servers may be old.
type freshness struct {
	// beatAt is the time of the last round and heardAt that of the last exchange.
	beatAt, heardAt time.Time
	// staleSince is the end of a pause after which the host list was not read, or zero.
	staleSince time.Time
	// read is closed when the host list has been read after the pause.
	read chan struct{}
}

// noticePause sets staleSince if this process was paused.
func (f *freshness) noticePause(now time.Time) {
	if !f.beatAt.IsZero() && now.Sub(f.beatAt) > pausedAfter {
		f.beatAt = now
		if f.staleSince.IsZero() {
			f.read = make(chan struct{})
		}
		f.staleSince = now
	}
}

func (f *freshness) beat(now time.Time) {
	f.noticePause(now)
	f.beatAt = now
}

// listRead ends the staleness if the list was asked for after the pause.
func (f *freshness) listRead(askedAt time.Time) {
	if !f.staleSince.IsZero() && !askedAt.Before(f.staleSince) {
		f.staleSince = time.Time{}
		close(f.read)
	}
}

// needsList reports whether this gateway shall read the host list although it is
// not elected.
func (g *Gossiper) needsList(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fresh.noticePause(now)
	return !g.fresh.staleSince.IsZero() || now.Sub(g.fresh.heardAt) > isolatedAfter
}

// heard records an exchange with a peer.
func (g *Gossiper) heard() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fresh.heardAt = time.Now()
}

// AwaitFresh waits, after a pause of this process, until the host list was read or
// 600 ms have passed. Without it, a gateway that was frozen sends calls to servers
// that have been leaving for longer than 3 s.
func (g *Gossiper) AwaitFresh() {
	g.mu.Lock()
	now := time.Now()
	g.fresh.noticePause(now)
	since, read := g.fresh.staleSince, g.fresh.read
	g.mu.Unlock()
	if since.IsZero() {
		return
	}
	rest := time.NewTimer(since.Add(wakeWait).Sub(now))
	defer rest.Stop()
	select {
	case <-read:
	case <-rest.C:
	}
}
