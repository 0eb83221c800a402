package crashguard

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxParts bounds the table of suspect parts, and maxProofs that of parts on which an
	// answer was seen recently. The loss of 14 engines with 24 requests of 3 parts each adds
	// about 1,000 parts.
	maxParts  = 8192
	maxProofs = 4096
	// maxLosses bounds the losses that are kept for one part.
	maxLosses = 16
	// proofLifetime is the time for which an answer on a part outweighs a later loss.
	// It is short, because a part may become fatal when engines change their software.
	proofLifetime = 2 * time.Second
	// clearingSurvivals is the number of servers in a row that have to survive the trial of a part, given up
	// there, to clear it: the server may not have begun to run it.
	clearingSurvivals = 2
	// maxEnds bounds the ends of servers that are kept.
	maxEnds = 256
	// otherEndInterval is the time between the ends of two servers of a service within which they may
	// have a common cause: the end of one that ran no trial makes that of the other doubtful.
	otherEndInterval = 2 * time.Second
	// lossInterval is the time within which losses count once. Engines that stop at the
	// same moment have a common cause more often than a part that is run on all of them.
	lossInterval = time.Second
	// lossWeight is the weight of a loss outside of trials, and trialWeight that of one during a trial: other
	// suspects that also ran there are ruled out. weakTrialWeight is the weight if the server may have
	// ended for another reason: the trial, or that of another part, was given up before, or another server
	// ended at the time. doubtfulTrialWeight is the weight if both are the case.
	lossWeight          = 2
	trialWeight         = 4
	weakTrialWeight     = 2
	doubtfulTrialWeight = 1
	// maxOtherEnds is the number of other servers of the service whose ends, close to that of the server with a
	// given-up trial, leave the loss in this trial without weight.
	maxOtherEnds = 2
	// refusePartAt is the weight of losses at which a part is refused.
	refusePartAt = 6
	// minRetrial and maxRetrial bound the time after which a refused part is tried once more. It
	// doubles with each loss. Without another trial, a part that was refused by mistake
	// would stay so as long as callers send it.
	minRetrial = time.Minute
	maxRetrial = 10 * time.Minute
	// maxLostTrials bounds the trials in which engines are lost. A part that goes on crashing them is then
	// refused until callers have not sent it for suspectTTL.
	maxLostTrials = 3
)

// noRetrial is a time after the end of all suspicions.
const noRetrial = 100 * 365 * 24 * time.Hour

// PartLoss is a part of a prompt for which an engine had not begun an answer when it was lost.
type PartLoss struct {
	Part uint64
	// Trial is set if the request with the part was its trial.
	Trial bool
	// GivenUp is set if the request was given up before the loss.
	GivenUp bool
	// Age is the time since the loss.
	Age time.Duration
}

// Parts is the table of prompt parts that may crash engines, whatever else a request holds.
// An engine that begins an answer on such a part is lost, so a part is cleared by any answer,
// and suspected if it was read by an engine that was lost without having begun to answer.
// A suspect part runs in one request at a time, its trial. Parts is not safe for concurrent use.
type Parts struct {
	suspects *simplelru.LRU[uint64, *suspectPart]
	// proofs holds the time of the latest answer on a part.
	proofs *simplelru.LRU[uint64, time.Time]
	// ends holds the ends of application servers with calls.
	ends *simplelru.LRU[Loss, serverEnd]
}

// serverEnd is the end of an application server.
type serverEnd struct {
	service string
	at      time.Time
}

type suspectPart struct {
	losses []partLoss
	// survivals counts the servers that have survived a trial since the last loss.
	survivals int
	until     time.Time
	// retrialAt is the time of the next trial of a refused part, and zero for others.
	retrialAt time.Time
	// broadcastAt is when the part was last reported to or by another gateway.
	broadcastAt time.Time
}

type partLoss struct {
	loss Loss
	at   time.Time
	// trial and givenUp are as in PartLoss.
	trial, givenUp bool
}

// NewParts returns an empty table.
func NewParts() *Parts {
	suspects, _ := simplelru.NewLRU[uint64, *suspectPart](maxParts, nil) // fails for sizes under 1 only
	proofs, _ := simplelru.NewLRU[uint64, time.Time](maxProofs, nil)
	ends, _ := simplelru.NewLRU[Loss, serverEnd](maxEnds, nil)
	return &Parts{suspects: suspects, proofs: proofs, ends: ends}
}

// ServerEnded records that an application server has ended, whether or not a call is suspected
// of that, and reports whether that is new.
func (p *Parts) ServerEnded(now time.Time, service string, loss Loss) bool {
	if known, ok := p.ends.Peek(loss); ok && (loss.Incarnation != "" || now.Sub(known.at) < sameLossWindow) {
		return false
	}
	p.ends.Add(loss, serverEnd{service, now})
	p.reweigh(now, func(l partLoss) bool { return l.trial })
	return true
}

// reweigh judges the parts again that have a loss of which the weight may have changed with other evidence.
func (p *Parts) reweigh(now time.Time, changed func(partLoss) bool) {
	for _, part := range p.suspects.Keys() {
		s, _ := p.suspects.Peek(part)
		if slices.ContainsFunc(s.losses, changed) && s.retrialAt.IsZero() == (p.weight(s) >= refusePartAt) {
			p.judge(now, s)
		}
	}
}

// otherEnds returns, for each loss of a part in a trial, the number of other servers of the service that ended
// at about the same time without a request with the part, maxOtherEnds at most. Each of them makes one loss doubtful,
// so that a part which goes on crashing servers is refused although others end from time to time.
func (p *Parts) otherEnds(s *suspectPart) []int {
	count := make([]int, len(s.losses))
	counted := map[Loss]bool{}
	for i, l := range s.losses {
		end, ok := p.ends.Peek(l.loss)
		if !ok || !l.trial {
			continue
		}
		for _, other := range p.ends.Keys() {
			o, _ := p.ends.Peek(other)
			if count[i] < maxOtherEnds && !counted[other] && o.service == end.service && !s.has(other) &&
				o.at.Sub(end.at).Abs() < otherEndInterval && !p.hasTrial(other) {
				counted[other] = true
				count[i]++
			}
		}
	}
	return count
}

// hasTrial reports whether a server ended in the trial of a part, which explains its end.
func (p *Parts) hasTrial(loss Loss) bool {
	return p.anyLoss(func(l partLoss) bool { return l.loss == loss && l.trial })
}

// hasGivenUpTrial reports whether a trial was given up at a server before its loss.
func (p *Parts) hasGivenUpTrial(loss Loss) bool {
	return p.anyLoss(func(l partLoss) bool { return l.loss == loss && l.trial && l.givenUp })
}

func (p *Parts) anyLoss(matches func(partLoss) bool) bool {
	for _, part := range p.suspects.Keys() {
		if s, _ := p.suspects.Peek(part); slices.ContainsFunc(s.losses, matches) {
			return true
		}
	}
	return false
}

func (s *suspectPart) has(loss Loss) bool {
	return slices.ContainsFunc(s.losses, func(l partLoss) bool { return l.loss == loss })
}

// EngineLost records the loss of an engine for the parts of requests that it had not begun to
// answer. It returns the parts for which the loss is new, and those that an answer has
// cleared, of which the reporter of the loss has to be informed.
func (p *Parts) EngineLost(now time.Time, loss Loss, lost []PartLoss) (added []PartLoss, cleared []uint64) {
	for _, l := range lost {
		switch {
		case p.provenSince(now.Add(-l.Age-proofLifetime), l.Part):
			cleared = append(cleared, l.Part)
		case p.add(now, loss, l):
			added = append(added, l)
		}
	}
	return added, cleared
}

func (p *Parts) provenSince(earliest time.Time, part uint64) bool {
	at, ok := p.proofs.Peek(part)
	return ok && at.After(earliest)
}

func (p *Parts) add(now time.Time, loss Loss, l PartLoss) bool {
	at := now.Add(-l.Age)
	s := p.find(now, l.Part)
	if s == nil {
		s = &suspectPart{}
		p.suspects.Add(l.Part, s)
	}
	for i, known := range s.losses {
		if known.loss.same(loss, at.Sub(known.at).Abs()) {
			upgraded := strength(l.Trial, l.GivenUp) > strength(known.trial, known.givenUp)
			if upgraded {
				s.losses[i].trial, s.losses[i].givenUp = l.Trial, l.GivenUp
				p.reweigh(now, func(l partLoss) bool { return l.trial && l.loss == loss })
			}
			p.judge(now, s)
			return upgraded
		}
	}
	if len(s.losses) == maxLosses {
		s.losses = slices.Delete(s.losses, 0, 1)
	}
	s.losses = append(s.losses, partLoss{loss, at, l.Trial, l.GivenUp})
	slices.SortStableFunc(s.losses, func(a, b partLoss) int { return a.at.Compare(b.at) })
	s.until, s.broadcastAt, s.survivals = now.Add(suspectTTL), now, 0
	p.judge(now, s)
	if l.Trial && l.GivenUp {
		p.reweigh(now, func(l partLoss) bool { return l.trial && l.loss == loss })
	}
	return true
}

// TrialSurvived records that a server has survived a trial of these parts that was given up there. It
// returns the parts that this has changed. Each survival outweighs one loss in a trial that was given
// up, too, or is doubtful.
func (p *Parts) TrialSurvived(now time.Time, parts []uint64) []uint64 {
	var changed []uint64
	for _, part := range parts {
		s := p.find(now, part)
		if s == nil {
			continue
		}
		changed = append(changed, part)
		s.survivals++
		last, others := -1, p.otherEnds(s)
		for i, l := range s.losses {
			if l.trial && (l.givenUp || others[i] > 0) {
				last = i
			}
		}
		switch {
		case last >= 0:
			s.losses = slices.Delete(s.losses, last, last+1)
		case s.survivals >= clearingSurvivals:
			s.losses = slices.DeleteFunc(s.losses, func(l partLoss) bool { return l.givenUp })
		}
		p.judge(now, s)
		if len(s.losses) == 0 {
			p.suspects.Remove(part)
		}
	}
	return changed
}

// strength orders the reports of one loss: the strongest one counts.
func strength(trial, givenUp bool) int {
	strength := 0
	if trial {
		strength += 2
	}
	if !givenUp {
		strength++
	}
	return strength
}

// weight returns the weight of the evidence against a part.
func (p *Parts) weight(s *suspectPart) int {
	weight := 0
	var counted time.Time
	givenUp := false
	others := p.otherEnds(s)
	for i, l := range s.losses {
		switch {
		case l.givenUp && !l.trial:
			givenUp = true
		case l.trial:
			weight += p.trialLossWeight(l, others[i])
		case counted.IsZero() || l.at.Sub(counted) >= lossInterval:
			weight += lossWeight
			counted = l.at
		}
	}
	if givenUp && counted.IsZero() {
		// Such sends are at several servers at the same time, of which some may end for other reasons.
		weight += lossWeight
	}
	return weight
}

// trialLossWeight returns the weight of a loss in a trial, at the time of which a number of other servers ended.
func (p *Parts) trialLossWeight(l partLoss, otherEnds int) int {
	switch {
	case l.givenUp && otherEnds >= maxOtherEnds:
		return 0
	case l.givenUp && otherEnds > 0:
		return doubtfulTrialWeight
	case l.givenUp || otherEnds > 0 || p.hasGivenUpTrial(l.loss):
		return weakTrialWeight
	default:
		return trialWeight
	}
}

// lostTrials returns the number of trials in which engines were lost, but for doubtful ones.
func (p *Parts) lostTrials(s *suspectPart) int {
	n, others := 0, p.otherEnds(s)
	for i, l := range s.losses {
		if l.trial && others[i] == 0 {
			n++
		}
	}
	return n
}

// judge sets the time of the next trial after the evidence has changed.
func (p *Parts) judge(now time.Time, s *suspectPart) {
	excess := p.weight(s) - refusePartAt
	if excess < 0 {
		s.retrialAt = time.Time{}
		return
	}
	if p.lostTrials(s) >= maxLostTrials {
		s.retrialAt = now.Add(noRetrial)
		return
	}
	wait := minRetrial
	for ; excess >= trialWeight && wait < maxRetrial; excess -= trialWeight {
		wait *= 2
	}
	s.retrialAt = now.Add(min(wait, maxRetrial))
}

// find returns a suspect part, or nil if the part is none or its suspicion has expired.
func (p *Parts) find(now time.Time, part uint64) *suspectPart {
	s, ok := p.suspects.Get(part)
	if !ok {
		return nil
	}
	if now.After(s.until) {
		p.suspects.Remove(part)
		return nil
	}
	return s
}

// Check returns the verdict on a request with these parts: Clear, AwaitTrial with the parts whose
// trial the request has to become, or Refuse.
func (p *Parts) Check(now time.Time, parts []uint64) (Verdict, []uint64) {
	var suspects []uint64
	for _, part := range parts {
		s := p.find(now, part)
		if s == nil {
			continue
		}
		if now.Before(s.retrialAt) && !p.explainedElsewhere(now, s, parts) {
			return Refuse, nil
		}
		suspects = append(suspects, part)
	}
	if len(suspects) > 0 {
		return AwaitTrial, suspects
	}
	return Clear, nil
}

// explainedElsewhere reports whether a part that a request doesn't have explains all losses of a
// suspect part, as the two came in the same requests. A trial without the other part tells which
// of them crashes engines.
func (p *Parts) explainedElsewhere(now time.Time, s *suspectPart, parts []uint64) bool {
	for _, other := range p.suspects.Keys() {
		o, ok := p.suspects.Peek(other)
		if ok && now.Before(o.retrialAt) && !now.After(o.until) && !slices.Contains(parts, other) && o.explains(s) {
			return true
		}
	}
	return false
}

// explains reports whether a part has all losses of another one. The loss of a trial is explained
// only by parts that were in it, as other suspects that ran there are ruled out.
func (s *suspectPart) explains(other *suspectPart) bool {
	return !slices.ContainsFunc(other.losses, func(l partLoss) bool {
		return !slices.ContainsFunc(s.losses, func(own partLoss) bool { return own.loss == l.loss && (own.trial || !l.trial) })
	})
}

// Answered records that an engine has begun an answer on these parts. It returns the parts that
// this has cleared.
func (p *Parts) Answered(now time.Time, parts []uint64) []uint64 {
	for _, part := range parts {
		p.proofs.Add(part, now)
	}
	return p.Clear(parts)
}

// Clear removes suspect parts and returns those that were suspects.
func (p *Parts) Clear(parts []uint64) []uint64 {
	var cleared []uint64
	for _, part := range parts {
		if p.suspects.Remove(part) {
			cleared = append(cleared, part)
		}
	}
	return cleared
}

// EngineSurvived withdraws the loss of an engine that was only unreachable. It returns the parts
// that it changed.
func (p *Parts) EngineSurvived(now time.Time, loss Loss) []uint64 {
	return p.Withdraw(now, loss, p.suspects.Keys())
}

// Withdraw withdraws a loss for the given parts and returns those that it changed.
func (p *Parts) Withdraw(now time.Time, loss Loss, parts []uint64) []uint64 {
	var changed []uint64
	for _, part := range parts {
		s, ok := p.suspects.Peek(part)
		if !ok {
			continue
		}
		kept := slices.DeleteFunc(slices.Clone(s.losses), func(l partLoss) bool { return l.loss == loss })
		if len(kept) == len(s.losses) {
			continue
		}
		changed = append(changed, part)
		s.losses = kept
		p.judge(now, s)
		if len(kept) == 0 {
			p.suspects.Remove(part)
		}
	}
	return changed
}

// Refused records that a request was refused, so that its refused parts stay suspects while
// callers keep sending them. It returns the parts of which the caller must inform the other
// gateways.
func (p *Parts) Refused(now time.Time, parts []uint64) []uint64 {
	var due []uint64
	for _, part := range parts {
		s := p.find(now, part)
		if s == nil || s.retrialAt.IsZero() {
			continue
		}
		s.until = now.Add(suspectTTL)
		if now.Sub(s.broadcastAt) >= rebroadcastAfter {
			s.broadcastAt = now
			due = append(due, part)
		}
	}
	return due
}

// RefusedElsewhere records that another gateway refuses these parts.
func (p *Parts) RefusedElsewhere(now time.Time, parts []uint64) {
	for _, part := range parts {
		if s := p.find(now, part); s != nil {
			s.until, s.broadcastAt = now.Add(suspectTTL), now
		}
	}
}

// Losses returns the table by loss, for a gateway that has missed some.
func (p *Parts) Losses(now time.Time) map[Loss][]PartLoss {
	out := map[Loss][]PartLoss{}
	for _, part := range p.suspects.Keys() {
		if s, ok := p.suspects.Peek(part); ok && !now.After(s.until) {
			for _, l := range s.losses {
				out[l.loss] = append(out[l.loss], PartLoss{Part: part, Trial: l.trial, GivenUp: l.givenUp, Age: now.Sub(l.at)})
			}
		}
	}
	return out
}
