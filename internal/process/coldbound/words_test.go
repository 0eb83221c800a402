package coldbound

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an old word that replaces a newer one: a peer's or a lagging report that ends a cold time which an answer to
// this gateway stated, an answer that overtakes a later one, and a report from before an answer that makes a warm server cold.
func TestWords(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	for name, c := range map[string]struct {
		words func(w *Words)
		left  time.Duration // at 10 s
	}{
		"nothing was said": {func(*Words) {}, 0},
		"a report alone":   {func(w *Words) { w.Report(at(9), 4*time.Second) }, 3 * time.Second},
		"a peer's report of a warm server after an answer": {func(w *Words) {
			w.Answer(at(8), at(7.9), 5*time.Second)
			w.Report(at(9), 0)
		}, 3 * time.Second},
		"a report of a cold server after an answer": {func(w *Words) {
			w.Answer(at(8), at(7.9), 0)
			w.Report(at(9), 5*time.Second)
		}, 4 * time.Second},
		"a report before an answer": {func(w *Words) {
			w.Report(at(7), 9*time.Second)
			w.Answer(at(8), at(7.9), 0)
		}, 0},
		"a report while a request was under way": {func(w *Words) {
			w.Report(at(7.95), 9*time.Second)
			w.Answer(at(8), at(7.9), 0)
		}, 6950 * time.Millisecond},
		"an answer that was overtaken": {func(w *Words) {
			w.Answer(at(9), at(8.5), 4*time.Second)
			w.Answer(at(9.5), at(8), 0)
		}, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var w Words
			c.words(&w)
			is.New(t).Equal(w.Left(at(10)), c.left)
		})
	}
	for value, want := range map[string]time.Duration{"0": 0, " 750 ": 750 * time.Millisecond, "": -1, "-1": -1, "1.5": -1, "99999999999999999999": -1, "9223372036854775807": maxCold} {
		left, ok := ParseLeft(value)
		is.New(t).True(ok == (want >= 0) && (!ok || left == want))
	}
}
