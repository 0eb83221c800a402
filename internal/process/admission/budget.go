package admission

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxWait bounds the time for which a connection waits until others have given way.
	maxWait = time.Second
	// reviewPeriod is the time between two looks at who has stalled, while a connection waits.
	reviewPeriod = 50 * time.Millisecond
	// leavingPart is the part of the connections that may be open beyond the limit while they give way.
	leavingPart = 8
	// headPart is the part of the bytes that heads may take beyond the limit, so that requests without a body are
	// served while bodies take all they may.
	headPart = 16
)

// What a connection was doing when it had to give way.
const (
	DuringIdle = "idle"
	DuringHead = "head"
	DuringBody = "body"
)

// Errors of a connection for which there is no room.
var (
	ErrFull      = eris.New("the requests of other callers take all memory set aside for callers")
	ErrDisplaced = eris.New("the connection made no progress while other callers needed its memory")
)

// Limits bound what all callers together make a process hold.
type Limits struct {
	Bytes       int64
	Connections int
}

// Budget is the memory that callers may make a process hold. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu          sync.Mutex
	connections []*Connection
	// used and leaving are bytes that are held, and those of connections that give way. arriving are those
	// of connections whose requests have not arrived, which may give way, and bodies those of all bodies.
	used, leaving, arriving, bodies int64
	waiters                         []*claim
	freed                           chan struct{} // closed when a connection closes
	review                          *time.Timer
	// displaced counts connections that gave way by what they were doing, and refused those without room.
	displaced map[string]int64
	refused   int64
}

// claim is a connection that waits for n more bytes.
type claim struct {
	of *Connection
	n  int64
	// part is the part of the connection that the bytes are for.
	part *int64
	done chan error
}

// Connection is what one connection makes the process hold. The nil Connection has no bounds.
type Connection struct {
	budget *Budget
	// giveWay ends the wait for the caller in a phase. It is called with the lock of the budget, so that the
	// phase has not ended, and must not call methods of the budget.
	giveWay func(during string)
	// index is the position in Budget.connections, or -1 once the connection is closed.
	index int
	state state
	// head and body are parts of state.held.
	head, body int64
	// arrived is the size of the current head. Only the goroutine that reads it uses it.
	arrived int64
	// step counts the bytes since the last progress.
	step int
}

// NewBudget returns a budget.
func NewBudget(l Limits) *Budget {
	return &Budget{limits: l, freed: make(chan struct{}), displaced: map[string]int64{}}
}

// Usage is what callers make the process hold, and the counts of connections that gave way, by what they were
// doing, and of requests that were refused for lack of room.
type Usage struct {
	Bytes, Bodies int64
	Connections   int
	Displaced     map[string]int64
	Refused       int64
}

// Usage returns the current usage.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Bytes: b.used, Bodies: b.bodies, Connections: len(b.connections), Displaced: maps.Clone(b.displaced), Refused: b.refused}
}

// Open waits until there is room for one more connection, and adds it. It returns nil if stop is closed before.
func (b *Budget) Open(giveWay func(during string), stop <-chan struct{}) *Connection {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.hasSlot() {
		freed := b.freed
		b.mu.Unlock()
		select {
		case <-freed:
		case <-time.After(reviewPeriod):
		case <-stop:
			b.mu.Lock()
			return nil
		}
		b.mu.Lock()
	}
	return b.add(giveWay)
}

// Add adds a connection whether or not there is room for it.
func (b *Budget) Add(giveWay func(during string)) *Connection {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.add(giveWay)
}

func (b *Budget) add(giveWay func(during string)) *Connection {
	c := &Connection{budget: b, giveWay: giveWay, index: len(b.connections), state: state{progress: time.Now()}}
	b.connections = append(b.connections, c)
	b.take(c, connectionCost)
	for b.excess(c, 0, &c.head) > b.leaving && b.displace(time.Now(), connectionCost, unused) {
	}
	return c
}

// hasSlot reports whether one more connection may be opened. If the slots are taken, another connection gives way: a
// few of these, which still get an answer, may be open beyond the limit. The caller holds the lock.
func (b *Budget) hasSlot() bool {
	leaving := 0
	for _, c := range b.connections {
		if !c.state.leaving {
			continue
		}
		leaving++
		if c.state.phase == waiting {
			c.giveWay(DuringIdle) // a server that begins to wait only now has set a deadline of its own
		}
	}
	if len(b.connections)-leaving < b.limits.Connections {
		return true
	}
	return leaving < max(1, b.limits.Connections/leavingPart) && b.displace(time.Now(), connectionCost, idle)
}

// Close removes the connection.
func (c *Connection) Close() {
	if c == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.index < 0 {
		return
	}
	c.setPhase(waiting)
	b.bodies -= c.body
	b.take(c, -c.state.held)
	c.head, c.body = 0, 0
	last := b.connections[len(b.connections)-1]
	b.connections[c.index], last.index = last, c.index
	b.connections = b.connections[:len(b.connections)-1]
	c.index = -1
	close(b.freed)
	b.freed = make(chan struct{})
	b.settle(time.Now())
}

// take adds n to the bytes that a connection holds. The caller holds the lock.
func (b *Budget) take(c *Connection, n int64) {
	c.state.held += n
	b.used += n
	if c.state.leaving {
		b.leaving += n
	}
	if c.state.arriving() {
		b.arriving += n
	}
}

// setPhase begins a phase, which is progress. A connection that was closed meanwhile has none. The caller holds the lock.
func (c *Connection) setPhase(p phase) {
	if c.index < 0 {
		return
	}
	if c.state.arriving() {
		c.budget.arriving -= c.state.held
	}
	c.state.phase, c.state.progress, c.step = p, time.Now(), 0
	if c.state.arriving() {
		c.budget.arriving += c.state.held
	}
}

// Arrived notes that bytes of a head have been read, lines of them, and waits until there is room for them.
func (c *Connection) Arrived(bytes, lines int) error {
	if c == nil {
		return nil
	}
	c.budget.mu.Lock()
	if c.state.phase != readingHead {
		c.setPhase(readingHead)
		c.stay()
		c.arrived = 0
	}
	c.budget.mu.Unlock()
	c.progress(bytes)
	before := max(0, c.arrived-includedHead)
	c.arrived += int64(bytes + lines*lineCost)
	more := max(0, c.arrived-includedHead) - before
	if more == 0 {
		return nil
	}
	return c.reserve(more, &c.head)
}

// Serve notes that a request has been read, except for its body. The connection no longer gives way.
func (c *Connection) Serve() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.setPhase(serving)
	c.stay()
}

// Rest notes that a request has ended and the next one has not begun. It releases what the request held.
func (c *Connection) Rest() {
	if c == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.state.served = true
	c.setPhase(waiting)
	c.stay()
	b.bodies -= c.body
	b.take(c, -c.head-c.body)
	c.head, c.body = 0, 0
	b.settle(time.Now())
}

// ReleaseBody releases the memory of the request's body.
func (c *Connection) ReleaseBody() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.releaseBody()
}

// releaseBody is ReleaseBody for a caller that holds the lock.
func (c *Connection) releaseBody() {
	c.budget.bodies -= c.body
	c.budget.take(c, -c.body)
	c.body = 0
	c.budget.settle(time.Now())
}

// stay withdraws that the connection gives way, because a request has arrived on it meanwhile. The caller holds
// the lock.
func (c *Connection) stay() {
	if c.state.leaving {
		c.state.leaving = false
		c.budget.leaving -= c.state.held
	}
}

// Displaced reports whether the connection has been told to give way.
func (c *Connection) Displaced() bool {
	if c == nil {
		return false
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.state.leaving
}

// progress notes received bytes.
func (c *Connection) progress(bytes int) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.step += bytes; c.step >= progressStep {
		c.state.progress, c.step = time.Now(), 0
	}
}

// reserve adds n bytes to part, which is one of the connection's fields, and waits until there is room.
func (c *Connection) reserve(n int64, part *int64) error {
	if c == nil {
		return nil
	}
	b := c.budget
	b.mu.Lock()
	err := b.tryReserve(c, n, part)
	if err == nil {
		c.add(n, part)
		b.mu.Unlock()
		return nil
	}
	if err != errWait {
		if err == ErrFull {
			b.refused++
		}
		b.mu.Unlock()
		return err
	}
	w := &claim{of: c, n: n, part: part, done: make(chan error, 1)}
	b.waiters = append(b.waiters, w)
	c.state.blocked = true
	b.settle(time.Now())
	b.mu.Unlock()
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	select {
	case err = <-w.done:
	case <-timeout.C:
		err = ErrFull
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c.state.blocked = false
	if i := slices.Index(b.waiters, w); i >= 0 {
		b.waiters = slices.Delete(b.waiters, i, i+1)
	} else if err == ErrFull {
		err = <-w.done // decided at the same moment
	}
	if err == nil {
		c.state.progress = time.Now()
	} else if err == ErrFull {
		b.refused++
	}
	return err
}

// add adds n bytes to a part. The caller holds the lock.
func (c *Connection) add(n int64, part *int64) {
	*part += n
	if part == &c.body {
		c.budget.bodies += n
	}
	c.budget.take(c, n)
}

// errWait says that others may give way.
var errWait = eris.New("others may give way")

// tryReserve returns nil if a part of the connection may hold n more bytes now.
func (b *Budget) tryReserve(c *Connection, n int64, part *int64) error {
	mine := int64(0)
	if c.state.arriving() {
		mine = c.state.held
	}
	switch {
	case c.state.leaving, c.index < 0:
		return ErrDisplaced
	case b.fits(c, n, part) && len(b.waiters) == 0:
		return nil
	case b.excess(c, n, part) > b.arriving-mine && b.leaving == 0:
		return ErrFull // nothing that may give way makes enough room
	}
	return errWait
}

// fits reports whether there is room for n more bytes. A body alone may exceed the limit, because otherwise it
// could never be served.
func (b *Budget) fits(c *Connection, n int64, part *int64) bool {
	return b.excess(c, n, part) <= 0 || part == &c.body && b.bodies == c.body
}

// excess returns how many bytes are missing for n more ones, or a negative number.
func (b *Budget) excess(c *Connection, n int64, part *int64) int64 {
	limit := b.limits.Bytes
	if part == &c.head {
		limit += limit / headPart
	}
	return b.used + n - limit
}

// settle grants what the waiting connections claim, the smallest first, and lets others give way to the first
// one that does not fit. The caller holds the lock.
func (b *Budget) settle(now time.Time) {
	for len(b.waiters) > 0 {
		w := slices.MinFunc(b.waiters, func(x, y *claim) int { return cmp.Compare(x.size(), y.size()) })
		if w.of.state.leaving || w.of.index < 0 {
			b.finish(w, ErrDisplaced)
			continue
		}
		if !b.fits(w.of, w.n, w.part) {
			for b.excess(w.of, w.n, w.part) > b.leaving && b.displace(now, w.size(), unused) {
			}
			if w.of.state.leaving {
				continue
			}
			break
		}
		w.of.add(w.n, w.part)
		b.finish(w, nil)
	}
	if len(b.waiters) > 0 && b.review == nil {
		b.review = time.AfterFunc(reviewPeriod, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.review = nil
			b.settle(time.Now())
		})
	}
}

// size is what the connection will hold.
func (w *claim) size() int64 { return w.of.state.held + w.n }

func (b *Budget) finish(w *claim, err error) {
	b.waiters = slices.DeleteFunc(b.waiters, func(x *claim) bool { return x == w })
	w.of.state.blocked = false
	w.done <- err
}

// displace lets one connection of at least the given rank give way, and reports whether one does. The caller holds the lock.
func (b *Budget) displace(now time.Time, size int64, least rank) bool {
	i := choose(now, func(yield func(int, *state) bool) {
		for i, c := range b.connections {
			if !yield(i, &c.state) {
				return
			}
		}
	}, size, least)
	if i < 0 {
		return false
	}
	c := b.connections[i]
	c.state.leaving = true
	b.leaving += c.state.held
	during := map[phase]string{waiting: DuringIdle, readingHead: DuringHead, readingBody: DuringBody}[c.state.phase]
	b.displaced[during]++
	c.giveWay(during)
	if i := slices.IndexFunc(b.waiters, func(w *claim) bool { return w.of == c }); i >= 0 {
		b.finish(b.waiters[i], ErrDisplaced)
	}
	return true
}
