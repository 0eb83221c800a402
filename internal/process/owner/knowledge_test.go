package owner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"persimmonwing/internal/process/owner"
	"persimmonwing/internal/process/registry"
	"persimmonwing/internal/process/schedule"
)

// countingGroup counts the replacements of its list of replicas.
type countingGroup struct {
	owner.Group
	replaced int
}

func (g *countingGroup) SetReplicas(now time.Time, r []schedule.Replica) {
	g.replaced++
	g.Group.SetReplicas(now, r)
}

// Guards against work that grows with the square of the engines that start together: the list of
// replicas was replaced once for each of them.
func TestEnginesThatStartTogetherAreOneChange(t *testing.T) {
	for name, start := range map[string]func(*registry.Registry, []registry.Server){
		"list":    func(r *registry.Registry, s []registry.Server) { r.Sync(time.Now(), s) },
		"changes": func(r *registry.Registry, s []registry.Server) { r.Change(time.Now(), s, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4)
				group := &countingGroup{}
				f.changeOptions = func(o owner.Options) owner.Options {
					newGroup := o.NewGroup
					o.NewGroup = func(k schedule.GroupKey) owner.Group {
						group.Group = newGroup(k)
						return group
					}
					return o
				}
				_, r := f.startShared("a")
				defer f.stop()
				time.Sleep(time.Second)
				r.Change(time.Now(), engineList("first"), nil)
				time.Sleep(time.Second) // the group exists
				before := group.replaced
				names := []string{"first"}
				for i := range 200 {
					names = append(names, fmt.Sprint("e", i))
				}
				start(r, engineList(names...))
				if n := group.replaced - before; n > 4 {
					t.Errorf("the replicas were replaced %d times for %d engines", n, len(names))
				}
			})
		})
	}
}
