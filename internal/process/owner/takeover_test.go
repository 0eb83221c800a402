package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/schedule"
)

// Guards against a runner that, woken after a pause, grants at once because
// gateways had registered before the pause.
func TestRegistrationsCountForOneTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRunner(schedule.GroupKey{}, "a", noGroup{}, func(uint64) crashguard.Verdict { return crashguard.Clear })
		all := []string{"a", "b"}
		r.readyAt = time.Now().Add(takeover)
		is.True(!r.registered("a", all))
		time.Sleep(takeover)
		is.Equal(r.dispatch(time.Now()), longWait) // "b" did not register in time
		time.Sleep(2 * frozenAfter)
		is.Equal(r.dispatch(time.Now()), takeover)
		is.True(!r.registered("b", all))
		is.True(r.registered("a", all))
		is.Equal(r.dispatch(time.Now()), longWait)
	})
}
