package forward

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a generation that stays on an engine that has become slow for long while a fast one has room, against one that
// moves because of a slow spell, one preemption or a slow caller, and against a lost stream if the engine leaves during the move.
func TestMovesOffSlowEngine(t *testing.T) {
	// The engine pauses for a while before some events, and the caller reads each event after some time.
	for name, c := range map[string]struct {
		total      int
		slowEvents int64
		gap, reads time.Duration
		leaves     bool
		ends       string
	}{
		"slow for long":          {40, 40, 250 * time.Millisecond, 0, false, "b"},
		"a slow spell":           {40, 3, 200 * time.Millisecond, 0, false, "a"},
		"preempted":              {40, 1, 1900 * time.Millisecond, 0, false, "a"},
		"slow caller":            {40, 0, 0, 250 * time.Millisecond, false, "a"},
		"ends soon":              {18, 40, 250 * time.Millisecond, 0, false, "a"},
		"leaves during the move": {40, 40, 250 * time.Millisecond, 0, true, "c"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newFakeFleet("a", "b", "c")
				for _, s := range w.servers {
					s.total = c.total
				}
				if c.leaves {
					w.servers["a"].copyTime, w.servers["b"].refuses = 300*time.Millisecond, true
					time.AfterFunc(2300*time.Millisecond, func() { w.leave("a") })
				}
				w.servers["a"].slowGap, w.servers["a"].slowEvents = c.gap, c.slowEvents
				r := &recordingCaller{after: func(int) { time.Sleep(c.reads) }}
				q := plan()
				q.HintTokens = c.total * q.stride()
				_, err := w.f.Serve(context.Background(), q, r)
				is.True(err == nil)
				is.Equal(r.body.String(), events(0, c.total))
				is.Equal(slices.Index(w.sent, c.ends), len(w.sent)-1) // it ends there, and ran there once
			})
		})
	}
}
