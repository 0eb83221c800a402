package loadgen

import (
	"strconv"
	"strings"

	"persimmonwing/internal/request/api"
)

// Violation names a property that an answer broke.
type Violation string

// The violations that a run can find.
const (
	Lost       Violation = "lost"
	Duplicated Violation = "duplicated"
	OutOfOrder Violation = "out_of_order"
	Foreign    Violation = "foreign"
	// Mixed means that one stream joins two generations.
	Mixed Violation = "mixed_generations"
	// RanTwice means that a call with an idempotency key ran more than once.
	RanTwice Violation = "ran_twice"
	// RanThoughRefused means that a request ran although its caller was told
	// that it did not.
	RanThoughRefused Violation = "ran_though_not_run"
)

// AllViolations lists the violations in the order of reports.
var AllViolations = []Violation{Lost, Duplicated, OutOfOrder, Foreign, Mixed, RanTwice, RanThoughRefused}

// ledger counts numbers that shall come as 0, 1, 2 and so on.
type ledger struct {
	next    int64
	missing map[int64]bool
	counts  map[Violation]int
}

// maxMissing bounds the numbers that are remembered as missing.
const maxMissing = 1 << 16

func newLedger() *ledger {
	return &ledger{missing: map[int64]bool{}, counts: map[Violation]int{}}
}

// add takes the next number. A number that was skipped counts as lost until it
// comes, and then as out of order.
func (l *ledger) add(n int64) {
	switch {
	case n == l.next:
		l.next++
	case n > l.next:
		for ; l.next < n && len(l.missing) < maxMissing; l.next++ {
			l.missing[l.next] = true
			l.counts[Lost]++
		}
		l.next = n + 1
	case l.missing[n]:
		delete(l.missing, n)
		l.counts[Lost]--
		l.counts[OutOfOrder]++
	default:
		l.counts[Duplicated]++
	}
}

// Verifier checks the events of one generation as its reader sees them, over
// all connections that carried them.
type Verifier struct {
	marker     string
	want       int
	events     *ledger
	tokens     *ledger
	responseID string
	engineID   string
	counts     map[Violation]int
	ended      bool
}

// NewVerifier checks a generation with this id marker that shall have want tokens.
func NewVerifier(marker string, want int) *Verifier {
	return &Verifier{marker: marker, want: want, events: newLedger(), tokens: newLedger(), counts: map[Violation]int{}}
}

// Next is the sequence number that shall come next.
func (v *Verifier) Next() int64 { return v.events.next }

// Tokens is the number of tokens up to the highest one seen.
func (v *Verifier) Tokens() int { return int(v.tokens.next) }

// ResponseID is the id under which the stream can be resumed, or "".
func (v *Verifier) ResponseID() string { return v.responseID }

// Event checks one event.
func (v *Verifier) Event(e api.Event) {
	if v.ended {
		v.counts[Duplicated]++
		return
	}
	v.events.add(e.SequenceNumber)
	if e.Response != nil && e.Response.ID != "" {
		v.response(e.Response.ID)
	}
	if e.Type == api.EventDelta {
		v.token(e.Delta)
	}
	if e.Type.Terminal() {
		v.ended = true
		v.finish(e)
	}
}

func (v *Verifier) response(id string) {
	if v.responseID == "" {
		v.responseID = id
	}
	if id != v.responseID {
		v.counts[Mixed]++
	}
}

// token checks the text "<engine response id>|<id marker>|<index> ".
func (v *Verifier) token(text string) {
	engineID, rest, _ := strings.Cut(text, "|")
	marker, number, _ := strings.Cut(rest, "|")
	index, err := strconv.ParseInt(strings.TrimSuffix(number, " "), 10, 64)
	if err != nil || marker != v.marker {
		v.counts[Foreign]++
		return
	}
	if v.engineID == "" {
		v.engineID = engineID
	}
	if engineID != v.engineID {
		v.counts[Mixed]++
		return
	}
	v.tokens.add(index)
}

// finish compares the number of tokens with the one that was asked for.
func (v *Verifier) finish(e api.Event) {
	if e.Type != api.EventCompleted {
		return
	}
	switch got := v.Tokens(); {
	case got < v.want:
		v.tokens.counts[Lost] += v.want - got
	case got > v.want:
		v.tokens.counts[Duplicated] += got - v.want
	}
}

// Violations returns the counts by property. An event that is lost, repeated or
// out of order shows in its sequence number and in its token; it counts once.
func (v *Verifier) Violations() map[Violation]int {
	out := map[Violation]int{}
	for _, p := range AllViolations {
		if n := max(v.events.counts[p], v.tokens.counts[p]) + v.counts[p]; n > 0 {
			out[p] = n
		}
	}
	return out
}
