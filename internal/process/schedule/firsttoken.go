package schedule

import (
	"time"
)

const (
	// prefillPrior is the time that an engine takes for a prompt token while it also generates, until
	// this group has observed it: engines prefill 14 tokens per millisecond between the steps of their
	// batch.
	prefillPrior = time.Second / 14_000
	// minPrefill and maxPrefill bound the learned time, so that a stalled engine or a cached prompt
	// does not decide for all others.
	minPrefill = prefillPrior / 2
	maxPrefill = prefillPrior * 4
	// prefillWeight is the weight of the newest observation in the moving average.
	prefillWeight = 0.05
	// firstTokenBase is the part of the time to the first token that does not grow with the prompts:
	// the steps in progress, the first step of the generation, and the network.
	firstTokenBase = 150 * time.Millisecond
	// firstTokenShare is the fraction of the time that is left until a request's target for which its
	// first token is planned. The rest covers the prompts that the gateway does not know of yet.
	firstTokenShare = 0.75
)

// prefill is the moving average of the time that engines take for a prompt token.
type prefill struct{ perToken time.Duration }

func (p *prefill) average() time.Duration {
	if p.perToken == 0 {
		return prefillPrior
	}
	return p.perToken
}

// observe records that a first token came after a time for which an engine had this many
// tokens to prefill, those of the generation included. slowness is that of the engine.
func (p *prefill) observe(tokens float64, took time.Duration, slowness float64) {
	if tokens <= 0 {
		return
	}
	sample := min(max(time.Duration(float64(took-firstTokenBase)/tokens/slowness), minPrefill), maxPrefill)
	p.perToken = p.average() + time.Duration(prefillWeight*float64(sample-p.average()))
}

// backlog estimates the prompt tokens that a replica has yet to prefill. What the gateways know of them
// is late, and stays too high until the first tokens of the generations are known everywhere. In
// between, the backlog shrinks at the speed at which engines prefill.
type backlog struct {
	tokens float64
	// known is the number of tokens that the gateways knew of at the time at.
	known int
	at    time.Time
}

// estimate returns the backlog if the gateways now know of a number of tokens.
func (b *backlog) estimate(now time.Time, known int, perToken time.Duration) float64 {
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens = max(0, b.tokens-float64(passed)/float64(perToken))
		b.at = now
	}
	b.tokens = min(b.tokens+float64(max(0, known-b.known)), float64(known))
	b.known = known
	return b.tokens
}

// prefillTime returns the time that a replica takes for a prompt token.
func (g *Group) prefillTime(r *replica) time.Duration {
	return time.Duration(g.slowness(r) * float64(g.prefill.average()))
}

// backlogOf returns the estimated prompt tokens that a replica has yet to prefill.
func (g *Group) backlogOf(now time.Time, r *replica) float64 {
	return r.backlog.estimate(now, r.unread(), g.prefillTime(r))
}

// firstToken returns the expected time until the first token of a prompt that is sent to a replica now.
func (g *Group) firstToken(now time.Time, r *replica, prompt int) time.Duration {
	tokens := g.backlogOf(now, r) + float64(prompt)
	return firstTokenBase + time.Duration(tokens*float64(g.prefillTime(r)))
}

// startsInTime reports whether the first token of a prompt is expected on a replica within a share of
// the time left. A replica without a backlog always qualifies: no other of its speed can be faster, and
// nobody waits behind the prompt yet.
//
// Load pattern: in a burst of long prompts all gateways fill the engines that have just started, whose slots
// and memory are free. Their prompts are read one after the other, so that urgent requests
// miss their target there while other engines have read theirs.
func (g *Group) startsInTime(now time.Time, r *replica, prompt int, left time.Duration) bool {
	if g.backlogOf(now, r) <= 0 {
		return true
	}
	return g.firstToken(now, r, prompt) <= time.Duration(firstTokenShare*float64(left))
}

// hasPrefillRoom reports whether a request's first token is expected in time on a replica. Only
// the shared policy knows what other gateways have sent. A generation that moves has no prompt to read.
func (g *Group) hasPrefillRoom(now time.Time, r *replica, q *Request) bool {
	if g.o.Policy != PolicyShared || q.Moving || q.FirstTokenBy.IsZero() {
		return true
	}
	return g.startsInTime(now, r, q.PromptTokens, q.FirstTokenBy.Sub(now))
}
