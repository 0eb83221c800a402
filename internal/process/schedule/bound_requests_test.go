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
