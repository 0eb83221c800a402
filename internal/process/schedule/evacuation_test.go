package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/version/catalogue"
)

// Guards against a request that waits for the end of an equal one on an evacuated engine, which accepts none, and
// against equal requests on several other engines, of which each could crash.
func TestEqualRequestsDuringAnEvacuation(t *testing.T) {
	is := is.New(t)
	replicas := func(evacuated string) (out []Replica) {
		for _, name := range []string{"r0", "r1", "r2"} {
			gone := name == evacuated
			out = append(out, Replica{Name: name, MaxBatch: 8, KVCapacityTokens: 100_000, Accepting: !gone, Evacuated: gone})
		}
		return out
	}
	g := NewGroup(GroupKey{}, Options{})
	g.SetReplicas(start, replicas(""))
	place := func(id string) string {
		q := testRequest(id, "w", catalogue.Urgent)
		q.Fingerprint = 7
		g.Enqueue(start, q)
		decisions := g.Dispatch(start)
		if len(decisions) == 0 {
			return ""
		}
		return decisions[0].Grant.Backend
	}
	first := place("first")
	is.Equal(place("second"), first)
	g.SetReplicas(start, replicas(first))
	third := place("third")
	is.True(third != first && third != "")
	is.Equal(place("fourth"), third)
	g.Release(start, "first", Outcome{Completed: true})
	g.Release(start, "second", Outcome{Completed: true})
	is.Equal(place("fifth"), third)
	g.SetReplicas(start.Add(time.Second), replicas(""))
	is.Equal(place("sixth"), third)
}
