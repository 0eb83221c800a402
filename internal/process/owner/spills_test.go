package owner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/version/catalogue"
)

// Guards against an urgent request that waits in a full data centre while another has
// room, against a ticket that the request leaves behind in the full one, and against
// spilling when no group has room.
func TestBusyGroupSpills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, "near")
		f.list = append(f.list, platform.Host{Name: "far", Kind: platform.KindEngine, Address: "far", DataCentre: "burnie", State: platform.HostLive})
		f.pick = localFirst
		f.remote["b"] = true
		a := f.start("a")
		f.start("b")
		defer f.stop()
		time.Sleep(10 * time.Second)
		acquire := func(id string, class catalogue.Class, timeout time.Duration) (schedule.Grant, error) {
			r := schedule.Request{ID: id, Model: "m", Class: class, Deadline: time.Now().Add(timeout)}
			return a.Acquire(context.Background(), r)
		}

		first, err := acquire("1", catalogue.Urgent, time.Second)
		is.NoErr(err)
		is.Equal(first.Backend, "near")
		_, err = acquire("2", catalogue.Background, time.Second)
		is.True(err != nil) // background work waits in its data centre
		began := time.Now()
		second, err := acquire("3", catalogue.Urgent, time.Second)
		is.NoErr(err)
		is.Equal(second.Backend, "far")
		is.True(time.Since(began) < 2*schedule.SpillAfter)

		time.Sleep(3 * time.Second)
		_, err = acquire("4", catalogue.Urgent, time.Second)
		is.True(err != nil) // both are full
		a.Release(first.ID, schedule.Outcome{Completed: true})
		time.Sleep(time.Second)
		last, err := acquire("5", catalogue.Urgent, time.Second)
		is.NoErr(err)
		is.Equal(last.Backend, "near") // "3" left no ticket that took the slot
	})
}
