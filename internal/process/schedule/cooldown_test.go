package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/version/catalogue"
)

// Guards against an engine that refuses all work immediately and is therefore the least
// loaded one and granted most of the requests, against a cool-down that never ends, and
// against a group that stops because all of its engines refuse work.
func TestRefusingReplicaCoolsDown(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 4, 8, 0)
	n := 0
	grant := func(now time.Time, refusing ...string) (backend string) {
		n++
		id := fmt.Sprint("q", n)
		g.Enqueue(now, testRequest(id, "w", catalogue.Urgent))
		d := g.Dispatch(now)
		is.Equal(len(d), 1)
		is.Equal(d[0].Refusal, nil)
		for _, name := range refusing {
			if d[0].Grant.Backend == name {
				g.Release(now, id, Outcome{NotRun: true, Refused: true})
			}
		}
		return d[0].Grant.Backend
	}
	refused := 0
	for range 12 {
		if grant(start, "r000") == "r000" {
			refused++
		}
	}
	is.Equal(refused, refusalsBeforeCooldown)
	later := start.Add(cooldownPeriod)
	is.Equal(grant(later, "r000"), "r000") // tried again after its cool-down
	is.True(grant(later, "r000") != "r000")

	all := []string{"r000", "r001", "r002", "r003"}
	for range 40 {
		grant(later.Add(cooldownPeriod), all...)
	}
	is.Equal(len(g.coolingDown), 2)
	is.Equal(len(g.available), 2)
}
