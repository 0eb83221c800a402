package claim

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/platform/platformtest"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

var testKey = Key{Workspace: "w/1", Entry: "book", IdempotencyKey: "k"}

// Guards against a lost or refused claim write that is resolved incorrectly or that
// blocks the key forever.
func TestBeginUnderFaults(t *testing.T) {
	one := func(f platformtest.Fault) platformtest.Plan { return platformtest.Plan{Fault: f} }
	refuse := slices.Repeat([]platformtest.Plan{one(platformtest.Refuse)}, 200)
	late := platformtest.Plan{Fault: platformtest.LateEffect, Delay: 5 * time.Second}
	slow := platformtest.Plan{Delay: 900 * time.Millisecond}
	hung := platformtest.Plan{Delay: time.Hour}
	cases := map[string]struct {
		plans   []platformtest.Plan
		code    fault.Code // empty if Begin claims
		elapsed time.Duration
	}{
		"no fault":                      {nil, "", 4 * time.Millisecond},
		"refused":                       {refuse[:1], fault.PlatformUnavailable, 4 * time.Millisecond},
		"slow":                          {[]platformtest.Plan{slow}, "", 904 * time.Millisecond},
		"hung":                          {slices.Repeat([]platformtest.Plan{hung}, 4), fault.PlatformUnavailable, 2 * time.Second},
		"answer lost":                   {[]platformtest.Plan{one(platformtest.LoseAnswer)}, "", 0},
		"request lost":                  {[]platformtest.Plan{one(platformtest.LoseRequest)}, "", 0},
		"effect after the read":         {[]platformtest.Plan{late}, "", 0},
		"answer lost, then outage":      {append([]platformtest.Plan{one(platformtest.LoseAnswer)}, refuse...), fault.PlatformUnavailable, 2 * time.Second},
		"request lost, then outage":     {append([]platformtest.Plan{one(platformtest.LoseRequest)}, refuse...), fault.PlatformUnavailable, 2 * time.Second},
		"effect during the outage":      {append([]platformtest.Plan{late}, refuse...), fault.PlatformUnavailable, 2 * time.Second},
		"two answers lost, then outage": {append([]platformtest.Plan{one(platformtest.LoseAnswer), one(platformtest.LoseAnswer)}, refuse...), fault.PlatformUnavailable, 2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				faults := &faultQueue{plans: slices.Clone(c.plans)}
				store := startStore(t.Context(), &platformtest.Table{Next: faults.next})
				start := time.Now()
				got, _, err := store.Begin(t.Context(), testKey, "d")
				if c.elapsed > 0 {
					is.Equal(time.Since(start), c.elapsed)
				}
				if c.code == "" {
					is.NoErr(err)
					is.NoErr(got.ReleaseNotRun(t.Context()))
				} else {
					f := fault.From(err)
					is.Equal(f.Code, c.code)
					is.Equal(f.Execution, api.Unknown) // an earlier attempt may have run
				}
				faults.clear()
				time.Sleep(time.Minute)
				again, _, err := store.Begin(t.Context(), testKey, "d")
				is.NoErr(err)
				is.True(again != nil)
			})
		})
	}
}

// Guards against a resend that runs the call again or receives a wrong answer.
func TestResend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := startStore(t.Context(), &platformtest.Table{})
		c, _, err := store.Begin(t.Context(), testKey, "d")
		is.NoErr(err)
		is.True(c.Dispatchable(time.Now()))
		is.True(!c.Dispatchable(time.Now().Add(noDeadline)))

		_, _, err = store.Begin(t.Context(), testKey, "d")
		is.Equal(fault.From(err).Code, fault.CallInProgress)
		is.Equal(fault.From(err).Execution, api.Unknown)
		_, _, err = store.Begin(t.Context(), testKey, "other")
		is.Equal(fault.From(err).Code, fault.IdempotencyMismatch)
		is.Equal(fault.From(err).Execution, api.NotRun)

		h := http.Header{"Location": {"/b/1"}, "Set-Cookie": {"s"}}
		is.NoErr(c.Finish(t.Context(), Answer{Status: 201, Header: h, Body: []byte("ok")}))
		is.True(errors.Is(c.ReleaseNotRun(t.Context()), ErrSettled))
		is.True(!c.Dispatchable(time.Now()))
		_, recorded, err := store.Begin(t.Context(), testKey, "d")
		is.NoErr(err)
		is.Equal(*recorded, Answer{Status: 201, Header: http.Header{"Location": {"/b/1"}}, Body: []byte("ok")})

		_, _, err = store.Begin(t.Context(), Key{Workspace: "w", Entry: "e"}, "d")
		is.Equal(fault.From(err).Code, fault.IdempotencyKeyNeeded)
	})
}

// Guards against a shutdown that loses a queued outcome, and against one that waits
// forever during an outage.
func TestDrainWritesQueuedOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		faults := &faultQueue{}
		store := startStore(t.Context(), &platformtest.Table{Next: faults.next})
		c, _, err := store.Begin(t.Context(), testKey, "d")
		is.NoErr(err)
		faults.plans = slices.Repeat([]platformtest.Plan{{Fault: platformtest.Refuse}}, 1000)
		ctx, cancel := within(time.Second)
		defer cancel()
		is.True(c.Finish(ctx, Answer{Status: 201}) != nil)
		ctx, cancel = within(2 * time.Second)
		defer cancel()
		is.True(store.Drain(ctx) != nil)
		time.AfterFunc(time.Second, faults.clear)
		ctx, cancel = within(10 * time.Second)
		defer cancel()
		is.NoErr(store.Drain(ctx))
		_, recorded, err := store.Begin(t.Context(), testKey, "d")
		is.NoErr(err)
		is.Equal(recorded.Status, 201)
	})
}

// Guards against large answers that fill the table, and against replaying a large
// answer as if its body were empty.
func TestLargeAnswerIsNotRecorded(t *testing.T) {
	is := is.New(t)
	a := Answer{Status: 200, Body: bytes.Repeat([]byte("x"), maxReplayBody+1)}.replayable()
	is.True(a.TooLarge && a.Body == nil && a.Status == 200)
	is.True(!Answer{Body: make([]byte, maxReplayBody)}.replayable().TooLarge)
}

// Guards against keys of different workspaces or entries sharing a row.
func TestRowKeysAreDistinct(t *testing.T) {
	is := is.New(t)
	is.True(Key{"a/b", "c", "d"}.row() != Key{"a", "b/c", "d"}.row())
	is.True(Key{"a", "b", "c%2Fd"}.row() != Key{"a", "b", "c/d"}.row())
}

// Guards against one transaction per claim under load. The test log contains the
// measured figures. Arrivals are random with a fixed seed, calls run for 30 ms and the
// table takes 2 ms per request.
func TestGroupingOfWrites(t *testing.T) {
	const seconds = 10
	for _, c := range []struct {
		perSecond int
		minRows   float64
	}{{32, 1}, {64, 1}, {320, 2}} {
		synctest.Test(t, func(t *testing.T) {
			table := &platformtest.Table{Next: func(bool) platformtest.Plan { return platformtest.Plan{Delay: 2 * time.Millisecond} }}
			store := startStore(t.Context(), table)
			makeCalls(t, c.perSecond, seconds, func(int) *Store { return store })
			txns, rows := table.Counts()
			perTxn := float64(rows) / float64(txns)
			t.Logf("%d claims/s: %.2f rows per transaction, %d transactions/s", c.perSecond, perTxn, txns/seconds)
			if rows != 2*c.perSecond*seconds || perTxn < c.minRows {
				t.Errorf("%d rows in %d transactions", rows, txns)
			}
		})
	}
}

// makeCalls makes calls that run for 30 ms, with random gaps from a fixed seed. It
// returns, sorted, the time that claim and settlement took together for each call.
func makeCalls(t *testing.T, perSecond, seconds int, store func(i int) *Store) []time.Duration {
	random := rand.New(rand.NewPCG(1, 1))
	waits := make([]time.Duration, perSecond*seconds)
	var calls sync.WaitGroup
	for i := range waits {
		time.Sleep(time.Duration(random.ExpFloat64() / float64(perSecond) * float64(time.Second)))
		calls.Go(func() {
			start := time.Now()
			claimed, _, err := store(i).Begin(t.Context(), keyOf(i), "d")
			if err != nil {
				t.Error(err)
				return
			}
			time.Sleep(30 * time.Millisecond)
			_ = claimed.Finish(t.Context(), Answer{Status: 200})
			waits[i] = time.Since(start) - 30*time.Millisecond
		})
	}
	calls.Wait()
	slices.Sort(waits)
	return waits
}
