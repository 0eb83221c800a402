package owner

import (
	"math"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/schedule"
)

const (
	// grantLife is the time after which a grant that is not renewed ends.
	grantLife = 3 * time.Second
	// endedIDs bounds the ids remembered so that a cancel or release that
	// overtakes its request or renewal still holds.
	endedIDs = 4096
	// longWait bounds the sleep of a group that has nothing to do.
	longWait = time.Second
)

// result ends the wait of a ticket.
type result struct {
	grant   schedule.Grant
	refusal *schedule.Refusal
	// moved is set when the group has another owner, to be asked instead.
	moved bool
}

// ticket is a waiting request. Several callers may wait for the same one when a
// gateway asks again after a lost connection.
type ticket struct {
	request schedule.Request
	// attempt is the highest number under which it was asked for.
	attempt int
	// refusals counts the grants that an arbiter refused.
	refusals int
	verdict  crashguard.Verdict
	done     chan struct{}
	result   result
}

func (t *ticket) end(r result) {
	t.result = r
	close(t.done)
}

// given is a grant in use. Its attempt is that of the last caller who got it.
type given struct {
	grant   schedule.Grant
	attempt int
}

// runner serialises the calls to one Group.
type runner struct {
	key   schedule.GroupKey
	id    GroupID // of key
	self  string
	check func(fingerprint uint64) crashguard.Verdict
	wake  chan struct{}
	stop  chan struct{}

	mu sync.Mutex
	// readyAt is the time of the first dispatch after the start or a pause, and
	// registrations are the gateways
	// that have registered until then.
	readyAt       time.Time
	registrations map[string]bool
	// lookedAt is the time of the last look at the queue.
	lookedAt time.Time
	group    Group
	waiting  map[string]*ticket
	granted  map[string]given
	byHash   map[uint32]string // ids of granted
	// ended holds the highest attempt that was cancelled or released of an id.
	ended    *simplelru.LRU[string, int]
	replicas []schedule.Replica
	owned    bool
	closed   bool
	usedAt   time.Time
	// confirm asks an arbiter whether a grant stands. Nil lets all stand.
	confirm func(*runner, pending)
	// undecided are the grants of the last dispatch that are to be confirmed.
	undecided []pending
}

func newRunner(key schedule.GroupKey, self string, g Group, check func(uint64) crashguard.Verdict) *runner {
	ended, _ := simplelru.NewLRU[string, int](endedIDs, nil) // fails for sizes under 1 only
	return &runner{
		key: key, id: groupID(key), self: self, check: check, group: g, ended: ended, usedAt: time.Now(),
		wake: make(chan struct{}, 1), stop: make(chan struct{}),
		waiting: map[string]*ticket{}, granted: map[string]given{}, byHash: map[uint32]string{},
	}
}

// run dispatches until the runner is closed.
func (r *runner) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-r.wake:
		case <-timer.C:
		}
		timer.Reset(r.dispatch(time.Now()))
		r.confirmAll()
	}
}

// confirmAll has the grants of the last dispatch confirmed, without the lock
// because the answers need it.
func (r *runner) confirmAll() {
	r.mu.Lock()
	undecided := r.undecided
	r.undecided = nil
	r.mu.Unlock()
	for _, p := range undecided {
		r.confirm(r, p)
	}
}

func (r *runner) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// dispatch ends the waits that can end and returns the time to the next look.
func (r *runner) dispatch(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lookedAt.IsZero() && now.Sub(r.lookedAt) > frozenAfter {
		// After a pause, replicas may have been leaving for long and other gateways
		// may have granted: wait for the host list and for renewals.
		r.readyAt, r.registrations = now.Add(takeover), nil
	}
	r.lookedAt = now
	if now.Before(r.readyAt) {
		return r.readyAt.Sub(now)
	}
	r.readyAt, r.registrations = time.Time{}, nil
	for _, d := range r.group.Dispatch(now) {
		r.decide(now, d)
	}
	next := r.group.NextWake(now)
	if next.IsZero() {
		return longWait
	}
	return min(max(next.Sub(now), time.Millisecond), longWait)
}

func (r *runner) decide(now time.Time, d schedule.Decision) {
	t, ok := r.waiting[d.Request.ID]
	if !ok {
		// The caller left, so the slot goes to the next one at once.
		if d.Refusal == nil {
			r.group.Release(now, d.Request.ID, schedule.Outcome{NotRun: true})
			r.poke()
		}
		return
	}
	delete(r.waiting, d.Request.ID)
	if d.Refusal != nil {
		t.end(result{refusal: d.Refusal})
		return
	}
	d.Grant.ID, d.Grant.Group, d.Grant.Owner = d.Request.ID, r.key, r.self
	r.keep(given{d.Grant, t.attempt})
	if r.confirm != nil {
		if c, ok := r.group.Reservation(d.Grant.ID); ok {
			r.undecided = append(r.undecided, pending{t, d.Grant, c})
			return
		}
	}
	t.end(result{grant: d.Grant})
}

// enqueue starts or joins the wait of a request. attempt counts how often its
// gateway has asked any owner for it.
func (r *runner) enqueue(now time.Time, q schedule.Request, attempt int) *ticket {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usedAt = now
	if t, ok := r.waiting[q.ID]; ok {
		t.attempt = max(t.attempt, attempt)
		return t
	}
	t := &ticket{request: q, attempt: attempt, done: make(chan struct{})}
	if g, ok := r.granted[q.ID]; ok {
		r.granted[q.ID] = given{g.grant, max(g.attempt, attempt)}
		t.end(result{grant: g.grant})
		return t
	}
	if last, ok := r.ended.Get(q.ID); r.closed || (ok && attempt <= last) {
		t.end(result{moved: true})
		return t
	}
	r.admit(now, t)
	return t
}

// admit puts a ticket into the group's queue, as the crash guard allows.
func (r *runner) admit(now time.Time, t *ticket) {
	t.verdict = r.check(t.request.Fingerprint)
	if t.verdict == crashguard.Refuse {
		t.end(result{refusal: &schedule.Refusal{Reason: schedule.ReasonCrashes}})
		return
	}
	t.request.Suspect = t.verdict == crashguard.Isolate
	if refusal := r.group.Enqueue(now, t.request); refusal != nil {
		t.end(result{refusal: refusal})
		return
	}
	r.waiting[t.request.ID] = t
	r.poke()
}

// recheck admits waiting tickets anew whose verdict has changed.
func (r *runner) recheck(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, t := range r.waiting {
		if r.check(t.request.Fingerprint) == t.verdict {
			continue
		}
		r.group.Cancel(id)
		delete(r.waiting, id)
		r.admit(now, t)
	}
}

// cancel ends a wait, or releases the grant if it was already given, unless
// the gateway has asked again since.
func (r *runner) cancel(now time.Time, id string, attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markEnded(id, attempt)
	if t, ok := r.waiting[id]; ok && t.attempt <= attempt {
		r.group.Cancel(id)
		delete(r.waiting, id)
		t.end(result{refusal: &schedule.Refusal{Reason: schedule.ReasonDeadline}})
	}
	if g, ok := r.granted[id]; ok && g.attempt <= attempt {
		r.drop(now, id, schedule.Outcome{NotRun: true})
	}
}

// giveBack refuses a request as busy if it still waits for this attempt.
func (r *runner) giveBack(id string, attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.waiting[id]
	if !ok || t.attempt != attempt {
		return
	}
	r.group.Cancel(id)
	delete(r.waiting, id)
	t.end(result{refusal: &schedule.Refusal{Reason: schedule.ReasonBusy}})
}

func (r *runner) markEnded(id string, attempt int) {
	last, _ := r.ended.Get(id)
	r.ended.Add(id, max(last, attempt))
}

// release ends a grant.
func (r *runner) release(now time.Time, id string, o schedule.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markEnded(id, math.MaxInt)
	r.drop(now, id, o)
}

func (r *runner) keep(g given) {
	r.granted[g.grant.ID] = g
	r.byHash[grantHash(g.grant.ID)] = g.grant.ID
}

func (r *runner) forget(id string) {
	delete(r.granted, id)
	delete(r.byHash, grantHash(id))
}

func (r *runner) drop(now time.Time, id string, o schedule.Outcome) {
	if _, ok := r.granted[id]; !ok {
		return
	}
	r.forget(id)
	r.group.Release(now, id, o)
	r.usedAt = now
	r.poke()
}

// renew takes over the progress of a grant and reports whether it is known.
func (r *runner) renew(now time.Time, hash uint32, generated int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, ok := r.byHash[hash]
	if !ok {
		return false
	}
	r.group.Progress(now, id, generated)
	r.usedAt = now
	return true
}

// adopt takes over a grant that another owner gave.
func (r *runner) adopt(now time.Time, h schedule.Held) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.granted[h.Grant.ID]; known || r.closed || r.released(h.Grant.ID) {
		return
	}
	r.keep(given{grant: h.Grant})
	r.group.Adopt(now, h)
	r.usedAt = now
}

// released reports whether a release has overtaken a renewal of the grant.
func (r *runner) released(id string) bool {
	last, ok := r.ended.Get(id)
	return ok && last == math.MaxInt
}

// expire ends the grants that nobody renews.
func (r *runner) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	expired := r.group.Expire(now, grantLife)
	for _, id := range expired {
		r.forget(id)
	}
	if len(expired) > 0 {
		r.poke()
	}
}
