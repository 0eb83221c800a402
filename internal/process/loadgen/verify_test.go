package loadgen

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

// streamDefects modify a correct stream so that it has the violations in want.
var streamDefects = []struct {
	name  string
	want  map[Violation]int
	apply func(e []api.Event) []api.Event
}{
	{"nothing", map[Violation]int{}, func(e []api.Event) []api.Event { return e }},
	{"token dropped", map[Violation]int{Lost: 1}, func(e []api.Event) []api.Event { return slices.Delete(e, 3, 4) }},
	{"token dropped and renumbered", map[Violation]int{Lost: 1}, func(e []api.Event) []api.Event { return renumber(slices.Delete(e, 3, 4)) }},
	{"last token dropped and renumbered", map[Violation]int{Lost: 1}, func(e []api.Event) []api.Event { return renumber(slices.Delete(e, fakeTokens, fakeTokens+1)) }},
	{"event sent twice", map[Violation]int{Duplicated: 1}, func(e []api.Event) []api.Event { return slices.Insert(e, 3, e[3]) }},
	{"token sent twice and renumbered", map[Violation]int{Duplicated: 1}, func(e []api.Event) []api.Event { return renumber(slices.Insert(e, 3, e[3])) }},
	{"events swapped", map[Violation]int{OutOfOrder: 1}, func(e []api.Event) []api.Event { e[3], e[4] = e[4], e[3]; return e }},
	{"token of another request instead of its own", map[Violation]int{Foreign: 1, Lost: 1}, func(e []api.Event) []api.Event {
		e[3].Delta = "resp_2|other|2 "
		return e
	}},
	{"token of another generation instead of its own", map[Violation]int{MixedGenerations: 1, Lost: 1}, func(e []api.Event) []api.Event {
		e[3].Delta = strings.Replace(e[3].Delta, "resp_1", "resp_2", 1)
		return e
	}},
	{"another response id at the end", map[Violation]int{MixedGenerations: 1}, func(e []api.Event) []api.Event {
		e[len(e)-1].Response = &api.Response{ID: "other"}
		return e
	}},
}

func renumber(e []api.Event) []api.Event {
	for i := range e {
		e[i].SequenceNumber = int64(i)
	}
	return e
}

// Guards against a load tool that does not detect a violation.
func TestEachViolationIsFound(t *testing.T) {
	for _, c := range streamDefects {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			target := serve(t, func(w http.ResponseWriter, r *http.Request) {
				is.Equal(r.Header.Get("Authorization"), "Bearer k")
				writeEvents(w, c.apply(fakeEvents(readMarker(r))))
			})
			r := sendOne(t, catalogue.Generation, target)
			is.Equal(r.Windows[0].Total.Completed(), 1)
			is.Equal(r.Violations, c.want)
		})
	}
}

// Guards against false violations: a correct stream has none, even when it is read
// over several connections, each of which continues where the last one ended.
func TestCorrectStreamsPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewVerifier("m", fakeTokens)
		events := fakeEvents("m")
		for len(events) > 0 {
			n := rapid.IntRange(1, len(events)).Draw(t, "read")
			if events[0].SequenceNumber != v.NextSequence() {
				t.Fatal("the stream would be resumed at the wrong place")
			}
			for _, e := range events[:n] {
				v.Event(e)
			}
			events = events[n:]
		}
		if got := v.Violations(); len(got) > 0 {
			t.Fatalf("correct stream has violations %v", got)
		}
	})
}

// Guards against a generation that ends with a broken link although another gateway
// has the rest, and against an overlap between the two parts that is not detected.
func TestResumeAtAnotherTarget(t *testing.T) {
	for _, overlap := range []int{0, 1} {
		is := is.New(t)
		servers := map[string]*httptest.Server{}
		var marker string
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				marker = readMarker(r)
				_ = servers["http://"+r.Host].Listener.Close()
				writeEvents(w, fakeEvents(marker)[:4])
				panic(http.ErrAbortHandler)
			}
			is.Equal(r.URL.Path, "/v1/responses/outer")
			is.Equal(r.URL.RawQuery, "stream=true&starting_after=3")
			writeEvents(w, fakeEvents(marker)[4-overlap:])
		})
		var targets []string
		for range 2 {
			srv := httptest.NewServer(handler)
			defer srv.Close()
			servers[srv.URL] = srv
			targets = append(targets, srv.URL)
		}
		r := sendOne(t, catalogue.Generation, targets...)
		all := &r.Windows[0].Total
		is.Equal(all.Completed(), 1)
		is.Equal(all.Resumed, 1)
		is.Equal(all.Tokens, fakeTokens+overlap)
		is.Equal(r.Violations[Duplicated], overlap)
	}
}

// Guards against service responses that are accepted although they belong to another
// call or come from a second run.
func TestServiceAnswers(t *testing.T) {
	for _, c := range []struct {
		call string
		runs int
		want Violation
	}{{"", 1, ""}, {"other", 1, Foreign}, {"", 2, RanTwice}} {
		is := is.New(t)
		target := serve(t, func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Call-Id")
			is.Equal(r.Header.Get("Idempotency-Key"), id)
			a := serviceResponse{Call: id, Runs: c.runs}
			if c.call != "" {
				a.Call = c.call
			}
			is.NoErr(json.NewEncoder(w).Encode(a))
		})
		r := sendOne(t, catalogue.Service, target)
		is.Equal(len(r.Violations) > 0, c.want != "")
		is.Equal(r.Violations[c.want] > 0, c.want != "")
	}
}
