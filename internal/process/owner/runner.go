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
	// grantTTL is the time after which a grant that is not renewed expires.
	grantTTL = 3 * time.Second
	// maxEndedIDs bounds the ids that are remembered so that a cancel or release takes
	// effect even if it overtakes its request or renewal.
	maxEndedIDs = 4096
	// maxDispatchDelay bounds the time between dispatches of a group that has nothing
	// to do.
	maxDispatchDelay = time.Second
)

// result is the outcome of a ticket's wait.
type result struct {
	grant   schedule.Grant
	refusal *schedule.Refusal
	// moved is set when the caller has to request the grant from another gateway.
	moved bool
}

// ticket is a waiting request. Several callers may wait for the same one when a gateway
// repeats its request after a lost connection.
type ticket struct {
	request schedule.Request
	// attempt is the highest attempt number of the calls for this request.
	attempt int
	// refusals counts the grants of this request that an arbiter refused.
	refusals int
	// account is that of its wait until the last refused grant.
	account schedule.Account
	verdict crashguard.Verdict
	done    chan struct{}
	result  result
}

// end ends the wait. The account covers all waits between refused grants.
func (t *ticket) end(r result) {
	account := &r.grant.Account
	if r.refusal != nil {
		account = &r.refusal.Account
	}
	account.Continue(t.account, t.refusals)
	t.result = r
	close(t.done)
}

// activeGrant is a grant in use. Its attempt is that of the last caller that received
// the grant.
type activeGrant struct {
	grant   schedule.Grant
	attempt int
}

// runner serialises the calls to one Group and dispatches its waiting requests.
type runner struct {
	key   schedule.GroupKey
	id    GroupID // of key
	self  string
	check func(r *schedule.Request) crashguard.Verdict
	wake  chan struct{}
	stop  chan struct{}

	mu sync.Mutex
	// readyAt is the time of the first dispatch after the start or a pause, and zero
	// once the runner dispatches. registrations holds the gateways that have registered
	// before then.
	readyAt       time.Time
	registrations map[string]bool
	// lastDispatch is the time of the last call of dispatch.
	lastDispatch time.Time
	group        Group
	waiting      map[string]*ticket
	grants       map[string]activeGrant
	byHash       map[uint32]string // ids of grants, by grantHash
	// endedAttempts holds, by id, the highest attempt that was cancelled or released.
	endedAttempts *simplelru.LRU[string, int]
	replicas      []schedule.Replica
	owned         bool
	closed        bool
	usedAt        time.Time
	// confirm requests confirmation of a grant from an arbiter. If nil, all grants are
	// valid without confirmation.
	confirm func(*runner, pendingGrant)
	// unconfirmed holds the grants of the last dispatch that await confirmation.
	unconfirmed []pendingGrant
}

func newRunner(key schedule.GroupKey, self string, g Group, check func(*schedule.Request) crashguard.Verdict) *runner {
	endedAttempts, _ := simplelru.NewLRU[string, int](maxEndedIDs, nil) // fails only for sizes below 1
	return &runner{
		key: key, id: groupID(key), self: self, check: check, group: g, endedAttempts: endedAttempts, usedAt: time.Now(),
		wake: make(chan struct{}, 1), stop: make(chan struct{}),
		waiting: map[string]*ticket{}, grants: map[string]activeGrant{}, byHash: map[uint32]string{},
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
		r.confirmGrants()
	}
}

// confirmGrants requests confirmation of the grants of the last dispatch. It does not
// hold the lock during the calls, because handling the answers acquires it.
func (r *runner) confirmGrants() {
	r.mu.Lock()
	unconfirmed := r.unconfirmed
	r.unconfirmed = nil
	r.mu.Unlock()
	for _, p := range unconfirmed {
		r.confirm(r, p)
	}
}

func (r *runner) requestDispatch() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// dispatch ends the waits that the group decides on and returns the time until the next
// dispatch.
func (r *runner) dispatch(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lastDispatch.IsZero() && now.Sub(r.lastDispatch) > pauseThreshold {
		// During a pause, replicas may have started to leave and other gateways may
		// have issued grants: wait for the host list and for renewals.
		r.readyAt, r.registrations = now.Add(takeoverTimeout), nil
	}
	r.lastDispatch = now
	if now.Before(r.readyAt) {
		return r.readyAt.Sub(now)
	}
	r.readyAt, r.registrations = time.Time{}, nil
	for _, d := range r.group.Dispatch(now) {
		r.applyDecision(now, d)
	}
	next := r.group.NextWake(now)
	if next.IsZero() {
		return maxDispatchDelay
	}
	return min(max(next.Sub(now), time.Millisecond), maxDispatchDelay)
}

func (r *runner) applyDecision(now time.Time, d schedule.Decision) {
	t, ok := r.waiting[d.Request.ID]
	if !ok {
		// The caller has left, so the slot is freed for the next request immediately.
		if d.Refusal == nil {
			r.group.Release(now, d.Request.ID, schedule.Outcome{NotRun: true})
			r.requestDispatch()
		}
		return
	}
	delete(r.waiting, d.Request.ID)
	if d.Refusal != nil {
		t.end(result{refusal: d.Refusal})
		return
	}
	d.Grant.ID, d.Grant.Group, d.Grant.Owner = d.Request.ID, r.key, r.self
	r.addGrant(activeGrant{d.Grant, t.attempt})
	if r.confirm != nil {
		if c, ok := r.group.Reservation(d.Grant.ID); ok {
			r.unconfirmed = append(r.unconfirmed, pendingGrant{t, d.Grant, c})
			return
		}
	}
	t.end(result{grant: d.Grant})
}

// enqueue starts the wait of a request or joins an existing one. attempt counts the
// calls to any owner that its gateway has made for the request.
func (r *runner) enqueue(now time.Time, q schedule.Request, attempt int) *ticket {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usedAt = now
	if t, ok := r.waiting[q.ID]; ok {
		t.attempt = max(t.attempt, attempt)
		return t
	}
	t := &ticket{request: q, attempt: attempt, done: make(chan struct{})}
	if g, ok := r.grants[q.ID]; ok {
		r.grants[q.ID] = activeGrant{g.grant, max(g.attempt, attempt)}
		t.end(result{grant: g.grant})
		return t
	}
	if last, ok := r.endedAttempts.Get(q.ID); r.closed || (ok && attempt <= last) {
		t.end(result{moved: true})
		return t
	}
	t.request.Since = now
	r.admit(now, t)
	return t
}

// admit adds a ticket to the group's queue unless the crash guard refuses the request.
func (r *runner) admit(now time.Time, t *ticket) {
	t.verdict = r.check(&t.request)
	switch t.verdict {
	case crashguard.Refuse:
		t.end(result{refusal: &schedule.Refusal{Reason: schedule.ReasonCrashes}})
		return
	case crashguard.AwaitTrial:
		t.end(result{refusal: &schedule.Refusal{Reason: schedule.ReasonTrial}})
		return
	}
	t.request.Suspect = t.verdict == crashguard.Isolate
	if refusal := r.group.Enqueue(now, t.request); refusal != nil {
		t.end(result{refusal: refusal})
		return
	}
	r.waiting[t.request.ID] = t
	r.requestDispatch()
}

// admitAfter adds a ticket to the group's queue after a delay, unless its wait ends before.
// The caller holds the lock.
func (r *runner) admitAfter(delay time.Duration, t *ticket) {
	if delay == 0 {
		r.admit(time.Now(), t)
		r.requestDispatch()
		return
	}
	r.waiting[t.request.ID] = t
	time.AfterFunc(delay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.waiting[t.request.ID] != t || r.closed {
			return
		}
		delete(r.waiting, t.request.ID)
		r.admit(time.Now(), t)
	})
}

// recheck admits waiting tickets again if the crash guard's verdict on them has
// changed.
func (r *runner) recheck(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, t := range r.waiting {
		if r.check(&t.request) == t.verdict {
			continue
		}
		r.group.Cancel(id)
		delete(r.waiting, id)
		r.admit(now, t)
	}
}

// cancel ends a wait, or releases the grant if it was already issued, unless the
// gateway has requested it again since. It returns the account of the wait.
func (r *runner) cancel(now time.Time, id string, attempt int) (ended schedule.Account) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markEnded(id, attempt)
	if t, ok := r.waiting[id]; ok && t.attempt <= attempt {
		account := r.group.Account(now, id)
		r.group.Cancel(id)
		delete(r.waiting, id)
		t.end(result{refusal: &schedule.Refusal{Reason: schedule.ReasonDeadline, Account: account}})
		ended = t.result.refusal.Account
	}
	if g, ok := r.grants[id]; ok && g.attempt <= attempt {
		r.endGrant(now, id, schedule.Outcome{NotRun: true})
	}
	return ended
}

// refuseExpired ends the wait of a request whose deadline has passed, and returns its refusal.
func (r *runner) refuseExpired(now time.Time, q schedule.Request, attempt int) *schedule.Refusal {
	r.mu.Lock()
	refusal := r.group.RefuseExpired(now, q)
	r.mu.Unlock()
	r.cancel(now, q.ID, attempt)
	return refusal
}

// refuseBusy refuses a request as busy if it still waits for this attempt.
func (r *runner) refuseBusy(id string, attempt int) {
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
	last, _ := r.endedAttempts.Get(id)
	r.endedAttempts.Add(id, max(last, attempt))
}

// release ends a grant.
func (r *runner) release(now time.Time, id string, o schedule.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markEnded(id, math.MaxInt)
	r.endGrant(now, id, o)
}

func (r *runner) addGrant(g activeGrant) {
	r.grants[g.grant.ID] = g
	r.byHash[grantHash(g.grant.ID)] = g.grant.ID
}

func (r *runner) removeGrant(id string) {
	delete(r.grants, id)
	delete(r.byHash, grantHash(id))
}

func (r *runner) endGrant(now time.Time, id string, o schedule.Outcome) {
	if _, ok := r.grants[id]; !ok {
		return
	}
	r.removeGrant(id)
	r.group.Release(now, id, o)
	r.usedAt = now
	r.requestDispatch()
}

// renew records the progress of a grant and reports whether the grant is known.
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

// adopt adds a grant that another owner issued.
func (r *runner) adopt(now time.Time, h schedule.Held) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.grants[h.Grant.ID]; known || r.closed || r.wasReleased(h.Grant.ID) {
		return
	}
	r.addGrant(activeGrant{grant: h.Grant})
	r.group.Adopt(now, h)
	r.usedAt = now
}

// wasReleased reports whether the grant was released, by a call that may have overtaken
// its renewal.
func (r *runner) wasReleased(id string) bool {
	last, ok := r.endedAttempts.Get(id)
	return ok && last == math.MaxInt
}

// expire ends the grants that were not renewed within grantTTL.
func (r *runner) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	expired := r.group.Expire(now, grantTTL)
	for _, id := range expired {
		r.removeGrant(id)
	}
	if len(expired) > 0 {
		r.requestDispatch()
	}
}
