package crashguard

import (
	"slices"
	"time"
)

const (
	// givenUpLifetime is the time after which a server's end is not attributed to a request that was
	// given up there. Servers end most requests when their connection closes, and the others at their
	// deadline.
	givenUpLifetime = 3 * time.Second
	// brokenLifetime is the same for a send whose connection broke: a process that crashes may close its
	// listener after its connections.
	brokenLifetime = 200 * time.Millisecond
	// maxCheckGap is the time before the end of the lifetime after which a server must have been seen alive to
	// have survived a send: a gateway that was frozen meanwhile has not seen whether it ended.
	maxCheckGap = time.Second
	// maxGivenUp bounds the table.
	maxGivenUp = 2048
)

// GivenUpSend is a send that was given up, or whose connection broke, before the server had begun an
// answer.
type GivenUpSend struct {
	ID string
	// Service is set for a call to an application server.
	Service string
	Parts   []uint64
	// Trial holds the parts whose trial the request still is.
	Trial []uint64
	// Broken is set if the server closed the connection, and not set if the request was given up.
	Broken bool
	At     time.Time
	// aliveAt is the time of the last check that has not found the server ended.
	aliveAt time.Time
}

// Survived reports whether the server was checked until the end of the lifetime of a send that was given up.
func (s GivenUpSend) Survived() bool {
	return !s.Broken && s.aliveAt.Sub(s.At) >= givenUpLifetime-maxCheckGap
}

func (s GivenUpSend) lifetime() time.Duration {
	if s.Broken {
		return brokenLifetime
	}
	return givenUpLifetime
}

// Losses returns the parts of the send after its server has ended.
func (s GivenUpSend) Losses() []PartLoss {
	var lost []PartLoss
	for _, part := range s.Parts {
		lost = append(lost, PartLoss{Part: part, Trial: slices.Contains(s.Trial, part), GivenUp: !s.Broken})
	}
	return lost
}

// GivenUp is the table of sends without an answer, recorded while the server may still have been running
// them, by the server's incarnation. The zero value is an empty table. It is not safe for concurrent use.
type GivenUp struct {
	sends map[Loss][]GivenUpSend
	count int
}

// Add adds a send to an incarnation of a server. It returns false if the table is full.
func (g *GivenUp) Add(server Loss, s GivenUpSend) bool {
	if g.count >= maxGivenUp {
		return false
	}
	if g.sends == nil {
		g.sends = map[Loss][]GivenUpSend{}
	}
	g.sends[server] = append(g.sends[server], s)
	g.count++
	return true
}

// Alive records a check that has not found an incarnation of a server ended.
func (g *GivenUp) Alive(now time.Time, server Loss) {
	sends := g.sends[server]
	for i := range sends {
		sends[i].aliveAt = now
	}
}

// Expire removes the sends to which the end of their server is no longer attributed, and returns them.
func (g *GivenUp) Expire(now time.Time) []GivenUpSend {
	return g.remove(func(_ Loss, s GivenUpSend) bool { return now.Sub(s.At) > s.lifetime() })
}

// Ended removes the sends that an incarnation of a server may have ended with, and returns them.
func (g *GivenUp) Ended(server Loss) []GivenUpSend {
	return g.remove(func(l Loss, _ GivenUpSend) bool { return l.same(server, 0) })
}

// Waiting reports whether there are sends to an incarnation of a server.
func (g *GivenUp) Waiting(server Loss) bool { return len(g.sends[server]) > 0 }

func (g *GivenUp) remove(matches func(Loss, GivenUpSend) bool) []GivenUpSend {
	var removed []GivenUpSend
	for server, sends := range g.sends {
		var kept []GivenUpSend
		for _, s := range sends {
			if matches(server, s) {
				removed = append(removed, s)
			} else {
				kept = append(kept, s)
			}
		}
		g.sends[server] = kept
		if len(kept) == 0 {
			delete(g.sends, server)
		}
	}
	g.count -= len(removed)
	return removed
}
