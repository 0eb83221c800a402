// Package crashguard records which requests were running on engines when they were
// lost. A request that crashes every engine that runs it is thus isolated after the
// first loss and refused after the second.
package crashguard

import (
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// suspectTTL is how long a request stays a suspect after its last loss or refusal.
	suspectTTL = 10 * time.Minute
	// rebroadcastAfter is the minimum time between two reports of the same refused
	// request to the other gateways. Without repeated reports, a request that is still
	// being sent would expire at a gateway that has not received it for a while, and
	// could crash a third engine from there.
	rebroadcastAfter = 2 * time.Minute
	// maxSuspects bounds the table. 8,192 entries take about 2 MB; the loss of 14
	// engines adds about 500.
	maxSuspects = 8192
	// refuseAt is the number of losses after which a request is refused.
	refuseAt = 2
	// sameLossWindow is the time within which two reports about an engine count as the
	// same loss if at least one of them doesn't know the engine's incarnation.
	sameLossWindow = 10 * time.Second
)

// Verdict is the decision on how to handle a request.
type Verdict int

// The values of Verdict.
const (
	// Clear means that the request was not running on any lost engine.
	Clear Verdict = iota
	// Isolate means that the request may run only on a replica with no other suspect.
	Isolate
	// AwaitTrial means that the request has to become the trial of suspect parts before it
	// may run.
	AwaitTrial
	// Refuse means that the request was running on two lost engines, or that a part of its
	// prompt has crashed engines.
	Refuse
)

// Loss identifies the loss of one incarnation of an engine. Reports of the same loss
// have equal values, unless a reporter doesn't know the incarnation.
type Loss struct {
	Engine string
	// Incarnation is empty if the reporter does not know it.
	Incarnation string
}

// same reports whether two reports, which arrived this far apart, are of the same loss.
func (l Loss) same(other Loss, apart time.Duration) bool {
	unsure := l.Incarnation == "" || other.Incarnation == ""
	return l == other || l.Engine == other.Engine && unsure && apart < sameLossWindow
}

// Report informs other gateways of a loss with the fingerprints of the requests that
// were running, of requests that finished, or of requests that are refused.
type Report struct {
	Loss Loss
	// Service is set if Loss is that of an application server.
	Service      string
	Fingerprints []uint64
	// Finished lists suspects that have completed since the loss.
	Finished []uint64
	// Refused lists requests that are still being sent and refused.
	Refused []uint64
	// Survived lists suspects of Loss, if the engine has answered since under the same
	// incarnation and so was only unreachable.
	Survived []uint64
	// Parts lists the parts of prompts for which the engine of Loss had not begun an answer.
	Parts []PartLoss
	// AnsweredParts lists suspect parts on which an engine has begun an answer since, and
	// SurvivedParts those of Loss, like Survived.
	AnsweredParts []uint64
	SurvivedParts []uint64
	// SurvivedTrials lists parts whose trial was given up at a server that has survived it.
	SurvivedTrials []uint64
	// RefusedParts lists parts of prompts that are still being sent and refused.
	RefusedParts []uint64
}

type suspect struct {
	losses  map[Loss]time.Time
	refused bool
	until   time.Time
	// broadcastAt is when the suspect was last reported to or by another gateway.
	broadcastAt time.Time
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

// EngineLost records the loss of an engine for each request that was running on it. It
// returns the fingerprints for which the loss is new.
func (g *Guard) EngineLost(now time.Time, engine, incarnation string, fingerprints []uint64) []uint64 {
	var added []uint64
	for _, f := range fingerprints {
		if g.add(now, f, Loss{engine, incarnation}) {
			added = append(added, f)
		}
	}
	return added
}

// EngineSurvived withdraws the loss of an engine that was only unreachable: it has answered
// under the same incarnation. It returns the fingerprints that it changed.
func (g *Guard) EngineSurvived(engine, incarnation string) []uint64 {
	var changed []uint64
	for _, f := range g.suspects.Keys() {
		if g.withdraw(f, Loss{engine, incarnation}) {
			changed = append(changed, f)
		}
	}
	return changed
}

func (g *Guard) withdraw(fingerprint uint64, l Loss) bool {
	s, ok := g.suspects.Peek(fingerprint)
	if !ok {
		return false
	}
	if _, lost := s.losses[l]; !lost {
		return false
	}
	delete(s.losses, l)
	s.refused = s.refused && len(s.losses) >= refuseAt
	if len(s.losses) == 0 {
		g.suspects.Remove(fingerprint)
	}
	return true
}

func (g *Guard) add(now time.Time, fingerprint uint64, l Loss) bool {
	s := g.getOrAdd(now, fingerprint)
	for known, at := range s.losses {
		if known.same(l, now.Sub(at)) {
			return false
		}
	}
	if len(s.losses) < refuseAt {
		s.losses[l] = now
	}
	s.refused = s.refused || len(s.losses) >= refuseAt
	s.until, s.broadcastAt = now.Add(suspectTTL), now
	return true
}

// getOrAdd returns the suspect with a fingerprint and adds it if necessary.
func (g *Guard) getOrAdd(now time.Time, fingerprint uint64) *suspect {
	s := g.find(now, fingerprint)
	if s == nil {
		s = &suspect{losses: map[Loss]time.Time{}}
		g.suspects.Add(fingerprint, s)
	}
	return s
}

// find returns the suspect with a fingerprint, or nil if there is none or it has
// expired.
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

// Check returns the verdict on a request.
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
// callers keep resending it. Refused reports whether the caller must inform the other gateways.
func (g *Guard) Refused(now time.Time, fingerprint uint64) bool {
	s := g.find(now, fingerprint)
	if s == nil || !s.refused {
		return false
	}
	s.until = now.Add(suspectTTL)
	if now.Sub(s.broadcastAt) < rebroadcastAfter {
		return false
	}
	s.broadcastAt = now
	return true
}

// Finished removes a request that has completed and reports whether it was a suspect.
func (g *Guard) Finished(fingerprint uint64) bool { return g.suspects.Remove(fingerprint) }

// Merge applies another gateway's report. It returns the fingerprints that it changed:
// those with a new or withdrawn loss, those newly refused and those removed.
func (g *Guard) Merge(now time.Time, r Report) []uint64 {
	changed := g.EngineLost(now, r.Loss.Engine, r.Loss.Incarnation, r.Fingerprints)
	for _, f := range r.Refused {
		s := g.getOrAdd(now, f)
		if !s.refused {
			changed = append(changed, f)
		}
		s.refused, s.until, s.broadcastAt = true, now.Add(suspectTTL), now
	}
	for _, f := range r.Survived {
		if g.withdraw(f, r.Loss) {
			changed = append(changed, f)
		}
	}
	for _, f := range r.Finished {
		if g.Finished(f) {
			changed = append(changed, f)
		}
	}
	return changed
}

// Reports returns the whole table as reports, for a gateway that has missed some.
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

// Suspects returns the fingerprints of all unexpired suspects, sorted.
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
