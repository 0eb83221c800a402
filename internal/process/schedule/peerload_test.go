package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

// sharedGroup returns a group under the policy "shared".
func sharedGroup(replicas int) *Group {
	g := NewGroup(GroupKey{Model: "m"}, Options{Policy: PolicyShared, NoBatchBound: true})
	g.SetReplicas(start, testReplicas(replicas, 8, 10_000))
	return g
}

// Guards against sums that drift when gateways send changed loads, stop sending them or
// start again. The state of the group may depend on the last loads only.
func TestPeerLoadsLeaveNoResidue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, peers := sharedGroup(3), []*Group{sharedGroup(3), sharedGroup(3)}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			p := rapid.IntRange(0, 1).Draw(t, "peer")
			name := fmt.Sprint("peer", p)
			switch rapid.SampledFrom([]string{"grant", "release", "silent", "relist"}).Draw(t, "step") {
			case "grant":
				peers[p].Enqueue(start, testRequest(fmt.Sprint(p, "-", i), "w", catalogue.Background))
				peers[p].Dispatch(start)
			case "release":
				for id := range peers[p].grants {
					peers[p].Release(start, id, Outcome{})
					break
				}
			case "silent":
				g.SetPeerLoads(start, name, 1, nil)
				continue
			case "relist":
				g.SetReplicas(start, testReplicas(2, 8, 10_000))
				g.SetReplicas(start, testReplicas(3, 8, 10_000))
			}
			g.SetPeerLoads(start, name, 1, peers[p].Loads())
		}
		for p := range peers {
			g.SetPeerLoads(start, fmt.Sprint("peer", p), 1, nil)
		}
		for name, r := range g.replicas {
			if r.external != 0 || r.projection.Used() != 0 || len(r.peers) != 0 {
				t.Fatalf("%s still counts %d external sequences and %d tokens", name, r.external, r.projection.Used())
			}
		}
	})
}

// Guards against two gateways that together grant more than the memory of an engine
// although each knows the other's grants.
func TestPeersShareMemory(t *testing.T) {
	is := is.New(t)
	a, b := sharedGroup(1), sharedGroup(1)
	alone := sharedGroup(1)
	for i := range 100 {
		for _, g := range []*Group{a, b, alone} {
			g.Enqueue(start, testRequest(fmt.Sprintf("%p-%d", g, i), "w", catalogue.Background))
		}
		a.SetPeerLoads(start, "b", 1, b.Loads())
		a.Dispatch(start)
		b.SetPeerLoads(start, "a", 1, a.Loads())
		b.Dispatch(start)
		alone.Dispatch(start)
	}
	is.Equal(len(a.grants)+len(b.grants), len(alone.grants))
}

// Guards against grants to an engine whose memory is used by data that no gateway's loads
// include, such as copies of moved generations.
func TestReportedMemoryCounts(t *testing.T) {
	is := is.New(t)
	g := sharedGroup(2)
	g.Report(start, "r000", api.LoadReport{KVUsedTokens: 9_900, ReportedAtMS: 1})
	for i := range 4 {
		g.Enqueue(start, testRequest(fmt.Sprint(i), "w", catalogue.Background))
	}
	for _, d := range g.Dispatch(start) {
		is.True(d.Refusal == nil)
		is.Equal(d.Grant.Backend, "r001")
	}
}

// Guards against moved generations that all go to the least loaded engine, and against
// generations that leave the data centre although it has room.
func TestMovedGenerationsSpread(t *testing.T) {
	is := is.New(t)
	counts := map[string]int{}
	for i := range 60 {
		// A new group each time: all gateways decide from the same state.
		g := sharedGroup(4)
		list := testReplicas(4, 8, 10_000)
		list[0].DataCentre, list[1].DataCentre, list[2].DataCentre, list[3].DataCentre = "near", "near", "near", "far"
		g.SetReplicas(start, list)
		r := testRequest(fmt.Sprint("move", i), "w", catalogue.Urgent)
		r.DataCentre, r.Spread, r.Exclude = "near", true, []string{"r000"}
		g.Enqueue(start, r)
		d := g.Dispatch(start)
		is.Equal(len(d), 1)
		counts[d[0].Grant.Backend]++
	}
	is.Equal(counts["r003"], 0)
	is.True(counts["r001"] >= 15)
	is.True(counts["r002"] >= 15)
}

// Guards against choosing an engine of another data centre at equal load, and against
// choosing one of the preferred data centre that is full.
func TestOwnDataCentreIsPreferred(t *testing.T) {
	is := is.New(t)
	g := sharedGroup(2)
	list := testReplicas(2, 8, 10_000)
	list[0].DataCentre, list[1].DataCentre = "far", "near"
	g.SetReplicas(start, list)
	g.Enqueue(start.Add(time.Second), func() Request {
		r := testRequest("a", "w", catalogue.Background)
		r.DataCentre = "near"
		return r
	}())
	is.Equal(g.Dispatch(start.Add(time.Second))[0].Grant.Backend, "r001")
	g.Report(start, "r001", api.LoadReport{KVUsedTokens: 9_990, ReportedAtMS: 2})
	r := testRequest("b", "w", catalogue.Background)
	r.DataCentre = "near"
	g.Enqueue(start.Add(time.Second), r)
	is.Equal(g.Dispatch(start.Add(time.Second))[0].Grant.Backend, "r000")
}

// Guards against short requests that queue behind the prefill of long prompts while
// another engine has no prompt to prefill. Three engines have one generation with a long
// prompt each. One of them has finished its prefill, and runs a short request of another
// gateway too.
func TestUnreadPromptsCount(t *testing.T) {
	is := is.New(t)
	long := func(id string) Request {
		r := testRequest(id, "w", catalogue.Background)
		r.PromptTokens = 3000
		return r
	}
	list := testReplicas(3, 24, 34_000)
	g, peer := sharedGroup(3), sharedGroup(3)
	g.SetReplicas(start, list)
	peer.SetReplicas(start, list)
	for i, name := range []string{"r000", "r001", "r002"} {
		r := long(fmt.Sprint("old", i))
		for _, other := range list {
			if other.Name != name {
				r.Exclude = append(r.Exclude, other.Name)
			}
		}
		g.Enqueue(start, r)
		is.Equal(g.Dispatch(start)[0].Grant.Backend, name)
	}
	g.Progress(start, "old2", 1)
	read := testRequest("peer", "w", catalogue.Background)
	read.PromptTokens = 10
	read.Exclude = []string{"r001", "r000"}
	peer.Enqueue(start, read)
	peer.Dispatch(start)
	g.SetPeerLoads(start, "peer", 1, peer.Loads())
	// r002 has more generations than the others, but has prefilled its long prompt.
	g.Enqueue(start, testRequest("check", "w", catalogue.Urgent))
	is.Equal(g.Dispatch(start)[0].Grant.Backend, "r002")
}

// Guards against engines that are so full that generations of a leaving engine find no
// room: background work leaves MoveReserve free, and moved generations may use it.
func TestMoveReserve(t *testing.T) {
	is := is.New(t)
	g := NewGroup(GroupKey{Model: "m"}, Options{Policy: PolicyShared, NoBatchBound: true, MoveReserve: 0.2})
	g.SetReplicas(start, testReplicas(1, 24, 10_000))
	fixed := func(id string, class catalogue.Class) Request {
		r := testRequest(id, "w", class)
		r.PromptTokens, r.MaxOutputTokens = 1_000, 1
		return r
	}
	for i := range 12 {
		g.Enqueue(start, fixed(fmt.Sprint("plan", i), catalogue.Background))
	}
	g.Dispatch(start)
	is.Equal(len(g.grants), 8) // 8,000 of 10,000 tokens
	move := fixed("move", catalogue.Urgent)
	move.Spread = true
	g.Enqueue(start, move)
	d := g.Dispatch(start)
	is.Equal(len(d), 1)
	is.Equal(d[0].Grant.ID, "move")
}

// Guards against moved generations that find no room although the memory reserved for
// them is free. All the work that yields to them may belong to another gateway.
func TestEntitledWorkUsesTheReserveBesidePeers(t *testing.T) {
	is := is.New(t)
	group := func() *Group {
		g := NewGroup(GroupKey{Model: "m"}, Options{Policy: PolicyShared, NoBatchBound: true, MoveReserve: 0.2})
		g.SetReplicas(start, testReplicas(1, 8, 10_000))
		return g
	}
	fill := func(id string, class catalogue.Class) Request {
		q := testRequest(id, "w", class)
		q.PromptTokens, q.MaxOutputTokens = 3500, 100
		return q
	}
	peer, g := group(), group()
	for i := range 3 {
		peer.Enqueue(start, fill(fmt.Sprint("r", i), catalogue.Background))
	}
	is.Equal(len(peer.Dispatch(start)), 2) // the reserve stays free
	g.SetPeerLoads(start, "peer", 1, peer.Loads())
	g.Enqueue(start, fill("background", catalogue.Background))
	is.Equal(len(g.Dispatch(start)), 0)
	q := fill("moved", catalogue.Urgent)
	q.PromptTokens = 2500
	g.Enqueue(start, q)
	decisions := g.Dispatch(start)
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Request.ID, "moved")
}
