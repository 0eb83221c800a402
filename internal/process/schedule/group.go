package schedule

import (
	"slices"
	"time"

	"persimmonwing/internal/process/fairqueue"
	"persimmonwing/internal/process/survival"
	"persimmonwing/internal/version/catalogue"
)

// Policy says who decides for a replica.
type Policy string

// The policies.
const (
	// PolicyOwner lets the group's owner decide alone, with all mechanisms.
	PolicyOwner Policy = "owner"
	// PolicyShares gives each gateway a fraction of each replica; see SetShare.
	PolicyShares Policy = "shares"
	// PolicyShared lets each gateway decide for every replica, from what all
	// gateways tell each other of their grants; see SetPeerLoads.
	PolicyShared Policy = "shared"
	// PolicyBaseline is least in flight, first come first served, at once.
	PolicyBaseline Policy = "baseline"
)

const (
	defaultQueueBound          = 8192
	defaultWorkspaceQueueBound = 2048
	// noReplicaPatience is how long a request waits while no replica may take it.
	noReplicaPatience = 2 * time.Second
)

// Options configure a group. The No fields each switch one mechanism off, to
// measure what it contributes.
type Options struct {
	// Owner is the name of the gateway that runs the group.
	Owner  string
	Policy Policy

	NoMemoryAdmission bool
	NoClasses         bool
	NoFairness        bool
	NoBatchBound      bool
	NoAffinity        bool

	// QueueBound limits the requests waiting in each class and
	// WorkspaceQueueBound those of one workspace in a class; 0 means the default.
	QueueBound          int
	WorkspaceQueueBound int
	// BackgroundFloor and UrgentReserve are fractions as in the catalogue.
	BackgroundFloor float64
	UrgentReserve   float64
	// MoveReserve is the fraction of each replica's memory that work which is not
	// entitled leaves free, so that generations of an engine that leaves find room.
	MoveReserve float64
	// SlowStart is the time in which a returning replica's bound grows to full;
	// 0 means the default.
	SlowStart time.Duration
}

// withDefaults fills in the queue bounds and what the baseline switches off.
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

// ticket is a waiting request.
type ticket struct {
	request  Request
	enqueued time.Time
}

// Group decides for one group of replicas. It is not safe for concurrent use.
type Group struct {
	key      GroupKey
	o        Options
	share    float64
	queue    *fairqueue.Queue[ticket]
	replicas map[string]*replica
	// available orders the replicas that take new work by load.
	available replicaHeap
	// inFlight counts the grants on available replicas.
	inFlight int
	// slotCount, openCount and freeCount sum up the slots of the available
	// replicas: all, those not in use, and those whose replica has memory left.
	slotCount, openCount, freeCount int
	// warming lists the replicas in slow start.
	warming []*replica
	// resting lists the replicas that refused too much work.
	resting   []*replica
	grants    map[string]*grant
	freeGrant *grant
	// pinned counts the grants of each fingerprint and their replica.
	pinned map[uint64]pin
	// prefixes remembers which replica was last granted a prefix.
	prefixes prefixTable
	lengths  map[string]*survival.Estimator
	admitted window
	// urgentSize is the mean size of urgent grants in tokens.
	urgentSize float64
	// reserved is the memory in tokens that the request being placed leaves free
	// on each replica.
	reserved int
	// entitled is set while the request being placed is one that others yield to.
	entitled bool
	shares   shares
	pass     pass
	// displaced are the requests that the next Dispatch refuses.
	displaced []ticket
	// waitingSince is when the oldest entitled request was queued that lacked room
	// in the last pass.
	waitingSince time.Time
	// unavailableSince is when the last replica stopped accepting.
	unavailableSince time.Time
	started          bool
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
		queue:    fairqueue.New[ticket](q),
		replicas: make(map[string]*replica),
		grants:   make(map[string]*grant),
		pinned:   make(map[uint64]pin),
		lengths:  make(map[string]*survival.Estimator),
		shares:   shares{usage: make(map[string]*usage)},
	}
}

// SetShare limits this gateway to a fraction of each replica, from above 0 to
// 1. It applies to the policy "shares" only.
func (g *Group) SetShare(fraction float64) {
	if g.o.Policy != PolicyShares {
		return
	}
	g.share = min(max(fraction, 0), 1)
	g.reorder()
}

// SetFloor sets the fractions of the catalogue in force.
func (g *Group) SetFloor(backgroundFloor, urgentReserve float64) {
	g.o.BackgroundFloor = backgroundFloor
	g.o.UrgentReserve = urgentReserve
}

// Enqueue queues a request. It returns nil when the request is queued; a
// request whose id is already queued keeps its place. It may displace another
// one, which Dispatch refuses.
func (g *Group) Enqueue(now time.Time, r Request) *Refusal {
	g.noteUnavailable(now)
	item := fairqueue.Item[ticket]{
		ID:        r.ID,
		Workspace: r.Workspace,
		Class:     r.Class,
		Isolated:  r.Suspect && g.o.Policy != PolicyBaseline,
		Weight:    r.Weight,
		Deadline:  r.Deadline,
		Value:     ticket{request: r, enqueued: now},
	}
	err := g.queue.Push(item)
	if err == fairqueue.ErrClassFull {
		err = g.displaceFor(item)
	}
	switch err {
	case fairqueue.ErrClassFull:
		wait := g.drainTime(now, r.Class, g.queue.Len(r.Class), 1)
		return &Refusal{Reason: ReasonQueueFull, RetryAfter: wait}
	case fairqueue.ErrWorkspaceFull:
		length := g.queue.WorkspaceLen(r.Workspace, r.Class)
		wait := g.drainTime(now, r.Class, length, g.queue.Active(r.Class))
		return &Refusal{Reason: ReasonQueueFull, RetryAfter: wait}
	}
	return nil
}

// displaceFor queues a request of a full class in the place of one of a workspace
// with more requests waiting, so that a flood fills the queue for itself only.
func (g *Group) displaceFor(item fairqueue.Item[ticket]) error {
	t, displaced := g.queue.Displace(item)
	if !displaced {
		return fairqueue.ErrClassFull
	}
	g.displaced = append(g.displaced, t)
	return g.queue.Push(item)
}

// Cancel withdraws a waiting request and reports whether it was waiting.
func (g *Group) Cancel(id string) bool {
	if i := slices.IndexFunc(g.displaced, func(t ticket) bool { return t.request.ID == id }); i >= 0 {
		g.displaced = slices.Delete(g.displaced, i, i+1)
		return true
	}
	_, waiting := g.queue.Cancel(id)
	return waiting
}

// length returns the length estimate of the request's entry.
func (g *Group) length(r *Request) *survival.Estimator {
	e, known := g.lengths[r.Entry]
	if !known {
		e = survival.New(r.ExpectedOutputTokens)
		g.lengths[r.Entry] = e
	}
	return e
}

// expectedTokens returns the prompt and expected output of a request in tokens.
func (g *Group) expectedTokens(r *Request) float64 {
	output := g.length(r).Mean(0)
	if r.MaxOutputTokens > 0 {
		output = min(output, float64(r.MaxOutputTokens))
	}
	return float64(r.PromptTokens) + output
}

// waiting returns the number of requests waiting in both classes.
func (g *Group) waiting() int {
	return g.queue.Len(catalogue.Urgent) + g.queue.Len(catalogue.Background)
}
