// Package fairqueue holds waiting requests of two classes and hands them out
// by start-time fair queueing over workspaces.
package fairqueue

import (
	"container/heap"
	"errors"
	"time"

	"persimmonwing/internal/version/catalogue"
)

// The errors of Push.
var (
	ErrClassFull     = errors.New("queue of the class is full")
	ErrWorkspaceFull = errors.New("queue of the workspace is full")
	ErrDuplicate     = errors.New("id is already queued")
)

// MinWeight is the smallest weight of a workspace.
const MinWeight = 0.01

// Options bound and simplify a queue.
type Options struct {
	// ClassBound and WorkspaceBound limit the length for each class and for
	// each workspace in a class; 0 means unlimited.
	ClassBound, WorkspaceBound int
	// Classless puts both classes into one queue.
	Classless bool
	// Unfair serves all workspaces in order of arrival.
	Unfair bool
}

// Item is one waiting request.
type Item[T any] struct {
	ID        string
	Workspace string
	Class     catalogue.Class
	// Isolated requests wait in a lane of their own, because they may wait long
	// for a replica and must not hold up others of their workspace.
	Isolated bool
	Weight   float64
	Deadline time.Time
	Value    T
}

// Entry is an item in a queue. It is valid until it is taken or cancelled.
type Entry[T any] struct {
	Item[T]
	// Bypassed is for the caller's count of the times others went first.
	Bypassed   int
	number     uint64
	flow       *flow[T]
	prev, next *Entry[T]
	// deadlineIndex is the position in the deadline heap, or -1.
	deadlineIndex int
}

const classes = 2

// Queue is the queue of both classes. It is not safe for concurrent use.
type Queue[T any] struct {
	o         Options
	byID      map[string]*Entry[T]
	class     [classes]classQueue[T]
	deadlines deadlineHeap[T]
	free      *Entry[T]
	pushed    uint64
}

// New returns an empty queue.
func New[T any](o Options) *Queue[T] {
	q := &Queue[T]{o: o, byID: make(map[string]*Entry[T])}
	for i := range q.class {
		q.class[i].flows = make(map[lane]*flow[T])
	}
	return q
}

func (q *Queue[T]) classOf(c catalogue.Class) *classQueue[T] {
	if c == catalogue.Background && !q.o.Classless {
		return &q.class[1]
	}
	return &q.class[0]
}

func (q *Queue[T]) laneOf(workspace string, isolated bool) lane {
	if q.o.Unfair {
		workspace = ""
	}
	return lane{workspace: workspace, isolated: isolated}
}

// Push adds an item at the end of its workspace's queue.
func (q *Queue[T]) Push(it Item[T]) error {
	c := q.classOf(it.Class)
	if _, queued := q.byID[it.ID]; queued {
		return ErrDuplicate
	}
	if q.o.ClassBound > 0 && c.length >= q.o.ClassBound {
		return ErrClassFull
	}
	f := c.flow(q.laneOf(it.Workspace, it.Isolated))
	if q.o.WorkspaceBound > 0 && !q.o.Unfair && f.length >= q.o.WorkspaceBound {
		return ErrWorkspaceFull
	}
	e := q.newEntry()
	e.Item = it
	q.pushed++
	e.number = q.pushed
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

// Displace removes the newest request of the workspace that has most requests
// waiting for its weight, to make room in a full class for one of another
// workspace. It returns false if none has more than the newcomer's would have.
func (q *Queue[T]) Displace(newcomer Item[T]) (T, bool) {
	c := q.classOf(newcomer.Class)
	most := 1 / max(newcomer.Weight, MinWeight)
	if f, known := c.flows[q.laneOf(newcomer.Workspace, newcomer.Isolated)]; known {
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

// Next returns the first request of the workspace with the lowest virtual time
// that is not set aside, or nil. The entry stays queued.
func (q *Queue[T]) Next(class catalogue.Class) *Entry[T] {
	c := q.classOf(class)
	if len(c.active) == 0 {
		return nil
	}
	return c.active[0].head
}

// Take removes an entry that is served and charges its workspace cost tokens.
func (q *Queue[T]) Take(e *Entry[T], cost float64) T {
	c, f := q.classOf(e.Class), e.flow
	c.virtual = max(c.virtual, f.virtual)
	f.virtual += cost / f.weight
	return q.remove(e)
}

// SetAside hides the workspace of e from Next until Restore.
func (q *Queue[T]) SetAside(e *Entry[T]) {
	q.classOf(e.Class).setAside(e.flow)
}

// Restore ends all SetAside.
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

// PopExpired removes one request whose deadline is not after now.
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

// Charge corrects the virtual time of a workspace by delta tokens.
func (q *Queue[T]) Charge(workspace string, class catalogue.Class, delta float64) {
	c := q.classOf(class)
	if f, known := c.flows[q.laneOf(workspace, false)]; known {
		c.charge(f, delta)
	}
}

// Len returns the number of requests waiting in a class.
func (q *Queue[T]) Len(class catalogue.Class) int {
	if class == catalogue.Background && q.o.Classless {
		return 0
	}
	return q.classOf(class).length
}

// WorkspaceLen returns the number of requests of a workspace waiting in a class.
func (q *Queue[T]) WorkspaceLen(workspace string, class catalogue.Class) int {
	if f, known := q.classOf(class).flows[q.laneOf(workspace, false)]; known {
		return f.length
	}
	return 0
}

// Active returns the number of workspaces with requests waiting in a class.
func (q *Queue[T]) Active(class catalogue.Class) int {
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
