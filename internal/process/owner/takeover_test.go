package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/schedule"
)

// Guards against a runner that grants immediately after a pause because gateways had
// registered before the pause.
func TestRegistrationsCountForOneTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRunner(schedule.GroupKey{}, "a", nopGroup{}, func(*schedule.Request) crashguard.Verdict { return crashguard.Clear })
		all := []string{"a", "b"}
		r.readyAt = time.Now().Add(takeoverTimeout)
		is.True(!r.addRegistration("a", all))
		time.Sleep(takeoverTimeout)
		is.Equal(r.dispatch(time.Now()), maxDispatchDelay) // "b" did not register in time
		time.Sleep(2 * pauseThreshold)
		is.Equal(r.dispatch(time.Now()), takeoverTimeout)
		is.True(!r.addRegistration("b", all))
		is.True(r.addRegistration("a", all))
		is.Equal(r.dispatch(time.Now()), maxDispatchDelay)
	})
}
