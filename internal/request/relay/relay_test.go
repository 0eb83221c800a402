package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// linkFaults describes the faults of one link: it first replays some old events, then
// has one fault, or none, at each event.
type linkFaults struct {
	replayed int
	faults   []int
}

// The faults of a link at one event; other numbers mean none.
const (
	repeatEvent = iota
	mixInForeign
	breakLink
	stallLink
	loseEvent
	endEarly
	faultChoices = 15
)

func drawLinkFaults(t *rapid.T) linkFaults {
	return linkFaults{
		replayed: rapid.IntRange(0, 3).Draw(t, "replayed"),
		faults:   rapid.SliceOfN(rapid.IntRange(0, faultChoices-1), 34, 34).Draw(t, "faults"),
	}
}

// link returns a faulty link that starts after the event with this sequence number.
func (f linkFaults) link(events []api.Event, after int64) *link {
	var steps []step
	for i := max(0, int(after)+1-f.replayed); i < len(events); i++ {
		switch f.faults[i] {
		case repeatEvent:
			steps = append(steps, step{event: events[i]})
		case mixInForeign:
			foreign := events[i]
			foreign.ItemID = "msg_other"
			foreign.Response = &api.Response{ID: "resp_other"}
			steps = append(steps, step{event: foreign})
		case breakLink:
			return newLink(append(steps, step{err: errCut})...)
		case stallLink:
			return newLink(append(steps, step{silent: true})...)
		case loseEvent:
			continue
		case endEarly:
			return newLink(steps...)
		}
		steps = append(steps, step{event: events[i]})
	}
	return newLink(steps...)
}

// Guards against lost, repeated, reordered or foreign events, whatever faults the
// connection to the engine has: the reader must receive the whole stream exactly once.
func TestReaderGetsWholeStreamOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := wholeStream(rapid.IntRange(0, 30).Draw(rt, "tokens"))
		var bad []linkFaults
		for range rapid.IntRange(0, 12).Draw(rt, "links") {
			bad = append(bad, drawLinkFaults(rt))
		}
		var result Result
		var err error
		sink := &recorder{}
		synctest.Test(t, func(t *testing.T) {
			resume := func(_ context.Context, _ string, after int64) (Source, error) {
				if len(bad) == 0 {
					return newLink(eventSteps(events[after+1:]...)...), nil
				}
				l := bad[0].link(events, after)
				bad = bad[1:]
				return l, nil
			}
			first := newLink(eventSteps(events[0])...)
			result, err = New(backend, attemptID, sink, resume, DefaultOptions(), Hooks{}).Run(t.Context(), first)
			awaitReaders()
		})
		if err != nil {
			rt.Fatalf("relay: %v", err)
		}
		if len(sink.events) != len(events) || result.Tokens != len(events)-2 {
			rt.Fatalf("got %d events and %d tokens of %d events", len(sink.events), result.Tokens, len(events))
		}
		for i, e := range sink.events {
			if e.SequenceNumber != int64(i) || e.Delta != events[i].Delta {
				rt.Fatalf("event %d is %+v", i, e)
			}
		}
	})
}

// Guards against accepting a late answer of an earlier attempt as the answer of this one.
func TestAnswerOfAnotherAttemptIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		defer awaitReaders()
		sink := &recorder{}
		_, err := New(backend, "attempt-2", sink, noResume, DefaultOptions(), Hooks{}).Run(t.Context(), newLink(eventSteps(wholeStream(5)...)...))
		is.Equal(fault.From(err).Code, fault.EngineLost)
		is.Equal(len(sink.events), 0)
	})
}

// Guards against a wrong result when an engine fails: whether events were forwarded, the
// error code, the execution state and the time taken.
func TestEngineFailures(t *testing.T) {
	events := wholeStream(4)
	cut := step{err: errCut}
	tests := []struct {
		name      string
		steps     func() []step
		resume    Resume
		code      fault.Code
		execution api.Execution
		forwarded bool
		within    time.Duration
	}{
		{"cut before the first event", func() []step { return []step{cut} }, noResume, fault.EngineLost, api.Unknown, false, time.Second},
		{"silent before the first event", func() []step { return []step{{silent: true}} }, hang, fault.EngineLost, api.Unknown, false, 3 * time.Second},
		{"lost before the first token", func() []step { return append(eventSteps(events[0]), cut) }, noResume, fault.EngineLost, api.Ran, false, time.Second},
		{"frozen before the first token", func() []step { return append(eventSteps(events[0]), step{silent: true}) }, hang, fault.EngineLost, api.Ran, false, 6 * time.Second},
		{"process ended before the first token", func() []step { return append(eventSteps(events[0]), cut) }, refuseConnection, fault.EngineLost, api.Ran, false, time.Second},
		{"process ended after the first token", func() []step { return append(eventSteps(events[:3]...), cut) }, refuseConnection, fault.EngineLost, api.Ran, true, time.Second},
		{"lost after the first token", func() []step { return append(eventSteps(events[:3]...), cut) }, noResume, fault.EngineLost, api.Ran, true, time.Second},
		{"frozen after the first token", func() []step { return append(eventSteps(events[:3]...), step{silent: true}) }, hang, fault.EngineLost, api.Ran, true, 13 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				defer awaitReaders()
				began := time.Now()
				result, err := New(backend, attemptID, &recorder{}, tt.resume, DefaultOptions(), Hooks{}).Run(t.Context(), newLink(tt.steps()...))
				f := fault.From(err)
				is.Equal(f.Code, tt.code)
				is.Equal(f.Execution, tt.execution)
				is.Equal(f.Peer, backend)
				is.Equal(result.Forwarded, tt.forwarded)
				is.True(time.Since(began) <= tt.within)
			})
		})
	}
}

// Guards against ending a generation immediately when its reader disconnects, which
// would leave nothing to resume, and against reading forever.
func TestReaderGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		defer awaitReaders()
		opts := DefaultOptions()
		opts.ReaderGrace = 20 * time.Millisecond
		sink := &recorder{failAfter: 3}
		result, err := New(backend, attemptID, sink, noResume, opts, Hooks{}).Run(t.Context(), newLink(eventSteps(wholeStream(10)...)...))
		is.NoErr(err)
		is.True(result.ReaderGone)
		is.Equal(result.Tokens, 10)
		sink = &recorder{failAfter: 3}
		result, err = New(backend, attemptID, sink, noResume, opts, Hooks{}).Run(t.Context(), newLink(eventSteps(wholeStream(100)...)...))
		is.Equal(fault.From(err).Code, fault.Cancelled)
		is.True(result.Tokens < 30)
	})
}

// Guards against a relay that continues past its deadline when an engine sends nothing.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		defer awaitReaders()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := New(backend, attemptID, &recorder{}, hang, DefaultOptions(), Hooks{}).Run(ctx, newLink(step{silent: true}))
		is.Equal(fault.From(err).Code, fault.DeadlineExceeded)
	})
}

// Guards against a relay that replaces connections endlessly and without a delay when
// each of them breaks before its first event.
func TestLinksThatBreakAtOnceEndTheRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		events := wholeStream(5)
		links := 0
		resume := func(context.Context, string, int64) (Source, error) {
			links++
			return newLink(step{err: errCut}), nil
		}
		sink := &recorder{}
		began := time.Now()
		first := newLink(append(eventSteps(events[:3]...), step{err: errCut})...)
		result, err := New(backend, attemptID, sink, resume, DefaultOptions(), Hooks{}).Run(t.Context(), first)
		f := fault.From(err)
		is.Equal(f.Code, fault.EngineLost)
		is.Equal(f.Execution, api.Ran)
		is.Equal(result.Tokens, 2)
		is.True(time.Since(began) >= DefaultOptions().LostAfter)
		is.True(time.Since(began) < DefaultOptions().LostAfter+time.Second)
		is.True(links > 1 && links < 100)
		awaitReaders()
	})
}
