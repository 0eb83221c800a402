package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/fleet"
	"persimmonwing/internal/process/loadgen"
	"persimmonwing/internal/version/catalogue"
)

// testCatalogue returns a catalogue with an urgent and a background generation
// entry, and service entries that are idempotent and not.
func testCatalogue(t *testing.T) []byte {
	t.Helper()
	generation := func(name string, c catalogue.Class) catalogue.Entry {
		return catalogue.Entry{
			Name: name, Owner: "tests", Kind: catalogue.Generation, Class: c, Timeout: time.Minute,
			Model: "main", MaxOutputTokens: 200, ExpectedOutputTokens: 20,
			Targets: catalogue.Targets{FirstToken: 10 * time.Second, TokenGap: time.Second},
		}
	}
	call := func(name, method string, idempotent bool) catalogue.Entry {
		return catalogue.Entry{
			Name: name, Owner: "tests", Kind: catalogue.Service, Class: catalogue.Urgent, Timeout: time.Minute,
			Service: fleet.ServiceName, Methods: []string{method}, Path: "/" + name, Idempotent: idempotent,
		}
	}
	body, err := catalogue.Encode(&catalogue.Catalogue{
		BackgroundFloor: 0.1,
		UrgentReserve:   0.1,
		Models:          []catalogue.Model{{Name: "main"}},
		Workspaces:      []catalogue.Workspace{{Name: "w", Weight: 1, KeyDigests: []string{catalogue.Digest([]byte("k"))}}},
		Entries: []catalogue.Entry{
			generation("plan", catalogue.Urgent), generation("sorting", catalogue.Background),
			call("booking", "POST", false), call("stock", "GET", true),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func testWorkload() *loadgen.Workload {
	stream := func(entry string, kind catalogue.Kind, class catalogue.Class, method string) loadgen.Stream {
		return loadgen.Stream{
			Name: entry, Workspace: "w", Key: "k", Entry: entry, Kind: kind, Class: class, Rate: 20,
			Prompt: loadgen.Length{Fixed: 40}, Output: loadgen.Length{Median: 20, Sigma: 1, Cap: 200},
			Method: method, IdempotencyKey: method == "POST", Resend: 0.2,
		}
	}
	return &loadgen.Workload{Streams: []loadgen.Stream{
		stream("plan", catalogue.Generation, catalogue.Urgent, ""),
		stream("sorting", catalogue.Generation, catalogue.Background, ""),
		stream("booking", catalogue.Service, catalogue.Urgent, "POST"),
		stream("stock", catalogue.Service, catalogue.Urgent, "GET"),
	}}
}

func smallFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	o := fleet.Small()
	o.Engines, o.Apps = 2, 1
	o.TimeScale = 0.2
	o.Catalogue = testCatalogue(t)
	f, err := fleet.Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	if err := f.WaitServing(t.Context(), "k", "plan"); err != nil {
		t.Fatal(err)
	}
	return f
}

// Guards against components that work only in isolation. Sends requests of every
// kind through the gateways to the stand-ins of their backend servers.
func TestWholePath(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := smallFleet(t)
	r, err := loadgen.Run(t.Context(), loadgen.Config{
		Workload: testWorkload(),
		Targets:  f.Targets(),
		Duration: 2 * time.Second,
		Grace:    15 * time.Second,
		Seed:     1,
	})
	is.NoErr(err)
	is.Equal(len(r.Violations), 0)
	for _, g := range r.Windows[0].Streams {
		if g.Completed() == 0 {
			t.Errorf("stream %s: none of %d requests completed: %v", g.Name, g.Requests, g.Outcomes)
		}
	}
	runs, calls := f.Runs(t.Context()), f.CallRuns()
	for _, id := range r.NotRunIDs {
		is.Equal(runs[id]+calls[id], 0) // execution was reported as not_run
	}
	is.True(len(r.AtMostOnceIDs) > 0)
	for _, id := range r.AtMostOnceIDs {
		is.True(calls[id] <= 1) // must not run twice
	}
	c := f.Counters(t.Context())
	is.True(c.Tokens >= int64(r.Windows[0].Total.Tokens))
}

// Guards against streams that end, repeat tokens or lose tokens when the gateway
// that relays them crashes while the engine continues.
func TestStreamsOutliveTheirGateway(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := fleet.Small()
	o.Engines, o.Apps = 2, 1
	o.TimeScale = 0.5
	o.Forwarders = true
	o.Catalogue = testCatalogue(t)
	f, err := fleet.Start(t.Context(), o)
	is.NoErr(err)
	t.Cleanup(f.Stop)
	is.NoErr(f.WaitServing(t.Context(), "k", "plan"))
	w := testWorkload()
	w.Streams = w.Streams[:1]
	w.Streams[0].Output = loadgen.Length{Fixed: 150}
	killed := make(chan error, 1)
	time.AfterFunc(1500*time.Millisecond, func() { killed <- f.KillGateway(0) })
	r, err := loadgen.Run(t.Context(), loadgen.Config{
		Workload:  w,
		Targets:   f.Targets(),
		Duration:  2 * time.Second,
		Grace:     15 * time.Second,
		Seed:      1,
		ResumeFor: loadgen.DefaultResumeFor,
	})
	is.NoErr(err)
	is.NoErr(<-killed)
	all := &r.Windows[0].Total
	is.Equal(len(r.Violations), 0)
	is.True(all.Resumed > 0)
	is.True(all.ConnectionsRefused > 0)                  // the killed gateway refused connections
	is.True(all.Completed() > all.Resumed)               // most streams were not interrupted
	is.Equal(all.Outcomes["engine_lost/ran"], 0)         // no engine was lost
	is.Equal(all.Outcomes[loadgen.OutcomeUnfinished], 0) // every stream ended
}
