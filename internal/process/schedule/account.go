package schedule

import (
	"fmt"
	"time"

	"persimmonwing/internal/version/catalogue"
)

// Account states why a request waited, was refused or was overtaken. The zero value is that of a request that
// was never queued. Nothing is decided by it.
type Account struct {
	// Rank is "urgent", "over_share" or "background", at the time of the decision.
	Rank string
	// Ahead is the number of requests that were queued before it and that may go first: those of its class,
	// and urgent ones if it is background work.
	Ahead int
	// Overtaken is the number of requests of the group that were queued later and granted first, of the latest
	// grantLogSize grants.
	Overtaken int
	// Lacked is what the request lacked when it was last passed over.
	Lacked Lack
	// Expected is the wait that was expected when it was queued.
	Expected time.Duration
	// Withdrawn is the number of its grants that arbiters refused.
	Withdrawn int
}

// Lack is what a request lacked. Of several replicas that lack something different, the highest value counts:
// that replica came nearest to accepting the request.
type Lack int

const (
	// LackNone means that the request did not wait.
	LackNone Lack = iota
	// LackServer means that no replica that it may use accepts work.
	LackServer
	// LackSlots means that all batches are full, or that a cold replica may not start more.
	LackSlots
	LackMemory
	// LackPrompts means that the replicas with room have too many prompts to read to begin in time.
	LackPrompts
	// LackSuspect means that another suspect, or an equal request, must end first.
	LackSuspect
	// LackShare means that its workspace is over its share and the room is kept for others.
	LackShare
	// LackTurn means that other requests of its workspace or rank were first.
	LackTurn
	// LackQueue means that the queue was full.
	LackQueue
	// LackConfirmation means that it waited only because arbiters refused its grants.
	LackConfirmation
)

var lackNames = [...]string{"none", "server", "slots", "memory", "prompts", "suspect", "share", "turn", "queue", "confirmation"}

// String returns the name of the lack in logs and metrics.
func (l Lack) String() string {
	if l < 0 || int(l) >= len(lackNames) {
		return "unknown" // of a newer gateway
	}
	return lackNames[l]
}

// Full reports whether replicas that accept work were full.
func (l Lack) Full() bool {
	return l == LackSlots || l == LackMemory || l == LackPrompts || l == LackShare
}

// Waited reports whether the request had to wait or was refused.
func (a *Account) Waited() bool { return a.Lacked != LackNone }

// LogFields returns the account as keys and values of a log line, or nil if the request did not wait.
func (a *Account) LogFields() []any {
	if !a.Waited() {
		return nil
	}
	fields := []any{"rank", a.Rank, "lacked", a.Lacked, "queued_ahead", a.Ahead, "overtaken", a.Overtaken, "expected_ms", a.Expected.Milliseconds()}
	if a.Withdrawn > 0 {
		fields = append(fields, "withdrawn", a.Withdrawn)
	}
	return fields
}

// String returns the account for operators.
func (a *Account) String() string {
	if !a.Waited() {
		return "did not wait"
	}
	text := fmt.Sprintf("rank %s, lacked %s, %d queued ahead, overtaken by %d, expected to wait %v", a.Rank, a.Lacked, a.Ahead, a.Overtaken, a.Expected.Round(time.Millisecond))
	if a.Withdrawn > 0 {
		text += fmt.Sprintf(", %d grants withdrawn", a.Withdrawn)
	}
	return text
}

// Continue adds the account of an earlier wait of the same request, of which arbiters have refused this
// number of grants.
func (a *Account) Continue(earlier Account, withdrawn int) {
	a.Withdrawn = withdrawn
	if earlier.Rank == "" {
		return
	}
	a.Ahead, a.Expected = earlier.Ahead, earlier.Expected
	a.Overtaken += earlier.Overtaken
	if a.Lacked == LackNone {
		a.Lacked = earlier.Lacked
	}
	if a.Rank == "" {
		a.Rank = earlier.Rank
	}
	if withdrawn > 0 && a.Lacked == LackNone {
		a.Lacked = LackConfirmation
	}
}

// grantLogSize is the number of grants of which accounts know the order: those of a burst within the time that
// urgent requests wait. Each costs a comparison at a decision on a request that waited through it.
const grantLogSize = 256

// accounting is the state of a group from which accounts are made.
type accounting struct {
	// queued is the number of requests queued so far, and grants that of grants.
	queued, grants uint64
	// granted holds the queue numbers of the latest grants.
	granted [grantLogSize]uint64
	// passes is the number of calls of Dispatch. In closedPass, the last one that had no open replica left,
	// requests lacked closedLack.
	passes, closedPass uint64
	closedLack         Lack
	// placing is what the replicas lacked for the request that is being placed.
	placing Lack
}

// queueEntry is what the account of a queued request is made from. number is its place in the order of
// arrival, and grants and pass are the counts of the group when it was queued.
type queueEntry struct {
	number, grants, pass uint64
	ahead                int
	expected             time.Duration
	lacked               Lack
	lackedPass           uint64
}

// enter returns the entry of a request that is queued now.
func (g *Group) enter(now time.Time, q *Request) queueEntry {
	a := &g.accounting
	a.queued++
	class := queueClass(q)
	ahead := g.queue.Len(class)
	if class == catalogue.Background {
		ahead += g.queue.Len(catalogue.Urgent)
	}
	return queueEntry{
		number: a.queued, grants: a.grants, pass: a.passes, ahead: ahead,
		expected: g.expectedWait(now, q, ahead),
	}
}

// noteGrant records that a queued request was granted.
func (a *accounting) noteGrant(e *queueEntry) {
	a.granted[a.grants%grantLogSize] = e.number
	a.grants++
}

// notePass records what is lacking at the end of a Dispatch that left requests waiting.
func (g *Group) notePass() {
	a := &g.accounting
	if g.waiting() == 0 || g.open() {
		return
	}
	a.closedPass, a.closedLack = a.passes, LackSlots
	if len(g.available) == 0 {
		a.closedLack = LackServer
	}
}

// noteSkip records what a request lacked that stays queued.
func (g *Group) noteSkip(e *queueEntry, why placement) {
	e.lackedPass = g.accounting.passes
	switch why {
	case isolated:
		e.lacked = LackSuspect
	case reservedForOthers:
		e.lacked = LackShare
	case noneEligible:
		e.lacked = LackServer
	default:
		e.lacked = max(g.accounting.placing, LackSlots)
	}
}

// saturatedBy returns what the least loaded replica lacks while the group is saturated.
func (g *Group) saturatedBy(now time.Time) Lack {
	if r := g.available[0]; r.occupied() < g.slots(r, now) {
		return LackMemory
	}
	return LackSlots
}

// account returns the account of a queued request on which is decided now.
func (g *Group) account(now time.Time, t *queuedRequest) Account {
	return Account{
		Rank:      g.rankOf(now, &t.request, queueClass(&t.request)).String(),
		Ahead:     t.entry.ahead,
		Overtaken: g.accounting.overtaken(&t.entry),
		Lacked:    g.accounting.lacked(&t.entry),
		Expected:  t.entry.expected,
	}
}

func (a *accounting) overtaken(e *queueEntry) int {
	n := 0
	for i := max(e.grants, a.grants-min(a.grants, grantLogSize)); i < a.grants; i++ {
		if a.granted[i%grantLogSize] > e.number {
			n++
		}
	}
	return n
}

func (a *accounting) lacked(e *queueEntry) Lack {
	switch {
	case a.closedPass > max(e.lackedPass, e.pass):
		return a.closedLack
	case e.lacked != LackNone:
		return e.lacked
	case a.passes > e.pass+1:
		return LackTurn
	}
	return LackNone
}

// Account returns the account of a waiting request, so that it can be given to a caller that stops waiting.
func (g *Group) Account(now time.Time, id string) Account {
	if t, waiting := g.queue.Get(id); waiting {
		return g.account(now, &t)
	}
	return Account{}
}

// queueFull returns the account of a request that finds or loses no place in the queue.
func (g *Group) queueFull(now time.Time, t *queuedRequest) Account {
	a := g.account(now, t)
	a.Lacked = LackQueue
	return a
}
