package catalogue

import (
	"errors"
	"flag"
	"math"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run has the same result. The flag -rapid.seed
// still overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const testDigest = "sha256:0000000000000000000000000000000000000000000000000000000000000000"

// goodBody is a valid body. Each case of TestParseRefuses makes one part of it invalid.
const goodBody = `models:
  - name: plan
    adapters: [fit]
workspaces:
  - name: one
    key_digests: [` + testDigest + `]
entries:
  - name: draft
    owner: team
    kind: generation
    class: urgent
    model: plan
    max_output_tokens: 100
  - name: order
    owner: team
    kind: service
    class: urgent
    service: orders
    methods: [POST]
`

// Guards against an invalid catalogue that is accepted, and against a message that does
// not contain the line, the key path, the value and the accepted values.
func TestParseRefuses(t *testing.T) {
	const draft, order, space = "    model: plan\n", "    service: orders\n", "  - name: one\n"
	after := func(line, added string) string { return strings.Replace(goodBody, line, line+added, 1) }
	swap := func(old, new string) string { return strings.Replace(goodBody, old, new, 1) }
	cases := map[string]struct{ body, want string }{
		"empty body":          {"", "c.yaml:1: (body): missing or empty; a YAML mapping"},
		"broken yaml":         {"models: [", "c.yaml:1: (body): did not find expected node content is not allowed"},
		"scalar":              {"hello", "c.yaml:1: (body): \"hello\" is not allowed; a value of type catalogue.Catalogue"},
		"two documents":       {goodBody + "---\nmodels: []\n", "(body): a second document is not allowed; one YAML document"},
		"unknown key":         {after(draft, "    speed: 3\n"), "c.yaml:13: entries[0].speed: key speed is not allowed; only keys of the catalogue's format"},
		"wrong type":          {swap("max_output_tokens: 100", "max_output_tokens: many"), "c.yaml:13: entries[0].max_output_tokens: \"many\" is not allowed; a value of type int"},
		"duplicate key":       {after(draft, draft), "already defined"},
		"floor too high":      {goodBody + "background_floor: 0.6\n", "c.yaml:20: background_floor: 0.6 is not allowed; 0 to 0.5"},
		"floor not a number":  {goodBody + "background_floor: .nan\n", "background_floor: NaN is not allowed; 0 to 0.5"},
		"reserve negative":    {goodBody + "urgent_reserve: -0.1\n", "urgent_reserve: -0.1 is not allowed; 0 to 0.5"},
		"sum too high":        {goodBody + "urgent_reserve: 0.4\nbackground_floor: 0.4\n", "urgent_reserve: 0.4 is not allowed; background_floor and urgent_reserve together must be under 0.8 (they are 0.8)"},
		"draining twice":      {goodBody + "draining: [e1, e1]\n", "draining[1]: e1 is not allowed; the names in this list must differ"},
		"draining name":       {goodBody + "draining: [E1]\n", "draining[0]: E1 is not allowed; a name matches"},
		"model name":          {swap("- name: plan", "- name: Plan"), "c.yaml:2: models[0].name: Plan is not allowed; a name matches [a-z0-9][a-z0-9-]{0,62}"},
		"model twice":         {swap("models:\n", "models:\n  - name: plan\n"), "models[1].name: plan is not allowed; the names of models must differ"},
		"replicas negative":   {swap("    adapters", "    replicas: -1\n    adapters"), "models[0].replicas: -1 is not allowed; 0 or more"},
		"no workspace":        {"models: []\n", "workspaces: missing or empty; at least one workspace"},
		"workspace twice":     {after("workspaces:\n", "  - name: one\n    key_digests: [sha256:"+strings.Repeat("1", 64)+"]\n"), "workspaces[1].name: one is not allowed; the names of workspaces must differ"},
		"workspace long name": {swap("- name: one", "- name: "+strings.Repeat("a", 64)), "a name matches"},
		"floor over a half":   {after(space, "    floor: 0.6\n"), "c.yaml:6: workspaces[0].floor: 0.6 is not allowed; 0 to 0.5"},
		"floors over 1":       {swap("entries:\n", "    floor: 0.5\n  - name: two\n    floor: 0.45\nentries:\n"), "c.yaml:9: workspaces[1].floor: 0.45 is not allowed; background_floor and the floors of this workspace and those before it together must be at most 1 (they are 1.05)"},
		"weight zero":         {after(space, "    weight: 0\n"), "c.yaml:6: workspaces[0].weight: 0 is not allowed; more than 0 and at most 1e+06"},
		"no key":              {swap("["+testDigest+"]", "[]"), "workspaces[0].key_digests: missing or empty; at least one key digest"},
		"digest malformed":    {swap(testDigest, "sha256:ABC"), "workspaces[0].key_digests[0]: sha256:ABC is not allowed; a key digest is sha256: and 64 lower-case hexadecimal digits"},
		"key shared":          {after("workspaces:\n", "  - name: two\n    key_digests: ["+testDigest+"]\n"), "workspaces[1].key_digests[0]: " + testDigest + " is not allowed; a key belongs to one workspace; this one is also listed at two"},
		"limit negative":      {after(space, "    limits: {concurrent: -1}\n"), "workspaces[0].limits.concurrent: -1 is not allowed; 0 (unlimited) to 1e+09"},
		"limit infinite":      {after(draft, "    limits: {requests_per_second: .inf}\n"), "entries[0].limits.requests_per_second: +Inf is not allowed"},
		"limit under need":    {after(space, "    limits: {tokens_per_second: 0.01}\n"), "workspaces[0].limits.tokens_per_second: 0.01 is not allowed; 0 (unlimited) or at least 0.0833333, which entry draft needs to finish 25 tokens in 5m0s"},
		"entry under need":    {after(draft, "    limits: {tokens_per_second: 0.01}\n"), "entries[0].limits.tokens_per_second: 0.01"},
		"entry twice":         {swap("- name: order", "- name: draft"), "c.yaml:14: entries[1].name: draft is not allowed; the names of entries must differ"},
		"owner missing":       {swap("    owner: team\n", ""), "entries[0].owner: missing or empty; the owner"},
		"class":               {swap("class: urgent", "class: quick"), "entries[0].class: quick is not allowed; urgent or background"},
		"class missing":       {swap("    class: urgent\n", ""), "c.yaml:8: entries[0].class: missing or empty; urgent or background"},
		"kind":                {swap("kind: service", "kind: web"), "entries[1].kind: web is not allowed; generation or service"},
		"timeout negative":    {after(draft, "    timeout: -1s\n"), "entries[0].timeout: -1s is not allowed; more than 0s, at most 24h0m0s"},
		"timeout unit":        {after(draft, "    timeout: soon\n"), "entries[0].timeout: \"soon\" is not allowed; a value of type time.Duration"},
		"workspace unknown":   {after(draft, "    workspaces: [one, two]\n"), "entries[0].workspaces[1]: two is not allowed; the name of a workspace of this catalogue"},
		"model unknown":       {swap("model: plan", "model: plum"), "c.yaml:12: entries[0].model: plum is not allowed; the name of a model of this catalogue"},
		"model missing":       {swap("    model: plan\n", ""), "entries[0].model: missing or empty"},
		"adapter unknown":     {after(draft, "    adapter: fat\n"), "entries[0].adapter: fat is not allowed; an adapter of model plan"},
		"maximum missing":     {swap("    max_output_tokens: 100\n", ""), "entries[0].max_output_tokens: 0 is not allowed; 1 or more"},
		"expected over max":   {after(draft, "    expected_output_tokens: 101\n"), "entries[0].expected_output_tokens: 101 is not allowed; 1 to max_output_tokens (100)"},
		"target zero":         {after(draft, "    targets: {token_gap: 0s}\n"), "entries[0].targets.token_gap: 0s is not allowed; more than 0s"},
		"target over timeout": {after(draft, "    targets: {first_token: 1h}\n"), "entries[0].targets.first_token: 1h0m0s is not allowed"},
		"service missing":     {swap(order, ""), "entries[1].service: missing or empty"},
		"methods missing":     {swap("    methods: [POST]\n", ""), "entries[1].methods: missing or empty; at least one of GET"},
		"method unknown":      {swap("[POST]", "[post]"), "entries[1].methods[0]: post is not allowed; one of GET"},
		"GET not idempotent":  {swap("[POST]", "[GET]"), "entries[1].methods: GET is not allowed; a non-idempotent entry needs a method that writes"},
		"path":                {after(order, "    path: orders\n"), "entries[1].path: orders is not allowed; a path that begins with /"},
		"model in service":    {after(order, "    model: plan\n"), "entries[1].model: a value is not allowed; leave this key out of a service entry"},
		"methods in draft":    {after(draft, "    methods: [GET]\n"), "entries[0].methods: a value is not allowed; leave this key out of a generation entry"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("c.yaml", []byte(c.body))
			var invalid *InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("error is %v, want an InvalidError", err)
			}
			if !strings.Contains(err.Error(), c.want) {
				t.Fatalf("message:\n%v\nwant:\n%s", err, c.want)
			}
		})
	}
}

// Guards against validation that stops at the first problem, and against one that omits
// invalid values if a key is unknown.
func TestParseCollectsAllProblems(t *testing.T) {
	is := is.New(t)
	body := strings.NewReplacer("model: plan", "model: plum", "[POST]", "[post]", "kind: service", "kind: service\n    speed: 1").Replace(goodBody)
	_, err := Parse("c.yaml", []byte(body))
	var invalid *InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(len(invalid.Problems), 3)
}

// Guards against examples that can no longer be parsed, key digests that do not match
// the documented keys, and an encoding that loses a field.
func TestExamples(t *testing.T) {
	for _, file := range []string{"kernfield", "huon-cane"} {
		t.Run(file, func(t *testing.T) {
			is := is.New(t)
			body, err := os.ReadFile("../../../examples/" + file + ".yaml")
			is.NoErr(err)
			c, err := Parse(file, body)
			is.NoErr(err)
			is.Equal(len(c.Workspaces), 10)
			s := NewSnapshot(1, Digest(body), c)
			for _, w := range c.Workspaces {
				is.Equal(s.Authenticate("demo-key-"+w.Name).Name, w.Name)
			}
			again, err := Encode(c)
			is.NoErr(err)
			parsed, err := Parse(file, again)
			is.NoErr(err)
			is.Equal(len(Diff(c, parsed)), 0)
		})
	}
}

// Guards against defaults that overwrite a value, and against defaults that are not
// applied.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	c, err := Parse("c.yaml", []byte(goodBody+"background_floor: 0\n"))
	is.NoErr(err)
	is.Equal(c.BackgroundFloor, 0.0)
	is.Equal(c.UrgentReserve, 0.1)
	is.Equal(c.Workspaces[0].Weight, 1.0)
	is.Equal(c.Entries[0].Timeout, DefaultUrgentTimeout)
	is.Equal(c.Entries[0].ExpectedOutputTokens, 25)
	is.Equal(c.Entries[1].Timeout, DefaultServiceTimeout)
}

// Guards against a panic on arbitrary bodies, and against a valid catalogue with a
// weight by which the scheduler cannot divide.
func TestParseProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := strings.SplitAfter(goodBody, "\n")
		for range rapid.IntRange(1, 3).Draw(t, "edits") {
			i := rapid.IntRange(0, len(lines)-1).Draw(t, "line")
			lines[i] = rapid.SampledFrom([]string{"", lines[i] + lines[i], "    weight: .nan\n", "    timeout: 0s\n", "  - &a [*a]\n", "<<: 1\n", "\t\x00"}).Draw(t, "text")
		}
		c, err := Parse("c.yaml", []byte(strings.Join(lines, "")))
		if err != nil {
			return
		}
		for _, w := range c.Workspaces {
			if !(w.Weight > 0) || math.IsInf(w.Weight, 0) {
				t.Fatalf("weight %v accepted", w.Weight)
			}
		}
	})
}
