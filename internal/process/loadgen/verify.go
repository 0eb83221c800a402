package loadgen

import (
	"strconv"
	"strings"

	"persimmonwing/internal/request/api"
)

// Violation names a way in which a response was wrong.
type Violation string

// The violations that a run can find.
const (
	Lost       Violation = "lost"
	Duplicated Violation = "duplicated"
	OutOfOrder Violation = "out_of_order"
	Foreign    Violation = "foreign"
	// MixedGenerations means that one stream joins two generations.
	MixedGenerations Violation = "mixed_generations"
	// RanTwice means that a call with an idempotency key ran more than once.
	RanTwice Violation = "ran_twice"
	// RanThoughNotRun means that a request ran although it was reported to its
	// caller as not run.
	RanThoughNotRun Violation = "ran_though_not_run"
)

// AllViolations lists the violations in the order in which reports show them.
var AllViolations = []Violation{Lost, Duplicated, OutOfOrder, Foreign, MixedGenerations, RanTwice, RanThoughNotRun}

// sequenceTracker checks numbers that are expected as 0, 1, 2 and so on, and counts
// the violations. next is one more than the highest number received.
type sequenceTracker struct {
	next    int64
	missing map[int64]bool
	counts  map[Violation]int
}

// maxMissing bounds the size of sequenceTracker.missing.
const maxMissing = 1 << 16

func newSequenceTracker() *sequenceTracker {
	return &sequenceTracker{missing: map[int64]bool{}, counts: map[Violation]int{}}
}

// add records the next number received. A skipped number counts as lost until it
// arrives, and then as out of order.
func (l *sequenceTracker) add(n int64) {
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

// Verifier checks the events of one generation in the order in which its reader
// receives them, over all connections. marker is the id in the prompt, which each token
// has to repeat, and want the expected number of tokens.
type Verifier struct {
	marker     string
	want       int
	events     *sequenceTracker
	tokens     *sequenceTracker
	responseID string
	engineID   string
	counts     map[Violation]int
	ended      bool
}

// NewVerifier returns a Verifier for a generation with this id marker and the given
// number of tokens.
func NewVerifier(marker string, want int) *Verifier {
	return &Verifier{marker: marker, want: want, events: newSequenceTracker(), tokens: newSequenceTracker(), counts: map[Violation]int{}}
}

// NextSequence returns the sequence number that is expected next.
func (v *Verifier) NextSequence() int64 { return v.events.next }

// Tokens returns the number of tokens up to the highest index received.
func (v *Verifier) Tokens() int { return int(v.tokens.next) }

// ResponseID returns the id with which the stream can be resumed, or "" before it is
// known.
func (v *Verifier) ResponseID() string { return v.responseID }

// Event checks one event. Any event after a terminal one counts as duplicated.
func (v *Verifier) Event(e api.Event) {
	if v.ended {
		v.counts[Duplicated]++
		return
	}
	v.events.add(e.SequenceNumber)
	if e.Response != nil && e.Response.ID != "" {
		v.checkResponseID(e.Response.ID)
	}
	if e.Type == api.EventDelta {
		v.checkToken(e.Delta)
	}
	if e.Type.Terminal() {
		v.ended = true
		v.checkTokenCount(e)
	}
}

func (v *Verifier) checkResponseID(id string) {
	if v.responseID == "" {
		v.responseID = id
	}
	if id != v.responseID {
		v.counts[MixedGenerations]++
	}
}

// checkToken checks a token's text, "<engine response id>|<id marker>|<index> ".
func (v *Verifier) checkToken(text string) {
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
		v.counts[MixedGenerations]++
		return
	}
	v.tokens.add(index)
}

// checkTokenCount compares the number of tokens of a completed generation with the
// requested number.
func (v *Verifier) checkTokenCount(e api.Event) {
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

// Violations returns the counts above 0. An event that is lost, duplicated or out of
// order appears in both the sequence numbers and the tokens, but counts once.
func (v *Verifier) Violations() map[Violation]int {
	out := map[Violation]int{}
	for _, p := range AllViolations {
		if n := max(v.events.counts[p], v.tokens.counts[p]) + v.counts[p]; n > 0 {
			out[p] = n
		}
	}
	return out
}
