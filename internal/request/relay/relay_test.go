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

// badLink draws a link that starts after event `after` and misbehaves: replays
// old events, repeats, mixes in another stream, skips, breaks or goes silent.
func badLink(t *rapid.T, events []api.Event, after int64) *link {
	var steps []step
	from := max(0, int(after)+1-rapid.IntRange(0, 3).Draw(t, "replayed"))
	for i := from; i < len(events); i++ {
		switch rapid.IntRange(0, 14).Draw(t, "fault") {
		case 0:
			steps = append(steps, step{event: events[i]})
		case 1:
			foreign := events[i]
			foreign.ItemID = "msg_other"
			foreign.Response = &api.Response{ID: "resp_other"}
			steps = append(steps, step{event: foreign})
		case 2:
			return newLink(append(steps, step{err: errCut})...)
		case 3:
			return newLink(append(steps, step{silent: true})...)
		case 4:
			continue // a lost event
		case 5:
			return newLink(steps...) // ends early as if complete
		}
		steps = append(steps, step{event: events[i]})
	}
	return newLink(steps...)
}

// Guards against lost, repeated, reordered or foreign events whatever the link
// to the engine does: the reader has the whole stream exactly once.
func TestReaderGetsWholeStreamOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := script(rapid.IntRange(0, 30).Draw(rt, "tokens"))
		links := 0
		resume := func(_ context.Context, _ string, after int64) (Source, error) {
			if links++; links > 20 {
				return newLink(play(events[after+1:]...)...), nil
			}
			return badLink(rt, events, after), nil
		}
		first := newLink(append(play(events[0]), badLink(rt, events, 0).steps...)...)
		synctest.Test(t, func(t *testing.T) {
			sink := &recorder{}
			result, err := New(backend, attemptID, sink, resume, DefaultOptions(), Hooks{}).Run(t.Context(), first)
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
	})
}

// Guards against a late answer of an earlier attempt being taken for this one.
func TestAnswerOfAnotherAttemptIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sink := &recorder{}
		_, err := New(backend, "attempt-2", sink, noResume, DefaultOptions(), Hooks{}).Run(t.Context(), newLink(play(script(5)...)...))
		is.Equal(fault.From(err).Code, fault.EngineLost)
		is.Equal(len(sink.events), 0)
	})
}

// Guards against wrong conclusions from a failing engine: what the reader has,
// the error code, the execution state and the time taken.
func TestEngineFailures(t *testing.T) {
	events := script(4)
	cut := step{err: errCut}
	tests := []struct {
		name      string
		steps     []step
		resume    Resume
		code      fault.Code
		execution api.Execution
		forwarded bool
		within    time.Duration
	}{
		{"cut before the first event", []step{cut}, noResume, fault.EngineLost, api.Unknown, false, time.Second},
		{"silent before the first event", []step{{silent: true}}, hang, fault.EngineLost, api.Unknown, false, 3 * time.Second},
		{"lost before the first token", append(play(events[0]), cut), noResume, fault.EngineLost, api.Ran, false, time.Second},
		{"frozen before the first token", append(play(events[0]), step{silent: true}), hang, fault.EngineLost, api.Ran, false, 6 * time.Second},
		{"lost after the first token", append(play(events[:3]...), cut), noResume, fault.EngineLost, api.Ran, true, time.Second},
		{"frozen after the first token", append(play(events[:3]...), step{silent: true}), hang, fault.EngineLost, api.Ran, true, 13 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				result, err := New(backend, attemptID, &recorder{}, tt.resume, DefaultOptions(), Hooks{}).Run(t.Context(), newLink(tt.steps...))
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

// Guards against ending a generation at once when its reader leaves, which
// would leave nothing to resume, and against reading on for ever.
func TestReaderGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		opts := DefaultOptions()
		opts.ReaderGrace = 20 * time.Millisecond
		sink := &recorder{failAfter: 3}
		result, err := New(backend, attemptID, sink, noResume, opts, Hooks{}).Run(t.Context(), newLink(play(script(10)...)...))
		is.NoErr(err)
		is.True(result.ReaderGone)
		is.Equal(result.Tokens, 10)
		sink = &recorder{failAfter: 3}
		result, err = New(backend, attemptID, sink, noResume, opts, Hooks{}).Run(t.Context(), newLink(play(script(100)...)...))
		is.Equal(fault.From(err).Code, fault.Cancelled)
		is.True(result.Tokens < 30)
	})
}

// Guards against a relay that outlives its deadline at a silent engine.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := New(backend, attemptID, &recorder{}, hang, DefaultOptions(), Hooks{}).Run(ctx, newLink(step{silent: true}))
		is.Equal(fault.From(err).Code, fault.DeadlineExceeded)
	})
}
