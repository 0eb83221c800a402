// Package fairqueue queues requests of two classes, urgent and background, and
// selects the next one of a class by start-time fair queueing across workspaces.
package fairqueue

import (
	"container/heap"
	"errors"
	"iter"
	"slices"
	"time"

	"persimmonwing/internal/version/catalogue"
)

// The errors of Push.
var (
	ErrClassFull     = errors.New("class queue is full")
	ErrWorkspaceFull = errors.New("workspace queue is full")
	ErrDuplicate     = errors.New("request ID is already queued")
)

// MinWeight is the smallest weight of a workspace; Push raises lower weights to it.
const MinWeight = 0.01

// Options configures a Queue.
type Options struct {
	// ClassBound limits the number of waiting requests of a class, and
	// WorkspaceBound that of a workspace within a class; 0 means unlimited.
	ClassBound, WorkspaceBound int
	// Classless puts both classes into one queue.
	Classless bool
	// Unfair serves requests first come, first served, whatever their workspace.
	Unfair bool
}

// Item is one waiting request. Workspaces are served in proportion to Weight. A zero
// Deadline means that the request does not expire.
type Item[T any] struct {
	ID        string
	Workspace string
	Class     catalogue.Class
	// Isolated requests are queued apart from the other requests of their workspace:
	// they may wait long for a replica and must not block the others.
	Isolated bool
	// First puts the request before those of its workspace that are not First.
	First    bool
	Weight   float64
	Deadline time.Time
	Value    T
}

// Entry is an item in a queue. It is valid until the item leaves the queue; the
// queue then reuses it.
type Entry[T any] struct {
	Item[T]
	// Bypassed counts how often other requests were served first. The caller
	// maintains it.
	Bypassed   int
	sequence   uint64
	flow       *flow[T]
	prev, next *Entry[T]
	// deadlineIndex is the position in the deadline heap, or -1.
	deadlineIndex int
}

const classes = 2

// Queue holds the waiting requests of both classes. It is not safe for concurrent
// use.
type Queue[T any] struct {
	o            Options
	byID         map[string]*Entry[T]
	class        [classes]classQueue[T]
	deadlines    deadlineHeap[T]
	free         *Entry[T]
	lastSequence uint64
}

// New returns an empty queue.
func New[T any](o Options) *Queue[T] {
	q := &Queue[T]{o: o, byID: make(map[string]*Entry[T])}
	for i := range q.class {
		q.class[i].flows = make(map[flowKey]*flow[T])
	}
	return q
}

func (q *Queue[T]) classOf(c catalogue.Class) *classQueue[T] {
	if c == catalogue.Background && !q.o.Classless {
		return &q.class[1]
	}
	return &q.class[0]
}

func (q *Queue[T]) flowKeyOf(workspace string, isolated bool) flowKey {
	if q.o.Unfair {
		workspace = ""
	}
	return flowKey{workspace: workspace, isolated: isolated}
}

// Push adds an item at the end of its workspace's queue, or behind the items there that are First if it is
// First too. It returns ErrDuplicate, ErrClassFull or ErrWorkspaceFull if the item is not added.
func (q *Queue[T]) Push(it Item[T]) error {
	c := q.classOf(it.Class)
	if _, queued := q.byID[it.ID]; queued {
		return ErrDuplicate
	}
	if q.o.ClassBound > 0 && c.length >= q.o.ClassBound {
		return ErrClassFull
	}
	f := c.flow(q.flowKeyOf(it.Workspace, it.Isolated))
	if q.o.WorkspaceBound > 0 && !q.o.Unfair && f.length >= q.o.WorkspaceBound {
		return ErrWorkspaceFull
	}
	e := q.newEntry()
	e.Item = it
	q.lastSequence++
	e.sequence = q.lastSequence
	q.byID[it.ID] = e
	if !q.o.Unfair {
		f.weight = max(it.Weight, MinWeight)
	}
	c.append(f, e)
	if !it.Deadline.IsZero() {
		heap.Push(&q.deadlines, e)
	}
	return nil
}

// Displace makes room for newcomer in a full class: it removes and returns the
// newest request of the workspace with the most waiting requests relative to its
// weight. It removes nothing and returns false unless that workspace has more,
// relative to its weight, than newcomer's workspace would have with newcomer.
func (q *Queue[T]) Displace(newcomer Item[T]) (T, bool) {
	c := q.classOf(newcomer.Class)
	most := 1 / max(newcomer.Weight, MinWeight)
	if f, known := c.flows[q.flowKeyOf(newcomer.Workspace, newcomer.Isolated)]; known {
		most *= float64(f.length + 1)
	}
	var longest *flow[T]
	for _, f := range c.active {
		if load := float64(f.length) / f.weight; load > most {
			longest, most = f, load
		}
	}
	if longest == nil || q.o.Unfair {
		var zero T
		return zero, false
	}
	return q.remove(longest.tail), true
}

// Next returns the oldest request that is not passed over of the workspace that has the lowest virtual time
// among those not set aside, or nil if there is none. The entry stays queued.
func (q *Queue[T]) Next(class catalogue.Class) *Entry[T] {
	c := q.classOf(class)
	if len(c.active) == 0 {
		return nil
	}
	return c.active[0].first()
}

// NextOf returns the oldest request of a workspace in a class that is neither isolated, passed over nor set aside, or nil if
// there is none. The entry stays queued.
func (q *Queue[T]) NextOf(workspace string, class catalogue.Class) *Entry[T] {
	f, known := q.classOf(class).flows[q.flowKeyOf(workspace, false)]
	if !known || f.aside {
		return nil
	}
	return f.first()
}

// Take removes an entry that is about to be served and charges its workspace cost
// tokens.
func (q *Queue[T]) Take(e *Entry[T], cost float64) T {
	c, f := q.classOf(e.Class), e.flow
	c.virtualTime = max(c.virtualTime, f.virtualTime)
	f.virtualTime += cost / f.weight
	return q.remove(e)
}

// SetAside makes Next skip the workspace of e until Restore is called.
func (q *Queue[T]) SetAside(e *Entry[T]) {
	q.classOf(e.Class).setAside(e.flow)
}

// PassOver makes Next skip e until Restore is called, but not the requests of its workspace behind it.
func (q *Queue[T]) PassOver(e *Entry[T]) {
	q.classOf(e.Class).passOver(e)
}

// Restore makes Next consider again all workspaces that were set aside and requests that were passed over.
func (q *Queue[T]) Restore() {
	for i := range q.class {
		q.class[i].restore()
	}
}

// Cancel removes a request and reports whether it was queued.
func (q *Queue[T]) Cancel(id string) (T, bool) {
	e, queued := q.byID[id]
	if !queued {
		var zero T
		return zero, false
	}
	return q.remove(e), true
}

// Get returns the value of a queued request.
func (q *Queue[T]) Get(id string) (value T, queued bool) {
	e, queued := q.byID[id]
	if queued {
		value = e.Value
	}
	return value, queued
}

// PopExpired removes and returns the request with the earliest deadline if that
// deadline is not after now, and returns false otherwise.
func (q *Queue[T]) PopExpired(now time.Time) (T, bool) {
	if len(q.deadlines) == 0 || q.deadlines[0].Deadline.After(now) {
		var zero T
		return zero, false
	}
	return q.remove(q.deadlines[0]), true
}

// NextDeadline returns the earliest deadline, or false if there is none.
func (q *Queue[T]) NextDeadline() (time.Time, bool) {
	if len(q.deadlines) == 0 {
		return time.Time{}, false
	}
	return q.deadlines[0].Deadline, true
}

// Charge adds delta tokens, which may be negative, to what a workspace was charged
// in a class. Unknown workspaces are ignored.
func (q *Queue[T]) Charge(workspace string, class catalogue.Class, delta float64) {
	c := q.classOf(class)
	if f, known := c.flows[q.flowKeyOf(workspace, false)]; known {
		c.charge(f, delta)
	}
}

// All returns the waiting requests that have a deadline, in no particular order. The queue must not change in
// the meantime.
func (q *Queue[T]) All() iter.Seq[*Entry[T]] { return slices.Values(q.deadlines) }

// Len returns the number of requests waiting in a class.
func (q *Queue[T]) Len(class catalogue.Class) int {
	if class == catalogue.Background && q.o.Classless {
		return 0
	}
	return q.classOf(class).length
}

// WorkspaceLen returns the number of requests of a workspace waiting in a class.
func (q *Queue[T]) WorkspaceLen(workspace string, class catalogue.Class) int {
	if f, known := q.classOf(class).flows[q.flowKeyOf(workspace, false)]; known {
		return f.length
	}
	return 0
}

// ActiveWorkspaces returns the number of workspaces with requests waiting in a class.
func (q *Queue[T]) ActiveWorkspaces(class catalogue.Class) int {
	c := q.classOf(class)
	return len(c.active) + len(c.aside)
}

func (q *Queue[T]) remove(e *Entry[T]) T {
	value := e.Value
	delete(q.byID, e.ID)
	if e.deadlineIndex >= 0 {
		heap.Remove(&q.deadlines, e.deadlineIndex)
	}
	q.classOf(e.Class).unlink(e)
	*e = Entry[T]{next: q.free}
	q.free = e
	return value
}

func (q *Queue[T]) newEntry() *Entry[T] {
	e := q.free
	if e == nil {
		return &Entry[T]{deadlineIndex: -1}
	}
	q.free = e.next
	*e = Entry[T]{deadlineIndex: -1}
	return e
}
