package catalogue

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/version/configcheck"
)

const lintHead = `models:
- {name: m}
workspaces:
- {name: w, key_digests: ['sha256:0000000000000000000000000000000000000000000000000000000000000000']}
entries:
- {name: u, owner: o, kind: generation, class: urgent, model: m, max_output_tokens: 100, timeout: 5s, targets: {first_token: 1s}}
`

// Guards against a kind of fault that the check does not find or finds at another line, and against findings in a
// sound catalogue.
func TestCheckFindsFaults(t *testing.T) {
	for _, c := range []struct {
		name, from, to string
		line, code     int
		text           string
	}{
		{"sound", "", "", 0, configcheck.ExitOK, ""},
		{"unknown key", "owner: o", "owner: o, x: 1", 6, configcheck.ExitErrors, "x"},
		{"unused model", "- {name: m}", "- {name: m}\n- {name: spare}", 3, configcheck.ExitWarnings, "no entry uses the model spare"},
		{"unused service", "models:", "services:\n- {name: shop}\nmodels:", 2, configcheck.ExitWarnings, "no entry uses the service shop"},
		{"workspace without entries", "- {name: w, ", "- {name: v, key_digests: ['sha256:1111111111111111111111111111111111111111111111111111111111111111']}\n- {name: w, ", 4, configcheck.ExitWarnings, "no entry admits the workspace v"},
		{"timeout under the target", "timeout: 5s", "timeout: 1s", 6, configcheck.ExitWarnings, "before their first token is late"},
		{"floor without generations", "entries:\n- {name: u, owner: o, kind: generation, class: urgent, model: m, max_output_tokens: 100, timeout: 5s, targets: {first_token: 1s}}",
			"- {name: v, key_digests: ['sha256:1111111111111111111111111111111111111111111111111111111111111111'], floor: 0.2}\nentries:\n- {name: u, owner: o, kind: generation, class: urgent, model: m, max_output_tokens: 100, workspaces: [w]}\n- {name: s, owner: o, kind: service, class: urgent, service: svc, methods: [POST], workspaces: [v]}",
			5, configcheck.ExitWarnings, "its floor of 0.2 is never used"},
		{"limit above that of the workspace", "000000']}\nentries:\n- {name: u,", "000000'], limits: {concurrent: 3}}\nentries:\n- {name: u, workspaces: [w], limits: {concurrent: 5}, ", 6, configcheck.ExitWarnings, "whose own limit is lower (3)"},
		{"fewer tokens than one request", "timeout: 5s", "timeout: 5s, limits: {tokens_per_second: 10}", 6, configcheck.ExitWarnings, "fewer than the 100"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			body := strings.Replace(lintHead, c.from, c.to, 1)
			if c.name == "workspace without entries" {
				body = strings.Replace(body, "owner: o,", "owner: o, workspaces: [w],", 1)
			}
			r := Check("f", []byte(body), nil)
			is.Equal(r.ExitCode(), c.code)
			if c.text != "" {
				is.True(strings.Contains(r.Findings[0].Text, c.text))
				is.Equal(r.Findings[0].Line, c.line)
			}
		})
	}
}

// Guards against differences without what they do to requests that run.
func TestCheckShowsEffects(t *testing.T) {
	is := is.New(t)
	before, err := Parse("before", []byte(lintHead))
	is.NoErr(err)
	r := Check("f", []byte(strings.Replace(lintHead, "name: u,", "name: other,", 1)), before)
	is.Equal(len(r.Differences), 2)
	is.Equal(r.Differences[0].Text, "- entry u")
	is.True(strings.Contains(r.Differences[0].Effect, "those that run go on"))
}
