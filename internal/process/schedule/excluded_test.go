package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/version/catalogue"
)

// Guards against a request that may use only full replicas and keeps others from free ones: those of its workspace, which were queued
// behind it, and those of its rank, once it was bypassed a few times at replicas that it may not use.
func TestRequestsThatExcludeReplicasHoldUpNoOthers(t *testing.T) {
	for _, policy := range sharingPolicies {
		for name, workspace := range map[string]string{"same workspace": "w", "another workspace": "x"} {
			t.Run(string(policy)+"/"+name, func(t *testing.T) {
				is := is.New(t)
				const batch = 8
				g := testGroup(Options{Policy: policy}, 2, batch, 1_000_000)
				for i := range batch {
					g.Enqueue(start, requestWithout(fmt.Sprint("full-", i), "w", "r001"))
				}
				is.Equal(len(g.Dispatch(start)), batch)
				g.Enqueue(start, requestWithout("waits", "w", "r001"))
				is.Equal(len(g.Dispatch(start)), 0)
				for i := range maxBypassed + 2 {
					q := testRequest(fmt.Sprint("new-", i), workspace, catalogue.Urgent)
					if i%2 == 0 {
						q = requestWithout(fmt.Sprint("goes-on-", i), workspace, "r000")
					}
					g.Enqueue(start, q)
					d := g.Dispatch(start.Add(time.Duration(i) * time.Millisecond))
					if len(d) != 1 || d[0].Grant.Backend != "r001" {
						t.Fatalf("%s: decisions %+v", q.ID, d)
					}
				}
				g.Release(start, "full-0", Outcome{})
				d := g.Dispatch(start.Add(time.Second))
				is.Equal(len(d), 1)
				is.Equal(d[0].Request.ID, "waits")
			})
		}
	}
}

// Guards against stopping all requests of a rank for one that was bypassed often at the replicas that it may use: only those are kept
// for it.
func TestBypassedRequestKeepsOnlyItsReplicas(t *testing.T) {
	for _, policy := range sharingPolicies {
		t.Run(string(policy), func(t *testing.T) {
			is := is.New(t)
			g := testGroup(Options{Policy: policy}, 2, 8, 10_000)
			enqueue := func(id, workspace string, prompt int, exclude string) []Decision {
				q := testRequest(id, workspace, catalogue.Urgent)
				q.PromptTokens, q.MaxOutputTokens, q.ExpectedOutputTokens = prompt, 100, 100
				if exclude != "" {
					q.Exclude = []string{exclude}
				}
				g.Enqueue(start, q)
				return g.Dispatch(start)
			}
			is.Equal(len(enqueue("first", "w", 1000, "r001")), 1)
			is.Equal(len(enqueue("large", "w", 9900, "r001")), 0)
			for i := range maxBypassed {
				is.Equal(len(enqueue(fmt.Sprint("small-", i), "x", 10, "r001")), 1)
			}
			is.Equal(len(enqueue("late", "x", 10, "r001")), 0) // waits for the large one
			for i, exclude := range []string{"r000", ""} {
				d := enqueue(fmt.Sprint("other-", i), "y", 10, exclude)
				is.Equal(len(d), 1)
				is.Equal(d[0].Grant.Backend, "r001")
			}
		})
	}
}

// requestWithout returns a request that may not use a replica.
func requestWithout(id, workspace, other string) Request {
	q := testRequest(id, workspace, catalogue.Urgent)
	q.Exclude = []string{other}
	return q
}

// groupWithAFullReplica returns a group in which the only replica of v1, r000, is full, and that of v2, r001, is free.
func groupWithAFullReplica(t *testing.T, policy Policy) *Group {
	g := testGroup(Options{Policy: policy}, 2, 8, 1_000_000)
	for i := range 8 {
		g.Enqueue(start, requestWithout(fmt.Sprint("full-", i), "w", "r001"))
	}
	if d := g.Dispatch(start); len(d) != 8 {
		t.Fatalf("%d decisions", len(d))
	}
	return g
}

var sharingPolicies = []Policy{PolicyShared, PolicyOwner}

// Guards against streams of one version in several workspaces that close the rank for all others by maxSkips.
func TestManyBoundRequestsCloseNoRank(t *testing.T) {
	for _, policy := range sharingPolicies {
		t.Run(string(policy), func(t *testing.T) {
			g := groupWithAFullReplica(t, policy)
			for i := range maxSkips {
				g.Enqueue(start, requestWithout(fmt.Sprint("waits-", i), fmt.Sprint("w", i), "r001"))
			}
			g.Dispatch(start)
			g.Enqueue(start, testRequest("new", "x", catalogue.Urgent))
			for i := range 20 {
				for _, d := range g.Dispatch(start.Add(time.Duration(i) * 100 * time.Millisecond)) {
					if d.Request.ID == "new" {
						return
					}
				}
			}
			t.Errorf("not granted within 2 s, lacks %v", g.Account(start, "new").Lacked)
		})
	}
}

// Guards against a stream of one version that keeps background work from the replicas of others.
func TestBoundRequestDoesNotStopBackground(t *testing.T) {
	for _, policy := range sharingPolicies {
		t.Run(string(policy), func(t *testing.T) {
			g := groupWithAFullReplica(t, policy)
			g.Enqueue(start, requestWithout("waits", "w", "r001"))
			g.Dispatch(start)
			g.Enqueue(start, testRequest("background", "x", catalogue.Background))
			for i := range 20 {
				for _, d := range g.Dispatch(start.Add(time.Duration(i) * 100 * time.Millisecond)) {
					if d.Request.ID == "background" {
						return
					}
				}
			}
			t.Errorf("not granted within 2 s, lacks %v", g.Account(start, "background").Lacked)
		})
	}
}

// Guards against take-ups that are refused before their time because a like one of their workspace is before them.
func TestSecondTakeUpLacksRoom(t *testing.T) {
	for _, policy := range sharingPolicies {
		t.Run(string(policy), func(t *testing.T) {
			g := groupWithAFullReplica(t, policy)
			for i := range 3 {
				q := requestWithout(fmt.Sprint("waits-", i), "w", "r001")
				q.Deadline = start.Add(200 * time.Millisecond)
				g.Enqueue(start, q)
			}
			for i := range 4 {
				for _, d := range g.Dispatch(start.Add(time.Duration(i) * 100 * time.Millisecond)) {
					t.Log(d.Request.ID, d.Refusal.Reason, d.Refusal.Account.Lacked)
					if !d.Refusal.Account.Lacked.Full() {
						t.Errorf("%s: lacked %v", d.Request.ID, d.Refusal.Account.Lacked)
					}
				}
			}
		})
	}
}

// Guards against the loss of the floor of a workspace whose waiting requests may not use all replicas.
func TestFloorHoldsForRequestsThatExcludeReplicas(t *testing.T) {
	g := groupWithAFullReplica(t, PolicyShared)
	g.SetWorkspaceFloors(map[string]float64{"small": 0.5})
	for i := range 3 {
		q := requestWithout(fmt.Sprint("big-", i), "w", "r001")
		q.Weight = 100
		g.Enqueue(start, q)
	}
	g.Dispatch(start)
	q := requestWithout("small", "small", "r001")
	q.Weight = 0.01
	g.floors.add(start, "w", 10_000)
	g.Enqueue(start, q)
	if d := g.Dispatch(start); len(d) != 0 {
		t.Fatalf("decisions %+v", d)
	}
	g.Release(start, "full-0", Outcome{})
	d := g.Dispatch(start)
	if len(d) != 1 || d[0].Request.ID != "small" {
		t.Errorf("decisions %+v", d)
	}
}

// Guards against a request that excludes a replica which failed it and keeps others of its workspace from that one.
func TestRetryHoldsUpNoOthers(t *testing.T) {
	for _, policy := range sharingPolicies {
		t.Run(string(policy), func(t *testing.T) {
			g := groupWithAFullReplica(t, policy)
			q := testRequest("retry", "w", catalogue.Urgent)
			q.Exclude = []string{"r001"}
			g.Enqueue(start, q)
			g.Dispatch(start)
			g.Enqueue(start, testRequest("new", "w", catalogue.Urgent))
			for i := range 20 {
				for _, d := range g.Dispatch(start.Add(time.Duration(i) * 100 * time.Millisecond)) {
					if d.Request.ID == "new" {
						return
					}
				}
			}
			t.Errorf("not granted within 2 s, lacks %v", g.Account(start, "new").Lacked)
		})
	}
}

// Guards against a stream whose further excluded replica is free and that keeps others of its version from it.
func TestBoundWithOtherExclusions(t *testing.T) {
	g := testGroup(Options{Policy: PolicyShared}, 3, 8, 1_000_000)
	for i := range 8 {
		q := requestWithout(fmt.Sprint("full-", i), "w", "r001")
		q.Exclude = append(q.Exclude, "r002")
		g.Enqueue(start, q)
	}
	g.Dispatch(start)
	head := requestWithout("head", "w", "r001")
	head.Exclude = append(head.Exclude, "r002") // of v1 too, failed it
	g.Enqueue(start, head)
	g.Dispatch(start)
	g.Enqueue(start, requestWithout("next", "w", "r001"))
	if d := g.Dispatch(start); len(d) != 1 {
		t.Errorf("decisions %+v", d)
	}
}

// Guards against refusing a request at once because of streams of another version that wait, although engines of its own give back
// what it needs in time.
func TestHopelessCountsOnlyCompetitors(t *testing.T) {
	for _, waiters := range []int{0, 8, 16, 24, 40} {
		t.Run(fmt.Sprint(waiters), func(t *testing.T) {
			g := testGroup(Options{Policy: PolicyShared}, 2, 8, 4_000)
			for i := range 16 {
				other := "r001"
				if i%2 == 1 {
					other = "r000"
				}
				q := requestWithout(fmt.Sprint("full-", i), "w", other)
				q.MaxOutputTokens = 300
				g.Enqueue(start, q)
			}
			t.Log(len(g.Dispatch(start)))
			for i := range waiters {
				q := requestWithout(fmt.Sprint("waits-", i), "w", "r001")
				q.MaxOutputTokens = 300
				g.Enqueue(start, q)
			}
			g.Dispatch(start)
			q := requestWithout("new", "x", "r000")
			q.MaxOutputTokens = 300
			at := start.Add(100 * time.Millisecond)
			q.Deadline = at.Add(4 * time.Second)
			g.Enqueue(at, q)
			for _, d := range g.Dispatch(at) {
				if d.Request.ID == "new" {
					if d.Refusal != nil {
						t.Errorf("refused: %v", d.Refusal)
					}
				}
			}
		})
	}
}

// Guards against keeping the only replica of one version from its streams for a stream of another that waits.
func TestKeptReplicasServeThoseTheyAreKeptFor(t *testing.T) {
	for _, waits := range []bool{false, true} {
		t.Run(fmt.Sprint(waits), func(t *testing.T) {
			g := testGroup(Options{Policy: PolicyShared}, 4, 8, 1_000_000)
			for i := range 24 {
				q := testRequest(fmt.Sprint("full-", i), "w", catalogue.Urgent)
				q.Exclude = []string{"r003"}
				g.Enqueue(start, q)
			}
			if d := g.Dispatch(start); len(d) != 24 {
				t.Fatal(len(d))
			}
			if waits {
				q := testRequest("waits", "w", catalogue.Urgent)
				q.Exclude, q.Moving = []string{"r003"}, true
				g.Enqueue(start, q)
			}
			g.Dispatch(start)
			for _, bound := range []string{"", "v2"} {
				q := testRequest("new"+bound, "x", catalogue.Urgent)
				q.Deadline = start.Add(4 * time.Second)
				if bound != "" {
					q.Exclude = []string{"r000", "r001", "r002"}
				}
				g.Enqueue(start, q)
				granted := time.Duration(-1)
				for i := range 40 {
					at := time.Duration(i) * 100 * time.Millisecond
					for _, d := range g.Dispatch(start.Add(at)) {
						if d.Request.ID == q.ID && d.Refusal == nil {
							granted = at
						}
					}
				}
				if granted != 0 {
					t.Errorf("%q granted after %v", q.ID, granted)
				}
			}
		})
	}
}

// Guards against the same where one version serves and memory instead of slots is short.
func TestSecondTakeUpOfTheOnlyVersionLacksRoom(t *testing.T) {
	g := testGroup(Options{Policy: PolicyOwner}, 1, 64, 2_000)
	for i := range 20 {
		q := testRequest(fmt.Sprint("q-", i), "w", catalogue.Urgent)
		q.Deadline = start.Add(200 * time.Millisecond)
		g.Enqueue(start, q)
	}
	for i := range 4 {
		for _, d := range g.Dispatch(start.Add(time.Duration(i) * 100 * time.Millisecond)) {
			if d.Refusal == nil {
				continue
			}
			t.Log(d.Request.ID, d.Refusal.Reason, d.Refusal.Account.Lacked)
			if !d.Refusal.Account.Lacked.Full() {
				t.Errorf("%s: lacked %v", d.Request.ID, d.Refusal.Account.Lacked)
			}
		}
	}
}

// Controls of the tests above: fewer streams that wait, or none, hold up nobody.
func TestControls(t *testing.T) {
	g := groupWithAFullReplica(t, PolicyShared)
	for i := range maxSkips - 1 {
		g.Enqueue(start, requestWithout(fmt.Sprint("waits-", i), fmt.Sprint("w", i), "r001"))
	}
	g.Dispatch(start)
	g.Enqueue(start, testRequest("new", "x", catalogue.Urgent))
	if d := g.Dispatch(start); len(d) != 1 {
		t.Errorf("urgent: %d decisions", len(d))
	}
	g = groupWithAFullReplica(t, PolicyShared)
	g.Enqueue(start, testRequest("background", "x", catalogue.Background))
	if d := g.Dispatch(start); len(d) != 1 {
		t.Errorf("background: %d decisions", len(d))
	}
}

// Guards against a generation that would leave a slow replica, and waits until nobody else does, ahead of requests of its workspace.
func TestSlowMoveHoldsUpNoOthers(t *testing.T) {
	g := testGroup(Options{Policy: PolicyShared}, 3, 8, 1_000_000)
	q := testRequest("slow", "w", catalogue.Urgent)
	q.Moving, q.Spread, q.SlowFrom, q.Generated = true, true, "r000", 50
	q.Exclude = []string{"r000"}
	q.Deadline = start.Add(time.Second)
	g.Enqueue(start, q)
	g.Dispatch(start)
	g.Enqueue(start, testRequest("next", "w", catalogue.Urgent))
	for _, d := range g.Dispatch(start) {
		if d.Request.ID == "next" {
			return
		}
	}
	t.Error("not granted at once")
}

// Guards against a moving generation without room at its version that stops background work at the engines of others.
func TestMovingBoundRequestDoesNotStopBackground(t *testing.T) {
	g := groupWithAFullReplica(t, PolicyShared)
	q := requestWithout("moves", "w", "r001")
	q.Class, q.Moving, q.Spread, q.Generated = catalogue.Background, true, true, 50
	g.Enqueue(start, q)
	g.Dispatch(start)
	g.Enqueue(start, testRequest("background", "x", catalogue.Background))
	if d := g.Dispatch(start.Add(100 * time.Millisecond)); len(d) != 1 {
		t.Errorf("%d decisions", len(d))
	}
}

// Guards against work over its share that takes the replicas which are kept for a bypassed request of a higher rank: as many smaller
// requests may pass one that is bound as pass one where only its replica exists.
func TestLowerRanksLeaveKeptReplicas(t *testing.T) {
	for _, replicas := range []int{1, 2} {
		g := testGroup(Options{Policy: PolicyShared}, replicas, 8, 10_000)
		request := func(id, workspace string, prompt int, bound bool) Request {
			q := testRequest(id, workspace, catalogue.Urgent)
			q.PromptTokens, q.MaxOutputTokens, q.ExpectedOutputTokens = prompt, 100, 100
			if bound && replicas > 1 {
				q.Exclude = []string{"r001"}
			}
			return q
		}
		g.Enqueue(start, request("first", "w", 1000, true))
		g.Dispatch(start)
		g.Enqueue(start, request("large", "w", 9000, true))
		small, running := 0, []string{}
		for i := range 200 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			for j := range 2 {
				g.Enqueue(now, request(fmt.Sprint("s", i, "-", j), fmt.Sprint("x", j), 10, j == 1))
			}
			for _, d := range g.Dispatch(now) {
				if d.Refusal == nil && d.Grant.Backend == "r000" {
					small++
				}
				if d.Refusal == nil {
					running = append(running, d.Request.ID)
				}
			}
			for len(running) > 4 {
				g.Release(now, running[0], Outcome{Generated: 100, Completed: true})
				running = running[1:]
			}
		}
		if small > maxBypassed {
			t.Errorf("%d replicas: %d small ones on r000", replicas, small)
		}
	}
}
