package storefeed

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/boottime"
	"persimmonwing/internal/process/membership"
)

// ServiceName is the net/rpc name of Service.
const ServiceName = "StoreFeed"

const (
	// copyWait is how long a reader holds a question without changes. Answers
	// confirm as of their question, so that it adds twice its length to the age of
	// a follower's confirmations.
	copyWait = 300 * time.Millisecond
	// copyTimeout bounds a question beyond copyWait. Gateways of a data centre are
	// about a millisecond apart.
	copyTimeout = 300 * time.Millisecond
	// maxCopyAge is the age above which a copy is not used. A reader's confirmation
	// gets at most as old as twice followedFeedWait and the store's answer.
	maxCopyAge = 2400 * time.Millisecond
	// avoidFor is the time for which a reader that did not answer is not asked.
	avoidFor = time.Second
	// leastGateways is the number of gateways of a data centre from which on some
	// follow others: of two, a reader and a follower save little.
	leastGateways = 3
	// gatewaysPerReader bounds the questions that a reader answers: 32 gateways ask
	// some 200 times a second.
	gatewaysPerReader = 32
	// spareReaders are asked where the first reader has lost the store or does not
	// answer.
	spareReaders = 1
	// followedFor is the time after a follower's question for which a gateway
	// counts as followed.
	followedFor = 3 * time.Second
	// maxTombstones bounds the dropped rows that a copy remembers. The live rows are
	// a hundred at the target size.
	maxTombstones = 1000
)

// Caller calls peers; it is implemented by peer.Pool.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// View tells the gateways; it is implemented by membership.Gossiper.
type View interface {
	Self() membership.Host
	// Ranked returns at most n live gateways of this data centre in the same order
	// everywhere.
	Ranked(purpose string, n int) []membership.Gateway
}

// Copies are this gateway's copies of the tables, which other gateways follow, and
// its way to the copies of others. A nil *Copies has none.
type Copies struct {
	view   View
	caller Caller
	logger log.Logger

	mu         sync.Mutex
	tables     map[string]*tableCopy
	followedAt time.Time
	avoidUntil map[string]time.Time
	reader     string
}

// tableCopy is a table as its watcher knows it.
type tableCopy struct {
	rows     map[string]Row
	revision int64
	// floor is the oldest revision behind which all changes are known.
	floor       int64
	confirmedAt time.Duration
	lost        bool
	returnedAt  time.Time
	// changed is closed at the next change.
	changed chan struct{}
}

// NewCopies returns empty copies.
func NewCopies(view View, caller Caller, logger log.Logger) *Copies {
	return &Copies{view: view, caller: caller, logger: logger, tables: map[string]*tableCopy{}, avoidUntil: map[string]time.Time{}}
}

// Service serves the copies to peers.
type Service struct{ c *Copies }

// Service returns the net/rpc service.
func (c *Copies) Service() *Service { return &Service{c} }

// Args asks for the changes of a table behind a revision, or for all of it.
type Args struct {
	Table string
	Since int64
}

// Reply is what a reader knows of a table.
type Reply struct {
	// Lost is set if the gateway has not read the table yet or cannot read it now.
	Lost bool
	// Whole is set if the rows are the whole table.
	Whole    bool
	Rows     []Row
	Revision int64
	// Age is the time since the question by which the store confirmed the copy.
	Age time.Duration
	// SinceReturn is the time since the store returned from an outage; 0 is none.
	SinceReturn time.Duration
}

// Feed answers when the table has changed, and after copyWait at the latest.
func (s *Service) Feed(in *Args, out *Reply) error {
	deadline := time.NewTimer(copyWait)
	defer deadline.Stop()
	for {
		changed, done := s.c.read(in, out)
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			// The copy may have been confirmed meanwhile.
			s.c.read(in, out)
			return nil
		}
	}
}

// read fills the reply and reports whether it says something new.
func (c *Copies) read(in *Args, out *Reply) (changed <-chan struct{}, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followedAt = time.Now()
	t := c.table(in.Table)
	*out = Reply{Lost: t.lost, Revision: t.revision, Age: boottime.Now() - t.confirmedAt}
	if !t.returnedAt.IsZero() {
		out.SinceReturn = max(1, time.Since(t.returnedAt))
	}
	out.Whole = in.Since < t.floor
	for _, r := range t.rows {
		if out.Whole && !r.Tombstone || !out.Whole && r.Revision > in.Since {
			out.Rows = append(out.Rows, r)
		}
	}
	slices.SortFunc(out.Rows, func(a, b Row) int { return cmp.Compare(a.Revision, b.Revision) })
	return t.changed, t.lost || out.Whole || len(out.Rows) > 0
}

// table returns a copy, which is lost until it has been read. The caller holds the
// lock.
func (c *Copies) table(name string) *tableCopy {
	t := c.tables[name]
	if t == nil {
		t = &tableCopy{rows: map[string]Row{}, lost: true, changed: make(chan struct{})}
		c.tables[name] = t
	}
	return t
}

// take updates a copy by an answer that the watcher has applied.
func (c *Copies) take(name string, a answer) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table(name)
	news := t.lost || a.whole || len(a.Rows.Rows) > 0
	if a.whole {
		// What was dropped behind the old revision is not known.
		t.rows, t.floor = map[string]Row{}, a.Revision
	}
	for _, r := range a.Rows.Rows {
		t.rows[r.Key] = r
	}
	t.revision = max(t.revision, a.Revision)
	t.confirmedAt = max(t.confirmedAt, a.confirmedAt)
	t.lost = false
	if !a.returnedAt.IsZero() {
		t.returnedAt = a.returnedAt
	}
	t.prune()
	if news {
		t.wake()
	}
}

// lost records that this gateway's watcher cannot read a table.
func (c *Copies) lost(name string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table(name)
	t.lost = true
	t.wake()
}

func (t *tableCopy) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// prune forgets the older half of the dropped rows if there are too many.
func (t *tableCopy) prune() {
	var dropped []int64
	for _, r := range t.rows {
		if r.Tombstone {
			dropped = append(dropped, r.Revision)
		}
	}
	if len(dropped) <= maxTombstones {
		return
	}
	slices.Sort(dropped)
	t.floor = max(t.floor, dropped[len(dropped)/2])
	for key, r := range t.rows {
		if r.Tombstone && r.Revision <= t.floor {
			delete(t.rows, key)
		}
	}
}

// followed reports whether other gateways follow this one.
func (c *Copies) followed() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.followedAt) < followedFor
}

type copyOutcome int

const (
	// copyNone: this gateway reads the store itself.
	copyNone copyOutcome = iota
	copyFresh
	// copyLost: the reader says that it cannot read the store.
	copyLost
)

// ask asks the readers that this gateway may follow, until one can answer, for what
// changed behind since. A whole table must not be older than the revision least.
func (c *Copies) ask(ctx context.Context, table string, since, least int64) (answer, copyOutcome) {
	outcome := copyNone
	for _, reader := range c.choose(time.Now()) {
		a, o := c.askReader(ctx, reader, table, since, least)
		if o == copyFresh {
			c.note(reader.Name)
			return a, o
		}
		outcome = max(outcome, o)
	}
	c.note("")
	return answer{}, outcome
}

func (c *Copies) askReader(ctx context.Context, reader membership.Gateway, table string, since, least int64) (answer, copyOutcome) {
	callCtx, cancel := context.WithTimeout(ctx, copyWait+copyTimeout)
	defer cancel()
	askedAt := boottime.Now()
	var r Reply
	if err := c.caller.Call(callCtx, reader.PeerAddress, ServiceName+".Feed", &Args{Table: table, Since: since}, &r); err != nil {
		if ctx.Err() == nil {
			_ = level.Info(c.logger).Log("msg", "reader of the store lost", "reader", reader.Name, "table", table, "err", err)
			c.avoid(reader.Name, time.Now().Add(avoidFor))
		}
		return answer{}, copyNone
	}
	return r.answer(since, least, askedAt)
}

// answer judges a reply to a question of a time since boot. Counting its age from
// the question makes the confirmation older than it is, by the time of the call.
func (r *Reply) answer(since, least int64, askedAt time.Duration) (answer, copyOutcome) {
	if r.Lost {
		return answer{}, copyLost
	}
	if r.Age > maxCopyAge || r.Whole && r.Revision < least {
		return answer{}, copyNone
	}
	a := answer{Rows: Rows{Rows: r.Rows, Revision: r.Revision}, whole: r.Whole}
	if r.Revision >= since {
		a.confirmedAt = askedAt - r.Age
	}
	if r.SinceReturn > 0 {
		a.returnedAt = time.Now().Add(-r.SinceReturn)
	}
	return a, copyFresh
}

func (c *Copies) avoid(reader string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[reader] = until
	maps.DeleteFunc(c.avoidUntil, func(_ string, until time.Time) bool { return time.Now().After(until) })
}

// choose returns the readers that this gateway may follow, in the order to ask, or
// none if it is the first reader itself. A gateway follows only such as rank before
// it everywhere, so that no two follow each other even where views differ.
func (c *Copies) choose(now time.Time) []membership.Gateway {
	if c == nil {
		return nil
	}
	ranked := c.view.Ranked("store", maxRanked)
	if len(ranked) < leastGateways {
		return nil
	}
	self := c.view.Self().Name
	readers := 1 + (len(ranked)-1)/gatewaysPerReader
	before := slices.IndexFunc(ranked, func(g membership.Gateway) bool { return g.Name == self })
	if before < readers {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	first := int(xxhash.Sum64String(self) % uint64(readers))
	var out []membership.Gateway
	for i := range min(readers+spareReaders, before) {
		g := ranked[i]
		if i < readers {
			g = ranked[(first+i)%readers]
		}
		if len(out) < 1+spareReaders && !now.Before(c.avoidUntil[g.Name]) {
			out = append(out, g)
		}
	}
	return out
}

// maxRanked is above the gateways of a data centre at the target size.
const maxRanked = 1000

// note logs a change of the reader that answers.
func (c *Copies) note(reader string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if reader != c.reader {
		_ = level.Info(c.logger).Log("msg", "way to the store changed", "reader", reader, "before", c.reader)
		c.reader = reader
	}
}
