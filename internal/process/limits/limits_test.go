package limits

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/catalogue"
)

var start = time.Unix(1_700_000_000, 0)

func scope(l catalogue.Limits) (*catalogue.Workspace, *catalogue.Entry) {
	return &catalogue.Workspace{Name: "w", Limits: l}, &catalogue.Entry{Name: "e"}
}

// Guards against admitting more requests than the rate allows, and against a retry
// delay after which the request is refused again.
func TestRateLimitAndRetryAfter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.5, 50).Draw(t, "rate")
		w, e := scope(catalogue.Limits{RequestsPerSecond: perSecond})
		l := New()
		now, admitted := start, 0
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			lease, err := l.Acquire(now, w, e)
			if err == nil {
				admitted++
				lease.Release()
				continue
			}
			later := now.Add(err.RetryAfter + time.Millisecond)
			if _, err := l.Acquire(later, w, e); err != nil {
				t.Fatalf("refused after the advised retry delay: %v", err)
			}
			admitted++
			now = later
		}
		most := perSecond*(now.Sub(start).Seconds()+burstSeconds) + 2
		if float64(admitted) > most {
			t.Fatalf("admitted %d, at most %.1f are allowed", admitted, most)
		}
	})
}

// Guards against leaking a concurrency slot, and against a refusal that consumes part
// of another limit.
func TestConcurrencySlotIsReleased(t *testing.T) {
	is := is.New(t)
	w, e := scope(catalogue.Limits{Concurrent: 2})
	e.Limits = catalogue.Limits{Concurrent: 1}
	l := New()
	first, err := l.Acquire(start, w, e)
	is.True(err == nil)
	for range 5 {
		_, err = l.Acquire(start, w, e)
		is.Equal(err.Code, fault.ConcurrencyLimited)
		is.Equal(err.Execution, api.NotRun)
	}
	first.Release()
	_, err = l.Acquire(start, w, e)
	is.True(err == nil)
}

// Guards against admitting a workspace at once after one long generation has exceeded
// its token rate.
func TestTokenDebtDelaysNextRequest(t *testing.T) {
	is := is.New(t)
	w, e := scope(catalogue.Limits{TokensPerSecond: 10})
	l := New()
	lease, err := l.Acquire(start, w, e)
	is.True(err == nil)
	lease.Tokens(start, 100)
	_, err = l.Acquire(start, w, e)
	is.Equal(err.Code, fault.RateLimited)
	is.True(err.RetryAfter > 7*time.Second && err.RetryAfter < 9*time.Second)
	_, err = l.Acquire(start.Add(err.RetryAfter+time.Millisecond), w, e)
	is.True(err == nil)
}

// Guards against refusing a workspace far below its limit because a balancer sent
// three of its requests in a row to the same one of seven gateways.
func TestUnevenSpreadBelowLimit(t *testing.T) {
	is := is.New(t)
	w, e := scope(catalogue.Limits{RequestsPerSecond: 10})
	l := New()
	l.SetShare(1.0 / 7)
	for range 8 {
		_, err := l.Acquire(start, w, e)
		is.True(err == nil)
	}
}

// Guards against a catalogue edit or a membership change that refills the token bucket.
func TestEditKeepsBucketLevel(t *testing.T) {
	is := is.New(t)
	w, e := scope(catalogue.Limits{RequestsPerSecond: 1})
	l := New()
	for range 2 {
		_, err := l.Acquire(start, w, e)
		is.True(err == nil)
	}
	w.Limits.RequestsPerSecond = 1.5
	l.SetShare(0.5)
	_, err := l.Acquire(start, w, e)
	is.True(err != nil)
}
