package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const window = 10 * time.Second

var start = time.Unix(1_700_000_000, 0)

// Guards against more retries in any sliding window than the requests in that window
// and in the one before it allow.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Allowance{Ratio: 0.2, Slack: float64(rapid.IntRange(0, 10).Draw(t, "slack"))}
		b := New(window, func() Allowance { return a })
		now := start
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now, "s")
				requests = append(requests, now)
				continue
			}
			if b.Allow(now, "s", 0) {
				retries = append(retries, now)
			}
			used, allowed := since(retries, now.Add(-window)), a.Ratio*float64(since(requests, now.Add(-2*window)))+a.Slack
			if float64(used) > allowed {
				t.Fatalf("%d retries in a window, %v allowed", used, allowed)
			}
		}
	})
}

func since(times []time.Time, at time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(at) {
			n++
		}
	}
	return n
}

// Guards against ordinary retries that use up the slack reserved for moved generations,
// and against one service that uses up the budget of another.
func TestReserveAndServices(t *testing.T) {
	is := is.New(t)
	b := New(window, func() Allowance { return Allowance{Slack: 4} })
	is.True(b.Allow(start, "a", 0.5))
	is.True(b.Allow(start, "a", 0.5))
	is.True(!b.Allow(start, "a", 0.5))
	is.True(b.Allow(start, "a", 0))
	is.True(b.Allow(start, "b", 0.5))
	is.True(!b.Allow(start.Add(window/2), "a", 0.5))
	is.True(b.Allow(start.Add(window+time.Second), "a", 0.5))
}
