package loadgen

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/process/settings"
	"persimmonwing/internal/version/catalogue"
)

const goodWorkload = `
common_prefixes: 2
common_prefix_tokens: 64
streams:
- name: guides
  workspace: w
  key: k
  entry: plan
  kind: generation
  class: urgent
  rate: 3.5
  phases:
  - {start: 1s, end: 2s, factor: 4}
  prompt: {median: 100, sigma: 0.5, cap: 400}
  output: {fixed: 20}
  shared_prefix: 0.5
  targets: {first_token: 620ms, token_gap: 26ms}
- {name: stock, workspace: w, key: k, entry: stock, kind: service, class: urgent, rate: 1, method: GET, path: item/7}
`

// Guards against an invalid workload that is accepted, and against an error that does
// not name the key, its value and the allowed values.
func TestWorkloadErrors(t *testing.T) {
	is := is.New(t)
	is.NoErr(settings.Parse([]byte(goodWorkload), "good", &Workload{}))
	for _, c := range []struct{ from, to, want string }{
		{"rate: 3.5", "rate: -1", "streams[0].rate: -1 is out of range; allowed are 0 to 100000"},
		{"rate: 3.5", "rates: 3.5", "field rates not found"},
		{"name: guides", "name: a|b", `streams[0].name: "a|b" is not allowed`},
		{"name: stock", "name: guides", `streams[1].name: "guides" is not allowed; use a name that no other stream has`},
		{"kind: generation", "kind: song", `streams[0].kind: "song" is not allowed; use one of ["generation" "service"]`},
		{"class: urgent\n", "class: slow\n", `streams[0].class: "slow" is not allowed`},
		{"end: 2s", "end: 1s", "streams[0].phases[0].end: 1s is not allowed; use more than start (1s)"},
		{"factor: 4", "factor: 1e9", "streams[0].phases[0].factor: 1e+09 is out of range"},
		{"cap: 400", "cap: 0", "streams[0].prompt.cap: 0 is out of range; allowed are 1 to 1048576"},
		{"{fixed: 20}", "{fixed: 20, cap: 3}", "streams[0].output.fixed: 20 is not allowed beside"},
		{"shared_prefix: 0.5", "shared_prefix: 2", "streams[0].shared_prefix: 2 is out of range; allowed are 0 to 1"},
		{"common_prefixes: 2", "common_prefixes: 0", "streams[0].shared_prefix: 0.5 is not allowed; use 0 or set common_prefixes"},
		{"method: GET", "method: LOOK", `streams[1].method: "LOOK" is not allowed`},
		{"token_gap: 26ms", "token_gap: -1s", "streams[0].targets.token_gap: -1s is out of range"},
	} {
		body := strings.Replace(goodWorkload, c.from, c.to, 1)
		is.True(body != goodWorkload) // the case changes something
		err := settings.Parse([]byte(body), "bad", &Workload{})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want %s", c.to, err, c.want)
		}
	}
}

// Guards against an example workload that does not match the example catalogue.
func TestExampleWorkload(t *testing.T) {
	is := is.New(t)
	var w Workload
	is.NoErr(settings.Load("../../../examples/workload.yaml", &w))
	body, err := os.ReadFile("../../../examples/kernfield.yaml")
	is.NoErr(err)
	c, err := catalogue.Parse("kernfield", body)
	is.NoErr(err)
	s := catalogue.NewSnapshot(1, "", c)
	for _, stream := range w.Streams {
		is.Equal(s.Authenticate(stream.Key).Name, stream.Workspace)
		entry := s.Entry(stream.Entry)
		is.Equal(entry.Kind, stream.Kind)
		is.Equal(entry.Class, stream.Class)
		is.Equal(entry.Idempotent, !stream.IdempotencyKey && entry.Kind == catalogue.Service)
		is.Equal(entry.Targets.FirstToken == stream.Targets.FirstToken, entry.Kind == catalogue.Generation)
	}
}
