package fairqueue

import (
	"container/heap"
	"math"
)

// maxIdleFlows is the number of flows in a class at which flows that have neither
// waiting requests nor debt are removed.
const maxIdleFlows = 4096

type flowKey struct {
	workspace string
	isolated  bool
}

// flow is the queue of one workspace in one class; isolated requests have a flow
// of their own. Each request served advances virtualTime by its cost in tokens,
// divided by the weight. virtualTime is negative infinity in a new flow.
type flow[T any] struct {
	weight      float64
	virtualTime float64
	head, tail  *Entry[T]
	length      int
	// index is the position in the active heap, or -1.
	index int
	aside bool
	// next is the first entry that is not passed over, while passing is set.
	next    *Entry[T]
	passing bool
}

// first returns the oldest entry that is not passed over, or nil.
func (f *flow[T]) first() *Entry[T] {
	if f.passing {
		return f.next
	}
	return f.head
}

// classQueue is the queue of one class. A flow with waiting requests is in active,
// or in aside between SetAside and Restore.
type classQueue[T any] struct {
	flows  map[flowKey]*flow[T]
	active flowHeap[T]
	aside  []*flow[T]
	// passing are the flows of which entries are passed over.
	passing []*flow[T]
	length  int
	// virtualTime is the highest virtual time at which a request was served.
	virtualTime float64
}

func (c *classQueue[T]) flow(k flowKey) *flow[T] {
	if f, known := c.flows[k]; known {
		return f
	}
	if len(c.flows) >= maxIdleFlows {
		c.dropIdle()
	}
	f := &flow[T]{weight: 1, virtualTime: math.Inf(-1), index: -1}
	c.flows[k] = f
	return f
}

// dropIdle removes the flows that have neither waiting requests nor debt. The next
// request of such a workspace creates a new flow.
func (c *classQueue[T]) dropIdle() {
	for k, f := range c.flows {
		if f.length == 0 && !f.aside && f.virtualTime <= c.virtualTime {
			delete(c.flows, k)
		}
	}
}

// start returns the virtual time for a flow that becomes active: the lowest one of
// the flows that are active or set aside, or the class's own if there are none.
func (c *classQueue[T]) start() float64 {
	if len(c.active) == 0 && len(c.aside) == 0 {
		return c.virtualTime
	}
	lowest := math.Inf(1)
	if len(c.active) > 0 {
		lowest = c.active[0].virtualTime
	}
	for _, f := range c.aside {
		lowest = min(lowest, f.virtualTime)
	}
	return lowest
}

func (c *classQueue[T]) append(f *flow[T], e *Entry[T]) {
	e.flow = f
	f.insert(e)
	f.length++
	c.length++
	if f.length == 1 && !f.aside {
		// A flow that was idle keeps its debt but gains no credit for the idle time.
		f.virtualTime = max(f.virtualTime, c.start())
		heap.Push(&c.active, f)
	}
}

// insert links an entry behind the last one, or behind the last First one if it is First.
func (f *flow[T]) insert(e *Entry[T]) {
	e.prev = f.tail
	for e.First && e.prev != nil && !e.prev.First {
		e.prev = e.prev.prev
	}
	e.next = f.head
	if e.prev != nil {
		e.next = e.prev.next
		e.prev.next = e
	} else {
		f.head = e
	}
	if e.next != nil {
		e.next.prev = e
	} else {
		f.tail = e
	}
}

// unlink removes an entry from its flow and restores the order of the active heap.
func (c *classQueue[T]) unlink(e *Entry[T]) {
	f := e.flow
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		f.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		f.tail = e.prev
	}
	f.length--
	c.length--
	switch {
	case f.index < 0:
	case f.length == 0:
		heap.Remove(&c.active, f.index)
	default:
		heap.Fix(&c.active, f.index)
	}
	if f.passing && f.next == e {
		c.passTo(f, e.next)
	}
}

// passOver makes the entry behind e the first one of its flow, and sets the flow aside if there is none.
func (c *classQueue[T]) passOver(e *Entry[T]) {
	if f := e.flow; !f.passing {
		f.passing = true
		c.passing = append(c.passing, f)
	}
	c.passTo(e.flow, e.next)
}

func (c *classQueue[T]) passTo(f *flow[T], next *Entry[T]) {
	f.next = next
	if next == nil && f.length > 0 && !f.aside {
		c.setAside(f)
	}
}

func (c *classQueue[T]) charge(f *flow[T], delta float64) {
	f.virtualTime += delta / f.weight
	if f.index >= 0 {
		heap.Fix(&c.active, f.index)
	}
}

func (c *classQueue[T]) setAside(f *flow[T]) {
	if f.aside {
		return
	}
	heap.Remove(&c.active, f.index)
	f.aside = true
	c.aside = append(c.aside, f)
}

func (c *classQueue[T]) restore() {
	for _, f := range c.passing {
		f.next, f.passing = nil, false
	}
	clear(c.passing)
	c.passing = c.passing[:0]
	for i, f := range c.aside {
		f.aside = false
		if f.length > 0 {
			heap.Push(&c.active, f)
		}
		c.aside[i] = nil
	}
	c.aside = c.aside[:0]
}

// flowHeap orders flows by virtual time, then by arrival of the first request.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }
func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].virtualTime != h[j].virtualTime {
		return h[i].virtualTime < h[j].virtualTime
	}
	if h[i].head == nil || h[j].head == nil {
		return h[j].head != nil
	}
	return h[i].head.sequence < h[j].head.sequence
}
func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}

// deadlineHeap orders entries by deadline.
type deadlineHeap[T any] []*Entry[T]

func (h deadlineHeap[T]) Len() int           { return len(h) }
func (h deadlineHeap[T]) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h deadlineHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}
func (h *deadlineHeap[T]) Push(x any) {
	e := x.(*Entry[T])
	e.deadlineIndex = len(*h)
	*h = append(*h, e)
}
func (h *deadlineHeap[T]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.deadlineIndex = -1
	return e
}
