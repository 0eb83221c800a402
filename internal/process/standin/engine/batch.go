package engine

import (
	"time"

	"persimmonwing/internal/request/api"
)

// batch is the state of the simulated continuous batching. Only the loop
// goroutine accesses it.
type batch struct {
	settings *Settings
	pool     *kvPool
	prefixes *prefixCache
	streams  *registry
	running  rankedList
	waiting  rankedList
	byID     map[string]*sequence
	arrivals int64
	counters Counters
	stepMS   float64
	// lastEnd is the planned end of the last step. The next step is timed from
	// it, so that timer delays do not accumulate.
	lastEnd time.Time
}

// Counters are totals since the engine started, except MaxBatch, which is the
// setting, and Running and Waiting, which are current numbers of generations.
type Counters struct {
	Accepted   int64 `json:"accepted"`
	Completed  int64 `json:"completed"`
	Cancelled  int64 `json:"cancelled"`
	Incomplete int64 `json:"incomplete"`
	Preempted  int64 `json:"preempted"`
	Tokens     int64 `json:"tokens"`
	// BusySteps counts the steps with at least one sequence, and BatchSum is the
	// sum of their batch sizes. BatchSum / (BusySteps * MaxBatch) is the average
	// fraction of batch slots in use.
	BusySteps int64 `json:"busy_steps"`
	BatchSum  int64 `json:"batch_sum"`
	MaxBatch  int   `json:"max_batch"`
	// BusyMS is the time spent in steps and UptimeMS the time since the start,
	// both in milliseconds of real time.
	BusyMS   float64 `json:"busy_ms"`
	UptimeMS float64 `json:"uptime_ms"`
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
}

// add appends an accepted generation to the queue.
func (b *batch) add(r *api.CreateRequest, st *stream) {
	b.arrivals++
	q := newSequence(b.settings, r, st, b.arrivals)
	b.byID[st.id()] = q
	b.streams.add(st)
	b.waiting.insert(q)
	b.counters.Accepted++
}

// startStep admits the waiting sequences that fit and returns the end of the
// next step. If the batch is empty it returns false and the time at which the
// next preempted sequence may be admitted, or zero if there is none.
func (b *batch) startStep(now time.Time) (end, wake time.Time, ok bool) {
	prefill, wake := b.admit(now)
	if len(b.running) == 0 {
		b.lastEnd = time.Time{}
		return time.Time{}, wake, false
	}
	step := b.settings.StepBase + time.Duration(len(b.running))*b.settings.StepPerSequence
	d := b.settings.scaled(step + prefill)
	start := now
	if now.Sub(b.lastEnd) < d {
		start = b.lastEnd
	}
	b.lastEnd = start.Add(d)
	b.recordStep(d)
	return b.lastEnd, wake, true
}

// stepEMAWeight is the weight of the newest step in the exponential moving
// average of the step time.
const stepEMAWeight = 0.1

func (b *batch) recordStep(d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	if b.stepMS == 0 {
		b.stepMS = ms
	}
	b.stepMS += stepEMAWeight * (ms - b.stepMS)
	b.counters.BusyMS += ms
	b.counters.BusySteps++
	b.counters.BatchSum += int64(len(b.running))
}

// admit moves waiting sequences into the batch in rank order until one does not
// fit. It returns the time that their prefill adds to the step, and the earliest
// time at which a sequence that waits for SwapResumeDelay may be admitted.
func (b *batch) admit(now time.Time) (prefill time.Duration, wake time.Time) {
	kept := b.waiting[:0]
	blocked := false
	for _, q := range b.waiting {
		if !blocked && q.readyAt.After(now) {
			if wake.IsZero() || q.readyAt.Before(wake) {
				wake = q.readyAt
			}
			kept = append(kept, q)
			continue
		}
		need := b.pool.blocksFor(q.tokens())
		if blocked || len(b.running) >= b.settings.MaxBatch || !b.pool.reserve(need) {
			blocked = true
			kept = append(kept, q)
			continue
		}
		q.blocks = need
		b.running.insert(q)
		prefill += b.prefillTime(q)
	}
	clear(b.waiting[len(kept):])
	b.waiting = kept
	return prefill, wake
}

// prefillTime returns the simulated time of computing the tokens of q that are
// not in the prefix cache.
func (b *batch) prefillTime(q *sequence) time.Duration {
	hits := b.prefixes.access(q.prefixHashes)
	cached := hits * prefixBlockTokens
	tokens := max(0, q.promptTokens+q.generated-cached)
	return time.Duration(float64(tokens) / b.settings.PrefillTokensPerSecond * float64(time.Second))
}

// prefixBlockTokens is the size of a prefix block in tokens, at 4 bytes a token.
const prefixBlockTokens = api.PrefixBlockBytes / 4

// finishStep appends one token to each running sequence, in rank order. It
// returns false when a sequence with the crash marker reaches its first token.
func (b *batch) finishStep() bool {
	for _, q := range append(rankedList(nil), b.running...) {
		if !b.grow(q) {
			continue
		}
		if q.crashes && q.generated == 0 {
			return false
		}
		q.generated++
		b.counters.Tokens++
		q.stream.appendToken()
		switch {
		case q.generated >= q.length:
			b.counters.Completed++
			b.end(q, api.StatusCompleted, "")
		case q.generated >= q.limit:
			b.counters.Incomplete++
			b.end(q, api.StatusIncomplete, api.ReasonMaxOutputTokens)
		}
	}
	return true
}

// grow reserves KV memory for q's next token. If too little is free, it preempts
// the sequences of the lowest rank first. It returns false if q itself was
// preempted or has ended.
func (b *batch) grow(q *sequence) bool {
	if q.blocks == 0 {
		return false // q was preempted earlier in this step
	}
	if !b.pool.fits(q.tokens()) {
		b.counters.Incomplete++
		b.end(q, api.StatusIncomplete, api.ReasonKVCapacity)
		return false
	}
	need := b.pool.blocksFor(q.tokens()) - q.blocks
	for need > 0 && !b.pool.reserve(need) {
		victim := b.running[len(b.running)-1]
		b.preempt(victim)
		if victim == q {
			return false
		}
	}
	q.blocks += max(0, need)
	return true
}

// preempt releases q's KV memory and returns q to the queue. Its prefill is
// computed again at its next admission.
func (b *batch) preempt(q *sequence) {
	b.running.remove(q)
	b.freeBlocks(q)
	q.readyAt = time.Now().Add(b.settings.scaled(b.settings.SwapResumeDelay))
	b.waiting.insert(q)
	b.counters.Preempted++
}

func (b *batch) freeBlocks(q *sequence) {
	b.pool.release(q.blocks)
	q.blocks = 0
}

// end removes q from the batch or the queue and finishes its stream with a
// terminal event.
func (b *batch) end(q *sequence, status api.Status, reason string) {
	if !b.running.remove(q) {
		b.waiting.remove(q)
	}
	b.freeBlocks(q)
	delete(b.byID, q.stream.id())
	q.stream.finish(status, reason, q.promptTokens)
	b.streams.end(q.stream.id())
}

// cancel ends the generation with this id. It has no effect if the generation
// has already ended.
func (b *batch) cancel(id, reason string) {
	q := b.byID[id]
	if q == nil {
		return
	}
	b.counters.Cancelled++
	b.end(q, api.StatusCancelled, reason)
}
