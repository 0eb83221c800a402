package owner_test

import (
	"errors"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/owner"
	"persimmonwing/internal/process/schedule"
)

// Guards against a grant in an evacuated data centre from an owner that doesn't know of the evacuation, and
// against requests that wait although all engines are evacuated.
func TestNoGrantInAnEvacuatedDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 100, "e1", "e2")
		defer f.stop()
		f.pick = localFirst
		f.remote["b"] = true
		f.list[1].DataCentre = "burnie"
		var evacuated [2]atomic.Bool // hobart and burnie, in the view of a
		know := func(dataCentre string) bool {
			return dataCentre == "hobart" && evacuated[0].Load() || dataCentre == "burnie" && evacuated[1].Load()
		}
		f.created = func(*gateway) {}
		f.sharedOptions = func(o owner.Options) owner.Options { return o }
		f.start("b") // never knows
		f.sharedOptions = func(o owner.Options) owner.Options { o.Evacuated = know; return o }
		a := f.start("a")
		time.Sleep(10 * time.Second)
		grant, err := a.acquire("before", 0, 3*time.Second)
		is.NoErr(err)
		is.Equal(grant.Backend, "e1")
		evacuated[0].Store(true)
		for i := range 5 {
			grant, err = a.acquire("local"+strconv.Itoa(i), 0, 3*time.Second)
			is.NoErr(err)
			is.Equal(grant.Backend, "e2")
		}
		evacuated[1].Store(true)
		began := time.Now()
		_, err = a.acquire("none", 0, 3*time.Second)
		var refusal *schedule.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Reason, schedule.ReasonEvacuated)
		is.True(refusal.RetryAfter >= time.Second)
		is.True(time.Since(began) < 100*time.Millisecond)
	})
}

// Guards against a grant that was requested before the evacuation began and arrives after it.
func TestEvacuationDuringARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, "e1", "e2")
		defer f.stop()
		f.pick = func(c []schedule.Summary, r schedule.Request, _ string) (schedule.GroupKey, bool) {
			return localFirst(c, r, "burnie")
		}
		f.remote["b"] = true
		f.list[1].DataCentre = "burnie"
		var evacuated atomic.Bool
		f.created = func(*gateway) {}
		f.sharedOptions = func(o owner.Options) owner.Options { return o }
		b := f.start("b") // owns the group of e2, and never knows
		f.sharedOptions = func(o owner.Options) owner.Options {
			o.Evacuated = func(d string) bool { return d == "burnie" && evacuated.Load() }
			return o
		}
		a := f.start("a")
		time.Sleep(10 * time.Second)
		remote, err := b.acquire("remote", 0, time.Second)
		is.NoErr(err)
		is.Equal(remote.Backend, "e2")
		type result struct {
			grant schedule.Grant
			err   error
		}
		results := make(chan result, 1)
		go func() {
			g, err := a.acquire("waits", 0, time.Minute)
			results <- result{g, err}
		}()
		time.Sleep(time.Second)
		evacuated.Store(true)
		b.Release(remote.ID, schedule.Outcome{})
		r := <-results
		is.NoErr(r.err)
		is.Equal(r.grant.Backend, "e1")
	})
}
