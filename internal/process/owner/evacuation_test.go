package owner_test

import (
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/owner"
	"persimmonwing/internal/process/schedule"
)

// Guards against a grant in an evacuated data centre from an owner that doesn't know of the evacuation, also one
// that was requested before it, and against requests that wait although all engines are evacuated.
func TestNoGrantInAnEvacuatedDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, "e1", "e2")
		defer f.stop()
		f.pick = func(c []schedule.Summary, r schedule.Request, _ string) (schedule.GroupKey, bool) {
			return localFirst(c, r, "burnie")
		}
		f.remote["b"] = true
		f.list[1].DataCentre = "burnie"
		var burnie, hobart atomic.Bool // evacuated, in the view of a
		f.created = func(*gateway) {}
		f.sharedOptions = func(o owner.Options) owner.Options { return o }
		b := f.start("b") // owns the group of e2, and never knows
		f.sharedOptions = func(o owner.Options) owner.Options {
			o.Evacuated = func(d string) bool { return d == "burnie" && burnie.Load() || d == "hobart" && hobart.Load() }
			return o
		}
		a := f.start("a")
		time.Sleep(10 * time.Second)
		first, err := b.acquire("first", 0, time.Second)
		is.NoErr(err)
		is.Equal(first.Backend, "e2")
		waiting := make(chan schedule.Grant, 1)
		go func() {
			g, _ := a.acquire("waits", 0, time.Minute)
			waiting <- g
		}()
		time.Sleep(time.Second)
		burnie.Store(true)
		b.Release(first.ID, schedule.Outcome{})
		g := <-waiting
		is.Equal(g.Backend, "e1")
		a.Release(g.ID, schedule.Outcome{})
		time.Sleep(time.Second)
		g, err = a.acquire("later", 0, time.Second)
		is.NoErr(err)
		is.Equal(g.Backend, "e1")
		hobart.Store(true)
		began := time.Now()
		_, err = a.acquire("none", 0, time.Second)
		var refusal *schedule.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Reason, schedule.ReasonEvacuated)
		is.True(time.Since(began) < 100*time.Millisecond) // of virtual time
	})
}
