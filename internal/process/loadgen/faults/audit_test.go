package faults

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/process/loadgen"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/catalogue"
)

const gatewayURL = "http://127.0.0.1:1"

// cleanEvidence returns evidence of a run in which every property was exercised and
// held.
func cleanEvidence() *Evidence {
	link := []loadgen.Exchange{{Target: gatewayURL, FromMS: 900, ToMS: 1500, Answered: true, Code: loadgen.OutcomeCompleted}}
	within := []loadgen.Exchange{{Target: gatewayURL, FromMS: 1100, ToMS: 1200, Answered: true, Code: loadgen.OutcomeCompleted}}
	refused := []loadgen.Exchange{{Target: gatewayURL, FromMS: 1100, ToMS: 1200, Answered: true, Code: string(fault.PlatformUnavailable)}}
	e := &Evidence{
		Records: []loadgen.Record{
			{ID: "g1", Kind: catalogue.Generation, Tokens: 5, Accepted: true, Code: loadgen.OutcomeCompleted, Exchanges: link},
			{ID: "g2", Kind: catalogue.Generation, Code: "overloaded", Execution: api.NotRun},
			{ID: "s1", Kind: catalogue.Service, AtMostOnce: true, Code: loadgen.OutcomeCompleted},
			{ID: "g3", Kind: catalogue.Generation, Code: loadgen.OutcomeCompleted, Exchanges: within},
			{ID: "s3", Kind: catalogue.Service, Code: loadgen.OutcomeCompleted, Exchanges: within},
			{ID: "s4", Kind: catalogue.Service, AtMostOnce: true, Code: string(fault.PlatformUnavailable), Exchanges: refused},
		},
		Events: []Event{
			{1000, Term, "gateway-1", "-"}, {1000, StopHolder, "controller", "-"},
			{1000, Cut, "island-drop", `{"kind":"drop","a":["gateway-1"],"b":["gateway-2","platform"]}`},
			{4000, Heal, "island-drop", "{}"},
			{20000, EditOutage, "platform", `{"outage":true}`}, {30000, Clear, "platform", "-"},
		},
		Runs:     map[string]Runs{"engine-1": {"g1": 1}, "app-1": {"s1": 1}},
		Settled:  map[string]Runs{"app-1": {"s1": 1}},
		Returned: map[string]Runs{"app-1": {"s1": 1}},
		Edits: []EditResult{
			{"race", 10000, 0, "accepted as revision 2\n"}, {"race", 10000, 1, conflictText + " 1"},
			{"before-outage", 20000, 0, "accepted as revision 3\n"},
		},
		Samples: []Sample{
			{9000, []GatewayStatus{{Name: "gateway-1", Revision: 1, Ready: true}}},
			{14000, []GatewayStatus{{Name: "gateway-1", Revision: 1, Ready: true}}},
			{15000, []GatewayStatus{{Name: "gateway-1", Revision: 2, Ready: true}, {Name: "gateway-2", Error: "no answer"}}},
			// The outage began with the edit, so the bound counts from the end of the outage.
			{34000, []GatewayStatus{{Name: "gateway-1", Revision: 2, Ready: true}}},
			{35000, []GatewayStatus{{Name: "gateway-1", Revision: 3, Ready: true}}},
		},
		Exits: []Exit{{2000, "gateway-1", 0}},
		// controller-3 is in another data centre, so it does not count as a successor.
		Controllers: []ControllerSample{{"controller-1", true, 1, "dc0"}, {"controller-2", false, 1, "dc0"},
			{"controller-3", true, 1, "dc1"}, {"controller-2", true, 2, "dc0"}},
		Crashes:      []string{"engine-2", "engine-3"},
		CrashResends: []string{"engine_lost", "request_crashes_servers"},
		GatewayURLs:  map[string]string{"gateway-1": gatewayURL, "gateway-2": "http://127.0.0.1:2"},
	}
	e.setCuts()
	return e
}

func (e *Evidence) setCuts() {
	cuts, err := e.cutSpans()
	if err != nil {
		panic(err)
	}
	e.Cuts = cuts
}

// Guards against a partition that does not extend the deadline, and against one that
// extends it for a gateway that could still get the edit from another gateway.
func TestDeadlineAcrossCuts(t *testing.T) {
	const g, n = "gateway-1", int64(2)
	for _, c := range []struct {
		name, a, b string
		seenMS     int64 // time of the sample in which gateway-2 has the revision; 0 if it never has
		want       int64
	}{
		{"no cut", "gateway-3", "platform", 0, 6000},
		{"cut off from everything", "gateway-1", `platform","gateway-2`, 0, 9000 + 5000},
		{"platform only, another gateway polls it", "gateway-1", "platform", 0, 6000},
		{"gateways only", "gateway-1", "gateway-2", 0, 6000},
		{"platform from both", `gateway-1","gateway-2`, "platform", 0, 9000 + 5000},
		{"platform from both, the other had it", `gateway-1","gateway-2`, "platform", 3000, 3000 + maxSampleDurationMS + 5000},
	} {
		e := &Evidence{
			Events:      []Event{{500, Cut, "island-drop", `{"kind":"drop","a":["` + c.a + `"],"b":["` + c.b + `"]}`}, {9000, Heal, "island-drop", "{}"}},
			GatewayURLs: map[string]string{"gateway-1": "u", "gateway-2": "v"},
		}
		if c.seenMS > 0 {
			e.Samples = []Sample{{c.seenMS, []GatewayStatus{{Name: "gateway-2", Revision: n}}}}
		}
		e.setCuts()
		if got := e.deadline(g, n, 1000); got != c.want {
			t.Errorf("%s: deadline %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against an audit that misses a breach, attributes it to another property,
// or reports a property without any check as held.
func TestAudit(t *testing.T) {
	for _, c := range []struct {
		name     string
		property string
		change   func(e *Evidence)
	}{
		{"nothing", "", func(*Evidence) {}},
		{"a lost token", "P1", func(e *Evidence) { e.Records[0].Violations = map[loadgen.Violation]int{loadgen.Lost: 1} }},
		{"a foreign part", "P2", func(e *Evidence) { e.Records[2].Violations = map[loadgen.Violation]int{loadgen.Foreign: 1} }},
		{"a run that was denied", "P3", func(e *Evidence) { e.Runs["engine-1"]["g2"] = 1 }},
		{"no answer not_run", "P3", func(e *Evidence) { e.Records[1].Execution = api.Unknown }},
		{"runs at two servers", "P4", func(e *Evidence) { e.Runs["app-2"] = Runs{"s1": 1} }},
		{"a run at a leaving server", "P5", func(e *Evidence) { e.Returned["app-1"] = Runs{"s1": 1, "s2": 1} }},
		{"no leaving server", "P5", func(e *Evidence) { e.Returned = nil }},
		{"a broken link", "P6", func(e *Evidence) { e.Records[0].Exchanges[0].Code = loadgen.OutcomeLinkBroken }},
		{"a failing exit code", "P6", func(e *Evidence) { e.Exits[0].Code = 1 }},
		{"a gateway that does not end", "P6", func(e *Evidence) { e.Exits = nil }},
		{"a late revision", "P7", func(e *Evidence) { e.Samples[2].Gateways[0].Revision = 1 }},
		{"a late revision after an outage", "P7", func(e *Evidence) { e.Samples[4].Gateways[0].Revision = 2 }},
		{"a reverted revision", "P7", func(e *Evidence) { e.Samples[0].Gateways[0].Revision = 2 }},
		{"two winners of a race", "P7 edits", func(e *Evidence) {
			e.Edits[1] = EditResult{"race", 10000, 0, "accepted as revision 2"}
		}},
		{"a failed edit", "P7 edits", func(e *Evidence) { e.Edits[2] = EditResult{"before-outage", 20000, 1, "timed out"} }},
		{"two holders", "lease", func(e *Evidence) { e.Controllers[1].Active = true }},
		{"no successor", "lease", func(e *Evidence) { e.Controllers = e.Controllers[:3] }},
		{"three crashes", "crash bound", func(e *Evidence) { e.Crashes = append(e.Crashes, "engine-4") }},
		{"no refusal", "crash bound", func(e *Evidence) { e.CrashResends = e.CrashResends[:1] }},
		{"no crash", "crash bound", func(e *Evidence) { e.Crashes = nil }},
		{"no cut", "cut off", func(e *Evidence) { e.Cuts = nil }},
		{"no generation while cut off", "cut off", func(e *Evidence) { e.Records[3].Exchanges = nil }},
		{"a generation refused while cut off", "cut off", func(e *Evidence) {
			e.Records = append(e.Records, loadgen.Record{ID: "g4", Kind: catalogue.Generation, Code: "x", Exchanges: e.Records[5].Exchanges})
		}},
		{"a single run while cut off", "cut off", func(e *Evidence) { e.Records[5].Exchanges = e.Records[3].Exchanges }},
		{"a request that hangs", "ends", func(e *Evidence) { e.Records[0].Code = loadgen.OutcomeUnfinished }},
		{"an accepted generation that is lost", "ends", func(e *Evidence) { e.Records[0].Code = loadgen.OutcomeLinkBroken; e.Records[0].Exchanges = nil }},
	} {
		e := cleanEvidence()
		c.change(e)
		for _, check := range e.Audit() {
			if check.Passed() == (check.Property == c.property) && !(c.property == "ends" && check.Property == "P6") {
				t.Errorf("%s: %s has %d checks and breaches %q", c.name, check.Property, check.Checks, check.Breaches)
			}
		}
	}
}

// Guards against a mismatch between the file formats of scripts/faults.sh and Load.
func TestLoadReadsTheScriptsFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	record, err := json.Marshal(cleanEvidence().Records[0])
	is.NoErr(err)
	for name, text := range map[string]string{
		"records.jsonl":          string(record) + "\n",
		"events.log":             "1000 term gateway-1 -\n",
		"exits.log":              "2000 gateway-1 0\n",
		"gateways.log":           "gateway-1 " + gatewayURL + "\n",
		"edits.log":              "10000 race 0 edit-race-a.out\n",
		"edit-race-a.out":        "~ setting\naccepted as revision 12\n",
		"status.log":             `9000 [{"name":"gateway-1","revision":1,"ready":true}]` + "\n",
		"controllers.jsonl":      `{"name":"controller-1","active":true,"fencing":4}` + "\n",
		"crashes.log":            "1000 engine-3\n",
		"resends.log":            "engine_lost\n",
		"runs/engine-1.1.json":   `{"g1":1}`,
		"runs/engine-1.2.json":   `{"g1":2}`,
		"settled/app-1.json":     `{"s1":1}`,
		"returned/app-1.json":    `{"s1":2}`,
		"runs/engine-2.end.json": `{}`,
	} {
		is.NoErr(os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o700))
		is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	e, err := Load(dir)
	is.NoErr(err)
	is.Equal(e.Records[0], cleanEvidence().Records[0])
	is.Equal(e.Runs["engine-1"]["g1"], 3) // the runs before and after the restart are summed
	is.Equal(e.Edits[0].accepted(), int64(12))
	is.Equal(e.Controllers[0].Fencing, int64(4))
	is.Equal(e.Crashes, []string{"engine-3"})
	is.Equal(e.CrashResends, []string{"engine_lost"})
	var out bytes.Buffer
	passed, err := e.Report(&out)
	is.NoErr(err)
	is.True(!passed)
	is.True(strings.Contains(out.String(), "not exercised"))
	is.NoErr(os.WriteFile(filepath.Join(dir, "exits.log"), []byte("2000 gateway-1\n"), 0o600))
	_, err = Load(dir)
	is.True(err != nil) // a line with a missing field is an error
}
