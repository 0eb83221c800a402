package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func table(version int64) *Table {
	return NewTable(TableConfig{
		Version: version,
		Routes: []Route{
			{Name: "root", Host: "a.example", Prefix: "/", Kind: Idempotent, Split: []Share{{"s", 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Kind: Streaming, Priority: 2, Split: []Share{{"e", 9}, {"f", 1}}},
			{Name: "short", Host: "a.example", Prefix: "/x/", Kind: Streaming, Priority: 1, Split: []Share{{"e", 1}}},
			{Name: "other", Host: "b.example", Prefix: "/only/", Kind: NonIdempotent, Split: []Share{{"s", 1}}},
		},
		Services: []Service{{Name: "s"}, {Name: "e", Engine: &EngineSpec{Slots: 24}}},
		Keys:     map[string]*Workspace{"k": {Name: "w"}},
	})
}

// Guards against a shorter prefix that takes precedence over a longer one, a prefix
// that matches a part of a path element, and a match with a route of another host.
func TestMatch(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"A.Example", "/x/y/", "deep"},
		{"a.example", "/x/yz", "short"},
		{"a.example", "/x", "root"},
		{"a.example", "//x/y/", "root"},
		{"b.example", "/only/1", "other"},
		{"b.example", "/only", ""},
		{"c.example", "/", ""},
	} {
		got := ""
		if r := table(1).Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s matches route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against a selection that does not follow the weights, and against a route with
// a weight of 0 that selects no service.
func TestChoose(t *testing.T) {
	is := is.New(t)
	r := table(1).Match("a.example", "/x/y/z")
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Choose(float64(i)/1000)]++
	}
	is.Equal(counts["e"], 900)
	is.Equal(counts["f"], 100)
	is.Equal((&Route{Split: []Share{{"z", 0}}}).Choose(0.5), "z")
	is.Equal(table(1).HighestPriority("e"), 1)
}

// Guards against a return to a lower version. Also guards against a confirmation of an
// old version, or one that arrives late, which would make API keys look more recently
// confirmed than they are.
func TestHolderNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Holder
		highest, confirmed := int64(0), time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			v := int64(rapid.IntRange(1, 9).Draw(t, "version"))
			at := time.Duration(rapid.IntRange(1, 1000).Draw(t, "at"))
			if rapid.Bool().Draw(t, "install") {
				if h.Install(table(v), at) != (v > highest) {
					t.Fatalf("Install of version %d over version %d returned the wrong result", v, highest)
				}
				highest = max(highest, v)
			} else {
				h.Confirm(v, at)
				if highest > 0 && v >= highest {
					confirmed = max(confirmed, at)
				}
			}
			if highest > 0 && h.Current().Version != highest {
				t.Fatalf("current version %d, want %d", h.Current().Version, highest)
			}
			if age, ok := h.Age(2000); ok != (confirmed > 0) || ok && age != 2000-confirmed {
				t.Fatalf("Age returned %v and %v, but the last confirmation was at %v", age, ok, confirmed)
			}
		}
	})
}
