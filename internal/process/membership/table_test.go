package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/process/schedule"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func drawHost(t *rapid.T) Host {
	return Host{
		Name:              rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
		DataCentre:        rapid.SampledFrom([]string{"hobart", "burnie"}).Draw(t, "dc"),
		PeerAddress:       rapid.SampledFrom([]string{"1", "2"}).Draw(t, "address"),
		Incarnation:       rapid.Int64Range(1, 3).Draw(t, "incarnation"),
		Heartbeat:         rapid.Uint64Range(1, 4).Draw(t, "heartbeat"),
		Left:              rapid.Bool().Draw(t, "left"),
		CatalogueRevision: rapid.Int64Range(0, 3).Draw(t, "revision"),
	}
}

func merged(hosts []Host) *Table {
	t := NewTable(Host{Name: "self", DataCentre: "hobart", PeerAddress: "0", Incarnation: 1})
	for _, h := range hosts {
		t.Merge(epoch, h)
	}
	return t
}

// Guards against gateways whose views never converge because messages reach them in
// different orders or twice.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfN(rapid.Custom(drawHost), 1, 8).Draw(t, "hosts")
		twice := append(rapid.Permutation(hosts).Draw(t, "order"), hosts...)
		if d := cmp.Diff(merged(hosts).Hosts(epoch), merged(twice).Hosts(epoch)); d != "" {
			t.Fatal(d)
		}
	})
}

// Guards against an old message that replaces newer information about a host.
func TestMergeIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := merged(nil)
		for _, h := range rapid.SliceOfN(rapid.Custom(drawHost), 1, 8).Draw(t, "hosts") {
			before, had := table.hosts[h.Name]
			table.Merge(epoch, h)
			after := table.hosts[h.Name]
			if had && before.newer(after.Host) {
				t.Fatalf("%+v replaced the newer entry %+v", after, before)
			}
			if h.newer(after.Host) {
				t.Fatalf("newer entry %+v was ignored", h)
			}
		}
	})
}

// Guards against facts that differ between gateways that received the same messages in
// different orders.
func TestFactsMergeIsCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(func(t *rapid.T) Fact {
			v := rapid.Int64Range(1, 4).Draw(t, "version")
			return Fact{
				FactKey: FactKey{FactHost, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name")},
				Version: epoch.UnixMilli() + v, Leaving: v%2 == 0,
			}
		})
		facts := rapid.SliceOfN(draw, 1, 8).Draw(t, "facts")
		a, b := newFacts(), newFacts()
		for _, f := range facts {
			a.Merge(epoch, f)
		}
		for _, f := range append(rapid.Permutation(facts).Draw(t, "order"), facts...) {
			b.Merge(epoch, f)
		}
		if a.digest != b.digest {
			t.Fatal("digests differ")
		}
		for k := range a.facts {
			if !a.facts[k].same(b.facts[k].Fact) || a.facts[k].Version != b.facts[k].Version {
				t.Fatalf("%v differs", k)
			}
		}
	})
}

// Guards against servers that are forgotten during a long outage of the host list, and
// against facts of removed hosts that accumulate.
func TestFactExpiry(t *testing.T) {
	is := is.New(t)
	s := newFacts()
	for name, leaving := range map[string]bool{"live": false, "gone": true} {
		s.State(epoch, Fact{FactKey: FactKey{FactHost, name}, Leaving: leaving})
		s.State(epoch, Fact{FactKey: FactKey{FactReport, name}})
	}
	old := s.facts[FactKey{FactHost, "gone"}].Fact
	later := epoch.Add(24 * time.Hour)
	s.RemoveExpired(later)
	is.Equal(s.keys, []FactKey{{FactHost, "live"}, {FactReport, "live"}})
	is.True(!s.Merge(later, old)) // from a peer that has not removed it yet
	s.State(later, Fact{FactKey: FactKey{FactHost, "live"}, Leaving: true})
	s.State(later.Add(republishAfter), Fact{FactKey: FactKey{FactHost, "live"}, Leaving: true})
	s.RemoveExpired(later.Add(factTTL + time.Minute)) // still listed as leaving
	is.Equal(len(s.keys), 2)
}

// Guards against a host that is considered live after it has died, left, or been replaced
// by another one with its name or its address.
func TestHostStates(t *testing.T) {
	old := Host{Name: "a", DataCentre: "hobart", PeerAddress: "1", Incarnation: 5, Heartbeat: 100}
	with := func(change func(*Host)) Host { h := old; change(&h); return h }
	for name, c := range map[string]struct {
		updates []Host
		after   time.Duration
		want    State
	}{
		"fresh":                {nil, time.Second, Live},
		"late":                 {nil, 2500 * time.Millisecond, Suspect},
		"dead":                 {nil, 3100 * time.Millisecond, Dead},
		"left":                 {[]Host{with(func(h *Host) { h.Left = true })}, 0, Left},
		"heartbeat after left": {[]Host{with(func(h *Host) { h.Left = true }), with(func(h *Host) { h.Heartbeat++ })}, 0, Left},
		"restarted after left": {[]Host{with(func(h *Host) { h.Left = true }), with(func(h *Host) { h.Incarnation++; h.Heartbeat = 1 })}, 0, Live},
		"same address":         {[]Host{with(func(h *Host) { h.Name = "b"; h.Incarnation++ })}, 0, Dead},
		"older at the address": {[]Host{with(func(h *Host) { h.Name = "b"; h.Incarnation-- })}, 0, Live},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := merged(append([]Host{old}, c.updates...))
			is.Equal(table.State(epoch.Add(c.after), "a"), c.want)
		})
	}
}

// Guards against a gateway that its peers ignore because its clock was set back at a
// restart, so that the entry of its earlier start seems newer.
func TestRestartWithEarlierClockOutbids(t *testing.T) {
	is := is.New(t)
	table := NewTable(Host{Name: "a", PeerAddress: "1", Incarnation: 3})
	table.Merge(epoch, Host{Name: "a", PeerAddress: "1", Incarnation: 9})
	is.Equal(table.Self().Incarnation, int64(10))
	table.Merge(epoch, Host{Name: "a", PeerAddress: "2", Incarnation: 99})
	is.Equal(table.Self().Incarnation, int64(10)) // the entry of its replacement at another address is ignored
}

// Guards against a summary of a previous owner that hides the new owner's, and against
// summaries that are kept after their owner has stopped.
func TestSummaries(t *testing.T) {
	is := is.New(t)
	k := schedule.GroupKey{DataCentre: "hobart", Model: "m"}
	s := newSummaries()
	s.merge(schedule.Summary{Group: k, Owner: "a"}, epoch.Add(time.Hour).UnixMilli(), epoch)
	s.state(epoch, schedule.Summary{Group: k, Owner: "b"}) // b's clock is an hour behind
	is.Equal(s.list(epoch)[0].Owner, "b")
	is.Equal(len(s.list(epoch.Add(summaryTTL+time.Millisecond))), 0)
}

// Guards against a restarted gateway that is not reported as started, and against one
// that is reported again with each heartbeat.
func TestStartedHosts(t *testing.T) {
	is := is.New(t)
	table := merged(nil)
	h := Host{Name: "b", DataCentre: "x", PeerAddress: "1", Incarnation: 1}
	table.Merge(epoch, h)
	is.Equal(table.popStarted(), []string{"1"})
	h.Heartbeat++
	table.Merge(epoch, h)
	is.Equal(len(table.popStarted()), 0)
	h.Incarnation, h.Heartbeat = 2, 0
	table.Merge(epoch, h)
	is.Equal(table.popStarted(), []string{"1"})
	h.Incarnation = 1
	table.Merge(epoch, h)
	is.Equal(len(table.popStarted()), 0)
}

// BenchmarkLive measures the list of live gateways, which a gateway reads several times a second.
func BenchmarkLive(b *testing.B) {
	for _, n := range []int{30, 100, 300} {
		b.Run(fmt.Sprint("gateways=", n), func(b *testing.B) {
			g := NewGossiper(Options{Self: Host{Name: "self", PeerAddress: "self"}})
			for i := range n {
				name := fmt.Sprintf("gateway-%d", i)
				g.state.table.Merge(time.Now().Add(time.Hour), Host{Name: name, PeerAddress: name + ":7400", Incarnation: 1})
			}
			b.ReportAllocs()
			for b.Loop() {
				g.Live()
			}
		})
	}
}
