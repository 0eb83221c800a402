package docs_test

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"persimmonwing/internal/version/catalogue"
)

// probeBody is a valid catalogue that sets the keys on which the result of a probe
// depends. Its 25 expected output tokens in 300 s need a limit of 0.0833 tokens/s.
const probeBody = `
background_floor: 0.1
urgent_reserve: 0.1
services: [{name: x}]
models: [{name: m, adapters: [a]}]
workspaces: [{name: w, key_digests: ['` + probeDigest + `'], limits: {}}]
entries:
- {name: g, owner: o, kind: generation, class: urgent, timeout: 5m, model: m, max_output_tokens: 100, expected_output_tokens: 25, limits: {}, targets: {}}
- {name: s, owner: o, kind: service, class: urgent, service: x, methods: [POST], idempotent: true}
`

const probeDigest = "sha256:0000000000000000000000000000000000000000000000000000000000000000"

// probe is a YAML value of a key, and whether the page allows it.
type probe struct {
	value   string
	allowed bool
	// alsoKey, if any, is another key that is first set to alsoValue. at is the key at
	// which the problem is expected, or "" for the probed key itself.
	alsoKey, alsoValue, at string
}

func probes(allowed, refused []string) []probe {
	var out []probe
	for _, v := range allowed {
		out = append(out, probe{value: v, allowed: true})
	}
	for _, v := range refused {
		out = append(out, probe{value: v})
	}
	return out
}

// phrases maps the phrases of the column "allowed" to probes at the limits of what
// they allow. The arguments of probes are the key's type and the submatches of phrase.
var phrases = []struct {
	phrase *regexp.Regexp
	probes func(kind string, m []string) []probe
}{
	{regexp.MustCompile(`^any$`), func(string, []string) []probe { return nil }},
	{regexp.MustCompile(`^any text$`), func(string, []string) []probe { return probes([]string{"o p"}, []string{"''", "' '"}) }},
	{regexp.MustCompile(`^at least one$`), func(string, []string) []probe { return probes(nil, []string{"[]"}) }},
	{regexp.MustCompile(`^a name$`), func(string, []string) []probe { return probes(nameEdges()) }},
	{regexp.MustCompile(`^names$`), func(string, []string) []probe {
		yes, no := nameEdges()
		return probes(asLists(yes), append(asLists(no), "[n, n]"))
	}},
	{regexp.MustCompile(`^(\S+) or more$`), func(kind string, m []string) []probe {
		return probes([]string{m[1]}, []string{stepped(kind, m[1], -1)})
	}},
	{regexp.MustCompile(`^(\d\S*) to the maximum$`), func(kind string, m []string) []probe {
		return probes([]string{m[1], "100"}, []string{stepped(kind, m[1], -1), "101"})
	}},
	{regexp.MustCompile(`^(\d\S*) to (\d\S*)$`), func(kind string, m []string) []probe {
		return probes([]string{stepped(kind, m[1], 0), stepped(kind, m[2], 0)}, []string{stepped(kind, m[1], -1), stepped(kind, m[2], 1)})
	}},
	{regexp.MustCompile(`^more than (\S+?),? (?:and )?at most (.+)$`), func(kind string, m []string) []probe {
		most := strings.Replace(m[2], "the timeout", "5m0s", 1)
		return probes([]string{stepped(kind, m[1], 1), stepped(kind, most, 0)}, []string{m[1], stepped(kind, most, 1)})
	}},
	{regexp.MustCompile(`^less than (\S+) together with urgent_reserve$`), func(kind string, m []string) []probe {
		other := probe{alsoKey: "urgent_reserve", alsoValue: "0.4", at: "urgent_reserve"}
		rest := strconv.FormatFloat(parseNumber(m[1])-0.4, 'g', 6, 64)
		below, above := other, other
		below.value, below.allowed = stepped(kind, rest, -1), true
		above.value = stepped(kind, rest, 1)
		return []probe{below, above}
	}},
	{regexp.MustCompile(`^enough to finish .+ in time$`), func(string, []string) []probe {
		return probes([]string{"0.0834"}, []string{"0.0832"})
	}},
	{regexp.MustCompile(`^sha256: and 64 lower-case hexadecimal digits$`), func(string, []string) []probe {
		return probes([]string{"[" + probeDigest + "]"}, []string{"[" + probeDigest[1:] + "]", "[" + probeDigest + "0]", "[" + strings.Replace(probeDigest, ":0", ":A", 1) + "]"})
	}},
	{regexp.MustCompile(`^a key belongs to one workspace$`), func(string, []string) []probe {
		return probes(nil, []string{"[" + probeDigest + ", " + probeDigest + "]"})
	}},
	{regexp.MustCompile(`^workspaces of this catalogue$`), func(string, []string) []probe { return probes([]string{"[w]"}, []string{"[v]"}) }},
	{regexp.MustCompile(`^a model of this catalogue$`), func(string, []string) []probe { return probes([]string{"m"}, []string{"n"}) }},
	{regexp.MustCompile(`^an adapter of the model$`), func(string, []string) []probe { return probes([]string{"a"}, []string{"b"}) }},
	{regexp.MustCompile(`^begins with /, no query$`), func(string, []string) []probe {
		return probes([]string{"/", "/a/b"}, []string{"a", "/a?b", "''"})
	}},
	{regexp.MustCompile(`^(\w+)((?:, \w+)+)$`), func(kind string, m []string) []probe {
		yes := strings.Split(m[0], ", ")
		no := slices.DeleteFunc(slices.Clone(knownWords), func(w string) bool { return slices.Contains(yes, w) })
		if strings.HasPrefix(kind, "list") {
			yes, no = asLists(yes), append(asLists(no), "[]")
		}
		return probes(yes, no)
	}},
}

// knownWords are the values with which a list of words on the page is probed; the code
// must refuse those that the list doesn't contain.
var knownWords = []string{
	"other", "generation", "service", "urgent", "background", "true", "false",
	"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "CONNECT",
}

// nameEdges returns the shortest and the longest valid name, and values that are not
// valid names.
func nameEdges() (yes, no []string) {
	long := strings.Repeat("a", 63)
	return []string{"a", long}, []string{"''", long + "a", "-a", "A", "a_b"}
}

func asLists(values []string) []string {
	var out []string
	for _, v := range values {
		out = append(out, "["+v+"]")
	}
	return out
}

func parseNumber(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return x
}

// stepped returns a value plus a number of small steps of its type; steps may be
// negative.
func stepped(kind, text string, steps int) string {
	switch kind {
	case "duration":
		d, err := time.ParseDuration(text)
		if err != nil {
			panic(err)
		}
		return (d + time.Duration(steps)).String()
	case "integer":
		return strconv.Itoa(int(parseNumber(text)) + steps)
	default:
		x := parseNumber(text)
		return strconv.FormatFloat(x+float64(steps)*max(1e-4, x*1e-4), 'g', -1, 64)
	}
}

// Guards against a catalogue page whose column "allowed" contains a value that the
// code rejects, or lacks a bound that the code checks.
func TestCatalogueAllowed(t *testing.T) {
	if _, err := catalogue.Parse("probe", []byte(probeBody)); err != nil {
		t.Fatal(err)
	}
	for key, r := range readPage(t, "CATALOGUE.md")["Keys"] {
		for phrase := range strings.SplitSeq(strings.ReplaceAll(r.allowed, "`", ""), "; ") {
			for _, p := range probesOf(t, key, r.kind, phrase) {
				if got := accepts(t, key, p); got != p.allowed {
					t.Errorf("%s, allowed %q: the page says %v of %s, the code says %v", key, phrase, p.allowed, p.value, got)
				}
			}
		}
	}
}

func probesOf(t *testing.T, key, kind, phrase string) []probe {
	for _, c := range phrases {
		if m := c.phrase.FindStringSubmatch(phrase); m != nil {
			return c.probes(kind, m)
		}
	}
	t.Errorf("%s: unknown phrase %q in the column \"allowed\"; add it to phrases or reword the page", key, phrase)
	return nil
}

var listIndex = regexp.MustCompile(`\[\d+\]`)

// accepts reports whether the code finds no problem at the key in probeBody with the
// probed value.
func accepts(t *testing.T, key string, p probe) bool {
	var doc map[string]any
	if err := yaml.Unmarshal([]byte(probeBody), &doc); err != nil {
		t.Fatal(err)
	}
	if p.alsoKey != "" {
		setKey(t, doc, p.alsoKey, p.alsoValue)
	}
	setKey(t, doc, key, p.value)
	if p.at != "" {
		key = p.at
	}
	body, err := yaml.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	_, err = catalogue.Parse("probe", body)
	var invalid *catalogue.InvalidError
	if err != nil && !errors.As(err, &invalid) {
		t.Fatal(err)
	}
	for i := 0; invalid != nil && i < len(invalid.Problems); i++ {
		path := listIndex.ReplaceAllString(invalid.Problems[i].Path, "[]")
		if path == key || path == key+"[]" {
			return false
		}
	}
	return true
}

// serviceKeys matches the keys that only entries of kind service have.
var serviceKeys = regexp.MustCompile(`^entries\[\]\.(service|methods|path|idempotent)$`)

// setKey sets a key of the page to a YAML value in doc. For a key of an entry, it changes
// the service entry if only services have the key, and the generation entry otherwise.
func setKey(t *testing.T, doc map[string]any, key, value string) {
	var v any
	if err := yaml.Unmarshal([]byte(value), &v); err != nil {
		t.Fatal(fmt.Errorf("%s: %s: %w", key, value, err))
	}
	entry := 0
	if serviceKeys.MatchString(key) {
		entry = 1
	}
	parts := strings.Split(key, ".")
	for _, part := range parts[:len(parts)-1] {
		name, isList := strings.CutSuffix(part, "[]")
		switch {
		case !isList:
			doc = doc[name].(map[string]any)
		case name == "entries":
			doc = doc[name].([]any)[entry].(map[string]any)
		default:
			doc = doc[name].([]any)[0].(map[string]any)
		}
	}
	doc[parts[len(parts)-1]] = v
}
