package storefeed

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
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
	// copyWait is how long a reader delays its reply to a follower while there are no
	// changes.
	// A reply confirms the table as of the time at which the call was sent, so copyWait
	// adds up to twice its length to the age of a follower's confirmations.
	copyWait = 300 * time.Millisecond
	// copyTimeout bounds a call to a reader in addition to copyWait. The latency between
	// gateways of a data centre is about a millisecond.
	copyTimeout = 300 * time.Millisecond
	// maxCopyAge is the age above which a copy is not used. The confirmation of a
	// working reader is at most as old as twice followedFeedWait plus the response time
	// of the store.
	maxCopyAge = 2400 * time.Millisecond
	// avoidFor is how long a gateway does not call a reader that did not respond.
	avoidFor = time.Second
	// maxReadersAbove is the number of readers of other data centres that a reader may follow:
	// the first in rank and a spare one.
	maxReadersAbove = 2
	// gatewaysPerReader is the number of gateways for which a data centre has one reader;
	// the number of readers is rounded up. It limits the calls that a reader serves: 32
	// gateways send about 200 calls/s.
	gatewaysPerReader = 32
	// spareReaders is the number of further readers that are called if the first one
	// cannot read the store or does not respond.
	spareReaders = 1
	// followerTimeout is how long a gateway counts as followed after the last call of a
	// follower.
	followerTimeout = 3 * time.Second
	// substitutesPerFetch bounds the gateways that are called for a copy at a time by a gateway that can read neither the
	// store nor the copy of a reader. Those that can't read the store either answer at once.
	substitutesPerFetch = 3
	// maxSubstitutes is the number of live gateways up to which all of them may be substitutes. In a larger fleet only those
	// are that most gateways have connections to.
	maxSubstitutes = 16
	// substitutesRanked is the number of gateways of this data centre that may be substitutes then.
	substitutesRanked = 8
	// maxTombstones bounds the deleted rows kept in a copy. At the target size there are
	// about a hundred live rows.
	maxTombstones = 1000
)

// Caller calls peers; it is implemented by peer.Pool.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// View provides the known gateways; it is implemented by membership.Gossiper.
type View interface {
	Self() membership.Host
	// Ranked returns at most n live gateways of this data centre for a purpose, in an
	// order that is the same on all gateways.
	Ranked(purpose string, n int) []membership.Gateway
	// FirstRanked returns the gateway of each data centre that Ranked puts first, in rank
	// order.
	FirstRanked(purpose string) []membership.Gateway
	// Live returns the live gateways of all data centres.
	Live() []membership.Gateway
}

// Copies holds this gateway's copies of the store's tables. A reader is a gateway that
// reads the store directly. The other gateways of its data centre follow it: they fetch
// its copies instead of reading the store. Copies serves this gateway's copies to its
// followers and fetches the copies of the readers that this gateway follows. A nil *Copies
// has no tables and fetches nothing.
type Copies struct {
	view   View
	caller Caller
	logger log.Logger

	mu         sync.Mutex
	tables     map[string]*tableCopy
	followedAt time.Time
	avoidUntil map[string]time.Time
	reader     string
	// substitute is the gateway that was a substitute last, or "".
	substitute string
}

// tableCopy is a table as last read by its watcher.
type tableCopy struct {
	rows map[string]Row
	at   Position
	// historyStart is the oldest revision of the era after which all changes are known.
	historyStart int64
	confirmedAt  time.Duration
	// lost is set while the watcher cannot read the table. unread is set until it has read
	// it for the first time.
	lost, unread bool
	recoveredAt  time.Time
	// changed is closed and replaced at the next change.
	changed chan struct{}
	// packed is the last packed reply. Followers mostly ask for the same rows at the same time.
	packed packedReply
}

// packedReply holds the packed rows of a table at a position that followers with revision since need.
type packedReply struct {
	since int64
	at    Position
	rows  []byte
}

// NewCopies returns empty copies.
func NewCopies(view View, caller Caller, logger log.Logger) *Copies {
	return &Copies{view: view, caller: caller, logger: logger, tables: map[string]*tableCopy{}, avoidUntil: map[string]time.Time{}}
}

// Service is the net/rpc service that serves the copies to other gateways.
type Service struct{ c *Copies }

// Service returns the net/rpc service for these copies.
func (c *Copies) Service() *Service { return &Service{c} }

// Args requests the changes of a table after revision Since of an era. The reply has the whole table
// if the called gateway does not know all of these changes.
type Args struct {
	Table string
	Since int64
	Era   int64
	// HasEra is set by followers that know eras.
	HasEra bool
	// Packs is set by followers that read Reply.Packed.
	Packs bool
}

// Reply contains the called gateway's copy of a table.
type Reply struct {
	// Lost is set if the called gateway has not read the table yet or cannot read it now.
	Lost bool
	// Whole is set if the rows are the whole table.
	Whole bool
	Rows  []Row
	// Packed holds the rows in place of Rows if they are large.
	Packed   []byte
	Revision int64
	Era      int64
	// Age is the time since the call that last confirmed the copy was sent to the store.
	Age time.Duration
	// SinceReturn is the time since the store recovered from its last outage, or 0 if
	// there was none.
	SinceReturn time.Duration
}

// Feed fills out with the table's changes after in.Since. It returns as soon as there are
// changes or the copy is lost, and after copyWait at the latest.
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
			// The copy may have been confirmed in the meantime.
			s.c.read(in, out)
			return nil
		}
	}
}

// read fills out and reports whether it has something new for the follower. changed is
// closed at the table's next change.
func (c *Copies) read(in *Args, out *Reply) (changed <-chan struct{}, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followedAt = time.Now()
	t := c.table(in.Table)
	*out = Reply{Lost: t.lost, Revision: t.at.Revision, Era: t.at.Era, Age: boottime.Now() - t.confirmedAt}
	if in.HasEra && in.Era > t.at.Era && !t.unread {
		// The store has come back from an older copy, and this gateway has not read it since.
		out.Lost = true
		return t.changed, true
	}
	if !t.recoveredAt.IsZero() {
		out.SinceReturn = max(1, time.Since(t.recoveredAt))
	}
	out.Whole = (in.Since < t.historyStart || in.HasEra && in.Era < t.at.Era) && !t.unread
	if !out.Whole && in.Since >= t.at.Revision {
		// A reader answers this for each of its followers several times a second.
		return t.changed, t.lost && !t.unread
	}
	for _, r := range t.rows {
		if out.Whole && !r.Tombstone || !out.Whole && r.Revision > in.Since {
			out.Rows = append(out.Rows, r)
		}
	}
	slices.SortFunc(out.Rows, func(a, b Row) int { return cmp.Compare(a.Revision, b.Revision) })
	done = t.lost && !t.unread || out.Whole || len(out.Rows) > 0
	if in.Packs {
		t.pack(in.Since, out)
	}
	return t.changed, done
}

// pack replaces the rows of a reply by packed ones if they are large.
func (t *tableCopy) pack(since int64, out *Reply) {
	size := 0
	for _, r := range out.Rows {
		size += len(r.Value)
	}
	if size <= packAbove {
		return
	}
	if out.Whole {
		since = needsList
	}
	if t.packed.rows == nil || t.packed.since != since || t.packed.at != t.at {
		rows, err := packRows(out.Rows)
		if err != nil {
			return
		}
		t.packed = packedReply{since, t.at, rows}
	}
	out.Rows, out.Packed = nil, t.packed.rows
}

// table returns the copy of a table, creating it if needed. A new copy is marked as lost
// until the table has been read. The caller holds the lock.
func (c *Copies) table(name string) *tableCopy {
	t := c.tables[name]
	if t == nil {
		t = &tableCopy{rows: map[string]Row{}, lost: true, unread: true, changed: make(chan struct{})}
		c.tables[name] = t
	}
	return t
}

// update adds the rows of a response to the copy of a table. It is called after the watcher
// has applied the response.
func (c *Copies) update(name string, res result) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table(name)
	changed := t.lost || res.whole || len(res.Rows.Rows) > 0
	if res.whole {
		// The rows deleted since the last response are not known.
		t.rows, t.historyStart, t.at = map[string]Row{}, res.Revision, res.Position()
	}
	for _, r := range res.Rows.Rows {
		t.rows[r.Key] = r
	}
	if t.at.Before(res.Position()) {
		t.at = res.Position()
	}
	t.confirmedAt = max(t.confirmedAt, res.confirmedAt)
	// A follower of this gateway that reads the store must not read it through one that ranks after both.
	t.lost, t.unread = res.substitute, false
	if !res.recoveredAt.IsZero() {
		t.recoveredAt = res.recoveredAt
	}
	t.prune()
	if changed {
		t.wake()
	}
}

// markLost records that this gateway's watcher cannot read a table any more.
func (c *Copies) markLost(name string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table(name)
	t.lost, t.unread = true, false
	t.wake()
}

func (t *tableCopy) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// prune removes the older half of the tombstones if there are more than maxTombstones.
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
	t.historyStart = max(t.historyStart, dropped[len(dropped)/2])
	for key, r := range t.rows {
		if r.Tombstone && r.Revision <= t.historyStart {
			delete(t.rows, key)
		}
	}
}

// followed reports whether other gateways have followed this one within followerTimeout.
func (c *Copies) followed() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.followedAt) < followerTimeout
}

type copyOutcome int

const (
	// copyNone means that no reader's copy can be used.
	copyNone copyOutcome = iota
	copyFresh
	// copyLost means that the reader reports that it cannot read the store.
	copyLost
)

// fetch calls the readers that this gateway may follow, one after the other, until one
// returns a usable copy of the changes after position since. A copy must not be of an era before that of oldest, and a whole
// table must not precede oldest.
func (c *Copies) fetch(ctx context.Context, table string, since, oldest Position) (result, copyOutcome) {
	outcome := copyNone
	for _, reader := range c.candidateReaders(time.Now()) {
		res, o := c.fetchFromReader(ctx, reader, table, since, oldest)
		if o == copyFresh {
			c.setReader(reader.Name)
			res.reader = reader.Name
			return res, o
		}
		outcome = max(outcome, o)
	}
	c.setReader("")
	return result{}, outcome
}

func (c *Copies) fetchFromReader(ctx context.Context, reader membership.Gateway, table string, since, oldest Position) (result, copyOutcome) {
	callCtx, cancel := context.WithTimeout(ctx, copyWait+copyTimeout)
	defer cancel()
	sentAt := boottime.Now()
	var r Reply
	if err := c.caller.Call(callCtx, reader.PeerAddress, ServiceName+".Feed", &Args{Table: table, Since: since.Revision, Era: oldest.Era, HasEra: true, Packs: true}, &r); err != nil {
		if ctx.Err() == nil {
			_ = level.Info(c.logger).Log("msg", "reader of the store does not respond", "reader", reader.Name, "table", table, "err", err)
			c.avoid(reader.Name, time.Now().Add(avoidFor))
		}
		return result{}, copyNone
	}
	if len(r.Packed) > 0 {
		var err error
		if r.Rows, err = unpackRows(r.Packed); err != nil {
			_ = level.Warn(c.logger).Log("msg", "ignoring a copy from a reader of the store", "reader", reader.Name, "table", table, "err", err)
			return result{}, copyNone
		}
	}
	return r.result(since, oldest, sentAt)
}

// result converts the reply to a call. sentAt is the time since boot at which the call was
// sent. Because r.Age is subtracted from sentAt, the confirmation appears older than it is
// by at most the duration of the call, and never newer.
func (r *Reply) result(since, oldest Position, sentAt time.Duration) (result, copyOutcome) {
	if r.Lost {
		return result{}, copyLost
	}
	res := result{Rows: Rows{Rows: r.Rows, Revision: r.Revision, Era: r.Era}, whole: r.Whole}
	if r.Age > maxCopyAge || r.Whole && res.Position().Before(oldest) || r.Era < oldest.Era {
		return result{}, copyNone
	}
	if !res.Position().Before(since) {
		res.confirmedAt = sentAt - r.Age
	}
	if r.SinceReturn > 0 {
		res.recoveredAt = time.Now().Add(-r.SinceReturn)
	}
	return res, copyFresh
}

func (c *Copies) avoid(reader string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[reader] = until
	maps.DeleteFunc(c.avoidUntil, func(_ string, until time.Time) bool { return time.Now().After(until) })
}

// candidateReaders returns the readers that this gateway may follow, in the order in which
// to call them. A reader may follow the first readers of all data centres, so that usually
// one gateway of all reads the store: each call costs money, and with a reader in each of six
// data centres the calls were the largest cost of all. A gateway only follows gateways that
// rank before it, in an order that is the same on all gateways, so that there is no cycle
// even if their views differ.
func (c *Copies) candidateReaders(now time.Time) []membership.Gateway {
	if c == nil {
		return nil
	}
	ranked := c.view.Ranked(purpose, maxRanked)
	self := c.view.Self().Name
	readers := 1 + (len(ranked)-1)/gatewaysPerReader
	before := slices.IndexFunc(ranked, func(g membership.Gateway) bool { return g.Name == self })
	if before < 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if before < readers {
		return c.readersAbove(now, self)
	}
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

// readersAbove returns the readers that a reader may follow. The caller holds the lock.
func (c *Copies) readersAbove(now time.Time, self string) []membership.Gateway {
	var out []membership.Gateway
	first := c.view.FirstRanked(purpose)
	for _, g := range first[:min(maxReadersAbove, len(first))] {
		if membership.RanksBefore(g.Name, self, purpose) && !now.Before(c.avoidUntil[g.Name]) {
			out = append(out, g)
		}
	}
	return out
}

// purpose is the purpose for which gateways are ranked.
const purpose = "store"

// maxRanked is larger than the number of gateways of a data centre at the target size.
const maxRanked = 1000

// fetchSubstitute calls some of the gateways that this one does not follow for their copy of the changes after position since,
// or of the whole table. They follow readers in rank order as usual, and none of them uses what this gateway gets from
// them, since its own copy stays marked as lost.
func (c *Copies) fetchSubstitute(ctx context.Context, table string, since, oldest Position) (result, bool) {
	for _, g := range c.substitutes(time.Now()) {
		if ctx.Err() != nil {
			break
		}
		res, outcome := c.fetchFromReader(ctx, g, table, since, oldest)
		c.noteSubstitute(g.Name, outcome == copyFresh)
		if outcome == copyFresh {
			res.reader, res.substitute = g.Name, true
			return res, true
		}
	}
	return result{}, false
}

// substitutes returns the gateways to call for a copy: the last one that had it, and others at random.
func (c *Copies) substitutes(now time.Time) []membership.Gateway {
	if c == nil {
		return nil
	}
	candidates := c.view.Live()
	if len(candidates) > maxSubstitutes {
		candidates = append(c.view.Ranked(purpose, substitutesRanked), c.view.FirstRanked(purpose)...)
	}
	self := c.view.Self().Name
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []membership.Gateway
	for _, g := range candidates {
		switch {
		case g.Name == self || now.Before(c.avoidUntil[g.Name]):
		case g.Name == c.substitute:
			out = append([]membership.Gateway{g}, out...)
		default:
			out = append(out, g)
		}
	}
	return out[:min(substitutesPerFetch, len(out))]
}

// noteSubstitute records whether a gateway had a usable copy. The substitute is kept until it has none.
func (c *Copies) noteSubstitute(name string, usable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case usable && c.substitute == "":
		_ = level.Info(c.logger).Log("msg", "reading the copies of a gateway that can read the store", "gateway", name)
		c.substitute = name
	case !usable && c.substitute == name:
		c.substitute = ""
	}
}

// setReader records the reader whose copy is used, "" for the store itself, and logs a
// change.
func (c *Copies) setReader(reader string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if reader != c.reader {
		_ = level.Info(c.logger).Log("msg", "reader of the store changed", "reader", reader, "before", c.reader)
		c.reader = reader
	}
}
