package schedule

import (
	"slices"
	"time"

	"persimmonwing/internal/process/fairqueue"
	"persimmonwing/internal/process/survival"
	"persimmonwing/internal/version/catalogue"
)

// Policy selects which gateways grant the slots of a replica.
type Policy string

// The policies.
const (
	// PolicyOwner lets only the group's owner grant, with all mechanisms enabled.
	PolicyOwner Policy = "owner"
	// PolicyShares assigns each gateway a fraction of each replica; see SetShare.
	PolicyShares Policy = "shares"
	// PolicyShared lets each gateway grant on every replica. The gateways exchange
	// the loads of their grants; see SetPeerLoads.
	PolicyShared Policy = "shared"
	// PolicyBaseline grants immediately, in the order of arrival, to the replica with
	// the fewest generations in flight.
	PolicyBaseline Policy = "baseline"
)

const (
	defaultQueueBound          = 8192
	defaultWorkspaceQueueBound = 2048
	// noReplicaTimeout is how long a request waits while no replica accepts it.
	noReplicaTimeout = 2 * time.Second
)

// Options configure a group. Each of the No fields disables one mechanism, so that
// its effect can be measured.
type Options struct {
	// Owner is the name of the gateway that runs the group.
	Owner  string
	Policy Policy

	NoMemoryAdmission bool
	NoClasses         bool
	NoFairness        bool
	NoBatchBound      bool
	NoAffinity        bool

	// QueueBound limits the waiting requests of each class, and WorkspaceQueueBound
	// those of one workspace in a class; 0 means the default.
	QueueBound          int
	WorkspaceQueueBound int
	// BackgroundFloor is the minimum fraction of the granted tokens for background
	// work, and UrgentReserve the maximum fraction of the slots that is kept free for
	// urgent work. Both are set in the catalogue.
	BackgroundFloor float64
	UrgentReserve   float64
	// MoveReserve is the fraction of each replica's memory that work which is not
	// entitled must leave free, so that generations of a leaving engine find room.
	MoveReserve float64
	// SlowStart is the time in which the batch bound of a returning replica grows to
	// its full value; 0 means the default.
	SlowStart time.Duration
}

// withDefaults sets the default bounds and disables what the baseline does without.
func (o Options) withDefaults() Options {
	if o.QueueBound <= 0 {
		o.QueueBound = defaultQueueBound
	}
	if o.WorkspaceQueueBound <= 0 {
		o.WorkspaceQueueBound = defaultWorkspaceQueueBound
	}
	if o.SlowStart <= 0 {
		o.SlowStart = defaultSlowStart
	}
	if o.Policy == PolicyBaseline {
		o.NoMemoryAdmission = true
		o.NoClasses = true
		o.NoFairness = true
		o.NoBatchBound = true
		o.NoAffinity = true
	}
	return o
}

// queuedRequest is a waiting request.
type queuedRequest struct {
	request  Request
	enqueued time.Time
	entry    queueEntry
	// returning is set if the caller was refused before and has come back in time, and first is the time
	// of its first refusal.
	returning bool
	first     time.Time
	// judgedAt is the time of the last outlook.
	judgedAt time.Time
}

// keepsRoom reports whether others leave room for this request: its caller has returned, its engine leaves, or it has waited for
// more than pressingFraction of the time that it can wait.
func (t *queuedRequest) keepsRoom(now time.Time) bool {
	if t.returning || t.request.Moving {
		return true
	}
	since, by := t.since(), t.request.Deadline
	return !by.IsZero() && now.Sub(since) > time.Duration(pressingFraction*float64(by.Sub(since)))
}

// since returns the time from which on the caller counts as waiting.
func (t *queuedRequest) since() time.Time {
	if t.returning {
		return t.first
	}
	if !t.request.Since.IsZero() {
		return t.request.Since
	}
	return t.enqueued
}

// Group schedules the requests for one group of replicas. It is not safe for
// concurrent use.
//
// share is the fraction set by SetShare. lengths holds the estimators of the output
// lengths by entry, and admitted the recent grants. started is set when replicas have
// been listed for the first time; those need no slow start.
type Group struct {
	key      GroupKey
	o        Options
	share    float64
	queue    *fairqueue.Queue[queuedRequest]
	replicas map[string]*replica
	// available contains the replicas that accept new work, ordered by load.
	available replicaHeap
	// inFlight is the number of grants on available replicas.
	inFlight int
	// slotCount, openCount and freeCount are sums over the available replicas: all
	// slots, the unused ones, and the unused ones of replicas that have memory left.
	slotCount, openCount, freeCount int
	// slowStarting lists the replicas that are in slow start.
	slowStarting []*replica
	// coolingDown lists the replicas in cool-down: they get no new work for a while after
	// refusals.
	coolingDown []*replica
	grants      map[string]*grant
	freeGrants  *grant
	// pinned maps each running fingerprint to its replica.
	pinned map[uint64]pin
	// prefixes maps prefixes to the replicas to which they were last granted.
	prefixes   prefixTable
	lengths    map[string]*survival.Estimator
	prefill    prefill
	admitted   window
	accounting accounting
	// meanUrgentSize is the mean size of urgent grants in tokens.
	meanUrgentSize float64
	// reservedTokens is the memory in tokens that the request being placed must leave
	// free on each replica.
	reservedTokens int
	// entitled is set while the request being placed is entitled.
	entitled bool
	// keptFor holds the replicas that the request being placed leaves to others.
	keptFor []*replica
	// placingRank is the rank of the request being placed, and placingFloor is set if that is granted regardless of urgent work.
	placingRank  rank
	placingFloor bool
	floors       floors
	shares       shares
	// numbers holds the sequence number of the newest loads of each other gateway.
	numbers map[string]uint64
	// demands holds what waits at other gateways, by their names, and returns the places of callers who were refused.
	demands map[string]peerDemand
	returns returns
	pass    pass
	// displaced are the requests that the next Dispatch refuses, because other requests
	// have displaced them from the full queue.
	displaced []queuedRequest
	// blockedSince is the time at which the oldest of the entitled requests was
	// queued that found no room in the last Dispatch.
	blockedSince time.Time
	// prefillBlocked is set if the last Dispatch passed over a replica with room because of the
	// prompts that it has yet to prefill.
	prefillBlocked bool
	// unavailableSince is the time since which no replica accepts work.
	unavailableSince time.Time
	// startsExhausted is set if the last Dispatch passed over a replica because of its MaxStarts.
	startsExhausted bool
	started         bool
	// usualStep is the median step time of the replicas in milliseconds, or 0, computed at usualStepAt.
	usualStep   float64
	usualStepAt time.Time
	// tokenGap is the smallest target for the time between tokens of the requests since tokenGapAt, or 0.
	tokenGap   time.Duration
	tokenGapAt time.Time
}

// NewGroup returns a group without replicas.
func NewGroup(key GroupKey, o Options) *Group {
	o = o.withDefaults()
	q := fairqueue.Options{
		ClassBound:     o.QueueBound,
		WorkspaceBound: o.WorkspaceQueueBound,
		Classless:      o.NoClasses,
		Unfair:         o.NoFairness,
	}
	return &Group{
		key:      key,
		o:        o,
		share:    1,
		queue:    fairqueue.New[queuedRequest](q),
		replicas: make(map[string]*replica),
		grants:   make(map[string]*grant),
		pinned:   make(map[uint64]pin),
		lengths:  make(map[string]*survival.Estimator),
		shares:   shares{usage: make(map[string]*usage)},
		numbers:  make(map[string]uint64),
		demands:  make(map[string]peerDemand),
		returns:  make(returns),
	}
}

// SetShare limits this gateway to a fraction of each replica's slots and memory,
// greater than 0 and at most 1. It has no effect under other policies than "shares".
func (g *Group) SetShare(fraction float64) {
	if g.o.Policy != PolicyShares {
		return
	}
	g.share = min(max(fraction, 0), 1)
	g.recomputeLoads()
}

// SetClassFractions sets BackgroundFloor and UrgentReserve of the Options to the values
// of the current catalogue.
func (g *Group) SetClassFractions(backgroundFloor, urgentReserve float64) {
	g.o.BackgroundFloor = backgroundFloor
	g.o.UrgentReserve = urgentReserve
}

// Enqueue queues a request and returns nil, or returns the refusal if the queue is
// full. A request whose ID is already queued keeps its place. In a full queue the
// request may displace another one, which the next Dispatch refuses.
func (g *Group) Enqueue(now time.Time, r Request) *Refusal {
	g.updateUnavailableSince(now)
	g.noteTokenGap(now, &r)
	t := queuedRequest{request: r, enqueued: now, entry: g.enter(now, &r)}
	t.first, t.returning = g.returns.claim(now, &r)
	if by := r.FirstTokenBy.Add(t.first.Sub(now)); t.returning && by.After(now) {
		t.request.FirstTokenBy = by // the caller's target counts from its first request
	}
	item := fairqueue.Item[queuedRequest]{
		ID:        r.ID,
		Workspace: r.Workspace,
		Class:     queueClass(&r),
		Isolated:  r.Suspect && g.o.Policy != PolicyBaseline,
		First:     t.returning,
		Weight:    r.Weight,
		Deadline:  r.Deadline,
		Value:     t,
	}
	err := g.queue.Push(item)
	if err == fairqueue.ErrClassFull {
		err = g.displaceFor(item)
	}
	switch err {
	case fairqueue.ErrClassFull:
		wait := g.drainTime(now, r.Class, g.queue.Len(r.Class), 1)
		return &Refusal{Reason: ReasonQueueFull, RetryAfter: wait, Account: g.queueFull(now, &item.Value)}
	case fairqueue.ErrWorkspaceFull:
		length := g.queue.WorkspaceLen(r.Workspace, r.Class)
		wait := g.drainTime(now, r.Class, length, g.queue.ActiveWorkspaces(r.Class))
		return &Refusal{Reason: ReasonQueueFull, RetryAfter: wait, Account: g.queueFull(now, &item.Value)}
	}
	return nil
}

// displaceFor queues a request in a class whose queue is full by displacing a request
// of a workspace with more waiting requests. Thus a workspace that floods the queue
// only blocks its own requests.
func (g *Group) displaceFor(item fairqueue.Item[queuedRequest]) error {
	t, displaced := g.queue.Displace(item)
	if !displaced {
		return fairqueue.ErrClassFull
	}
	g.displaced = append(g.displaced, t)
	return g.queue.Push(item)
}

// Cancel removes a waiting request and reports whether it was waiting.
func (g *Group) Cancel(id string) bool {
	if i := slices.IndexFunc(g.displaced, func(t queuedRequest) bool { return t.request.ID == id }); i >= 0 {
		g.displaced = slices.Delete(g.displaced, i, i+1)
		return true
	}
	_, waiting := g.queue.Cancel(id)
	return waiting
}

// lengthEstimate returns the estimator of output lengths for the request's entry.
func (g *Group) lengthEstimate(r *Request) *survival.Estimator {
	e, known := g.lengths[r.Entry]
	if !known {
		e = survival.New(r.ExpectedOutputTokens)
		g.lengths[r.Entry] = e
	}
	return e
}

// expectedTokens returns the sum of the prompt and the expected output of a request
// in tokens.
func (g *Group) expectedTokens(r *Request) float64 {
	output := float64(r.Generated) + g.lengthEstimate(r).Mean(r.Generated)
	if r.MaxOutputTokens > 0 {
		output = min(output, float64(r.MaxOutputTokens))
	}
	return float64(r.PromptTokens) + output
}

// chargedBefore returns the tokens of a request that another replica has charged to its workspace.
func chargedBefore(r *Request) float64 {
	if !r.Moving {
		return 0
	}
	return float64(r.PromptTokens + r.Generated)
}

// queueClass returns the class in which a request waits. A generation that moves waits with the urgent
// requests, because its engine leaves.
func queueClass(r *Request) catalogue.Class {
	if r.Moving {
		return catalogue.Urgent
	}
	return r.Class
}

// waiting returns the number of waiting requests of both classes.
func (g *Group) waiting() int {
	return g.queue.Len(catalogue.Urgent) + g.queue.Len(catalogue.Background)
}
