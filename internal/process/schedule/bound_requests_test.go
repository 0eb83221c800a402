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
func TestBoundRequestsHoldUpNoOthers(t *testing.T) {
	for _, policy := range []Policy{PolicyShared, PolicyOwner} {
		for name, workspace := range map[string]string{"same workspace": "w", "another workspace": "x"} {
			t.Run(fmt.Sprint(policy, "/", name), func(t *testing.T) {
				is := is.New(t)
				const batch = 8
				g := testGroup(Options{Policy: policy}, 2, batch, 1_000_000)
				bound := func(id, workspace, to, other string) Request {
					q := testRequest(id, workspace, catalogue.Urgent)
					q.Bound, q.Exclude = to, []string{other}
					return q
				}
				for i := range batch {
					g.Enqueue(start, bound(fmt.Sprint("full-", i), "w", "v1", "r001"))
				}
				is.Equal(len(g.Dispatch(start)), batch)
				g.Enqueue(start, bound("waits", "w", "v1", "r001"))
				is.Equal(len(g.Dispatch(start)), 0)
				for i := range maxBypassed + 2 {
					q := testRequest(fmt.Sprint("new-", i), workspace, catalogue.Urgent)
					if i%2 == 0 {
						q = bound(fmt.Sprint("goes-on-", i), workspace, "v2", "r000")
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
func TestBypassedBoundRequestKeepsOnlyItsReplicas(t *testing.T) {
	for _, policy := range []Policy{PolicyShared, PolicyOwner} {
		t.Run(string(policy), func(t *testing.T) {
			is := is.New(t)
			g := testGroup(Options{Policy: policy}, 2, 8, 10_000)
			enqueue := func(id, workspace string, prompt int, exclude string) []Decision {
				q := testRequest(id, workspace, catalogue.Urgent)
				q.PromptTokens, q.MaxOutputTokens, q.ExpectedOutputTokens = prompt, 100, 100
				if exclude != "" {
					q.Bound, q.Exclude = "without "+exclude, []string{exclude}
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
