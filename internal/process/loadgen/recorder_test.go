package loadgen

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/request/api"
)

// Guards against requests that count as on time although they were late, stalled or
// refused, and against judging requests whose outcome is not known yet.
func TestOnTime(t *testing.T) {
	targets := Targets{FirstToken: 600 * time.Millisecond, TokenGap: 26 * time.Millisecond}
	done := outcome{code: OutcomeCompleted}
	open := outcome{code: OutcomeUnfinished}
	for _, c := range []struct {
		name         string
		result       requestResult
		good, judged bool
	}{
		{"quick", requestResult{outcome: done, firstToken: 600 * time.Millisecond, generationTime: time.Second}, true, true},
		{"late first token", requestResult{outcome: done, firstToken: 601 * time.Millisecond, generationTime: time.Second}, false, true},
		{"5% stalled", requestResult{outcome: done, firstToken: 1, generationTime: time.Second, stallTime: 50 * time.Millisecond}, true, true},
		{"more than 5% stalled", requestResult{outcome: done, firstToken: 1, generationTime: time.Second, stallTime: 51 * time.Millisecond}, false, true},
		{"refused", requestResult{outcome: outcome{"queue_full", api.NotRun}}, false, true},
		{"failed after tokens", requestResult{outcome: outcome{"engine_lost", api.Ran}, firstToken: 1, generationTime: time.Second}, false, true},
		{"still generating", requestResult{outcome: open, firstToken: 1, generationTime: time.Second}, true, true},
		{"still waiting within the target", requestResult{outcome: open, ended: 600 * time.Millisecond}, false, false},
		{"still waiting beyond the target", requestResult{outcome: open, ended: 601 * time.Millisecond}, false, true},
	} {
		good, judged := onTime(&c.result, targets)
		if good != c.good || judged != c.judged {
			t.Errorf("%s: on time %v, judged %v", c.name, good, judged)
		}
	}
}

// Guards against results in the wrong window, gaps that are not recorded, and
// quantiles in the wrong unit.
func TestRecorderSeparatesWindows(t *testing.T) {
	is := is.New(t)
	streams := []Stream{{Name: "s", Class: "urgent", Workspace: "w", Group: "g", Targets: Targets{TokenGap: 26 * time.Millisecond}}}
	windows := []Window{{"early", 0, time.Second}, {"late", time.Second, 2 * time.Second}}
	r := newRecorder(streams, windows)
	rr := &requestResult{outcome: outcome{code: OutcomeCompleted}, arrived: 900 * time.Millisecond, ended: 1300 * time.Millisecond, firstToken: 50 * time.Millisecond, perWindow: make([]windowStats, 2)}
	r.recordToken(0, 950*time.Millisecond, 0, rr)
	for i := range 100 {
		gap := time.Duration(20+i/95*40) * time.Millisecond
		r.recordToken(0, 1100*time.Millisecond, gap, rr)
	}
	r.recordRequest(0, rr)
	result := newResult(r, Config{Duration: 2 * time.Second})
	early, late := result.Window("early"), result.Window("late")
	is.Equal(early.Total.Requests, 1)
	is.Equal(late.Total.Requests, 0)
	is.Equal(early.Total.Tokens, 1)
	is.Equal(late.Total.Tokens, 100)
	is.Equal(late.Group("g").TokensPerSecond, 100.0)
	is.True(math.Abs(early.Total.FirstTokenMS.P50-50) < 0.1)
	is.True(math.Abs(late.Total.GapMS.P50-20) < 0.1)
	is.True(math.Abs(late.Total.GapMS.P99-60) < 0.1)
	// Five gaps are 34 ms beyond the target, 7.7% of the generation's time.
	is.True(math.Abs(late.Total.StallSeconds-0.17) < 1e-9)
	is.Equal(early.Total.OnTimeShare, 0.0)
	is.Equal(late.Total.OnTimeTokensPerSecond, 0.0)
}
