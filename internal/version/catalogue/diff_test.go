package catalogue

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func mustParse(t interface{ Fatal(...any) }, body string) *Catalogue {
	c, err := Parse("c.yaml", []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a change that is not shown to the operator before it is applied.
func TestDiff(t *testing.T) {
	is := is.New(t)
	a := mustParse(t, goodBody)
	b := mustParse(t, strings.NewReplacer(
		"- name: order", "- name: reorder",
		"max_output_tokens: 100", "max_output_tokens: 100\n    timeout: 2m\n    limits: {concurrent: 4}",
	).Replace(goodBody)+"draining: [e1]\nurgent_reserve: 0.1234567\n")
	var lines []string
	for _, c := range Diff(a, b) {
		lines = append(lines, c.String())
	}
	want := []string{
		"~ setting urgent_reserve: 0.1 -> 0.1234567",
		"+ draining e1",
		"~ entry draft limits.concurrent: 0 -> 4",
		"~ entry draft timeout: 5m0s -> 2m0s",
		"- entry order",
		"+ entry reorder",
	}
	is.Equal(cmp.Diff(want, lines), "")
	is.Equal(Dangerous(Diff(a, b)), []Change{{Op: Removed, Part: PartEntry, Name: "order"}})
	is.Equal(len(Dangerous(Diff(a, nil))), 4)
}

// Guards against a field that Diff ignores: two catalogues without a difference must be
// equal.
func TestDiffCompleteProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := mustParse(t, goodBody), mustParse(t, goodBody)
		edits := []func(){
			func() { b.Models[0].Replicas = 3 },
			func() { b.Models[0].Adapters = nil },
			func() { b.Services = []ServiceServers{{Name: "shop"}} },
			func() { b.Models[0].ColdRequestsPerSecond = 5 },
			func() { b.Workspaces[0].Weight = 1.0000001 },
			func() { b.Workspaces[0].Limits.TokensPerSecond = 8 },
			func() { b.Entries[0].Targets.TokenGap++ },
			func() { b.Entries[1].Idempotent = true },
			func() { b.Entries[1].Methods = []string{"PUT"} },
		}
		for _, i := range rapid.SliceOfDistinct(rapid.IntRange(0, len(edits)-1), rapid.ID).Draw(t, "edits") {
			edits[i]()
		}
		if same := cmp.Equal(a, b); same != (len(Diff(a, b)) == 0) {
			t.Fatalf("equal %v, changes %v", same, Diff(a, b))
		}
	})
}

// Guards against a change of the draining list that loses comments or other draining
// servers.
func TestSetDraining(t *testing.T) {
	is := is.New(t)
	body := []byte("# kept comment\n" + goodBody + "draining: [e1]\n")
	edited, changed, err := SetDraining(body, "e2", true)
	is.NoErr(err)
	is.True(changed)
	is.True(strings.Contains(string(edited), "# kept comment"))
	is.Equal(mustParse(t, string(edited)).Draining, []string{"e1", "e2"})
	edited, _, err = SetDraining(edited, "e1", false)
	is.NoErr(err)
	is.Equal(mustParse(t, string(edited)).Draining, []string{"e2"})
	_, changed, err = SetDraining(edited, "e2", true)
	is.NoErr(err)
	is.True(!changed)
	_, _, err = SetDraining(edited, "Not A Name", true)
	is.True(err != nil)
}
