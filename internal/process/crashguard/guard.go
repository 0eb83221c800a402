// Package crashguard remembers which requests were running when engines were
// lost, so that a request that crashes every engine that runs it is isolated
// after the first loss and refused after the second.
package crashguard

import (
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// suspectLife is the time after its last loss or refusal for which a request
	// is a suspect.
	suspectLife = 10 * time.Minute
	// retellAfter is the time after which a refusal is told to the other gateways
	// again. Without that, a request that keeps coming would expire at a gateway
	// that it has not reached for a while, and take down a third engine there.
	retellAfter = 2 * time.Minute
	// maxSuspects bounds the table: 8,192 entries take about 2 MB. A loss of 14
	// engines makes about 500 suspects.
	maxSuspects = 8192
	// refuseAt is the number of losses after which a request is refused.
	refuseAt = 2
	// sameLoss is the time within which reports of an engine whose incarnation
	// the reporter does not know mean the same loss as any other report.
	sameLoss = 10 * time.Second
)

// Verdict says what to do with a request.
type Verdict int

// The values of Verdict.
const (
	// Clear means that the request was running at no lost engine.
	Clear Verdict = iota
	// Isolate means that it may run only on a replica with no other suspect.
	Isolate
	// Refuse means that it was running at two lost engines.
	Refuse
)

// Loss is the loss of one start of an engine. All reports of one loss are equal.
type Loss struct {
	Engine string
	// Incarnation is empty if the reporter does not know it.
	Incarnation string
}

// Report tells other gateways of a loss, or of requests that finished.
type Report struct {
	Loss         Loss
	Fingerprints []uint64
	// Finished lists requests that ran to their end after a loss.
	Finished []uint64
	// Refused lists requests that are still being sent and refused.
	Refused []uint64
}

type suspect struct {
	losses  map[Loss]time.Time
	refused bool
	until   time.Time
	// told is the time when the others last heard of it.
	told time.Time
}

// Guard is the table of suspects. It is not safe for concurrent use.
type Guard struct {
	suspects *simplelru.LRU[uint64, *suspect]
}

// New returns an empty table.
func New() *Guard {
	lru, _ := simplelru.NewLRU[uint64, *suspect](maxSuspects, nil) // fails for sizes under 1 only
	return &Guard{suspects: lru}
}

// EngineLost counts a loss for each request that was running there. It returns
// the requests for which the loss is new.
func (g *Guard) EngineLost(now time.Time, engine, incarnation string, fingerprints []uint64) []uint64 {
	var news []uint64
	for _, f := range fingerprints {
		if g.add(now, f, Loss{engine, incarnation}) {
			news = append(news, f)
		}
	}
	return news
}

func (g *Guard) add(now time.Time, fingerprint uint64, l Loss) bool {
	s := g.obtain(now, fingerprint)
	for known, at := range s.losses {
		if known == l {
			return false
		}
		unsure := known.Incarnation == "" || l.Incarnation == ""
		if known.Engine == l.Engine && unsure && now.Sub(at) < sameLoss {
			return false
		}
	}
	if len(s.losses) < refuseAt {
		s.losses[l] = now
	}
	s.refused = s.refused || len(s.losses) >= refuseAt
	s.until, s.told = now.Add(suspectLife), now
	return true
}

// obtain returns a suspect, a new one if there is none.
func (g *Guard) obtain(now time.Time, fingerprint uint64) *suspect {
	s := g.find(now, fingerprint)
	if s == nil {
		s = &suspect{losses: map[Loss]time.Time{}}
		g.suspects.Add(fingerprint, s)
	}
	return s
}

// find returns a suspect that has not expired, or nil.
func (g *Guard) find(now time.Time, fingerprint uint64) *suspect {
	s, ok := g.suspects.Get(fingerprint)
	if !ok {
		return nil
	}
	if now.After(s.until) {
		g.suspects.Remove(fingerprint)
		return nil
	}
	return s
}

// Check returns what to do with a request.
func (g *Guard) Check(now time.Time, fingerprint uint64) Verdict {
	s := g.find(now, fingerprint)
	switch {
	case s == nil:
		return Clear
	case s.refused:
		return Refuse
	}
	return Isolate
}

// Refused records that a request was refused, so that it stays a suspect while
// it is being sent. It reports whether the other gateways are to be told.
func (g *Guard) Refused(now time.Time, fingerprint uint64) bool {
	s := g.find(now, fingerprint)
	if s == nil || !s.refused {
		return false
	}
	s.until = now.Add(suspectLife)
	if now.Sub(s.told) < retellAfter {
		return false
	}
	s.told = now
	return true
}

// Finished clears a request that ran to its end and reports whether it was a
// suspect.
func (g *Guard) Finished(fingerprint uint64) bool { return g.suspects.Remove(fingerprint) }

// Merge takes over another gateway's report. It returns the requests whose
// verdict changed.
func (g *Guard) Merge(now time.Time, r Report) []uint64 {
	news := g.EngineLost(now, r.Loss.Engine, r.Loss.Incarnation, r.Fingerprints)
	for _, f := range r.Refused {
		s := g.obtain(now, f)
		if !s.refused {
			news = append(news, f)
		}
		s.refused, s.until, s.told = true, now.Add(suspectLife), now
	}
	for _, f := range r.Finished {
		if g.Finished(f) {
			news = append(news, f)
		}
	}
	return news
}

// Reports returns the whole table as reports for a gateway that has missed some.
func (g *Guard) Reports(now time.Time) []Report {
	byLoss := map[Loss]*Report{}
	rest := &Report{}
	for _, f := range g.Suspects(now) {
		s, _ := g.suspects.Peek(f)
		if s.refused {
			rest.Refused = append(rest.Refused, f)
		}
		for l := range s.losses {
			if byLoss[l] == nil {
				byLoss[l] = &Report{Loss: l}
			}
			byLoss[l].Fingerprints = append(byLoss[l].Fingerprints, f)
		}
	}
	out := []Report{*rest}
	for _, r := range byLoss {
		out = append(out, *r)
	}
	return out
}

// Suspects returns the fingerprints in the table, sorted.
func (g *Guard) Suspects(now time.Time) []uint64 {
	var out []uint64
	for _, f := range g.suspects.Keys() {
		if s, ok := g.suspects.Peek(f); ok && !now.After(s.until) {
			out = append(out, f)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
