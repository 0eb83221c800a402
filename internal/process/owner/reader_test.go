package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/owner"
	"persimmonwing/internal/process/registry"
)

// Guards against gateways that all poll every engine: when all have just started and know no other one, and
// when engines are listed that only their readers have to poll.
func TestEnginesArePolledByTheirReadersOnly(t *testing.T) {
	const gateways, engines = 8, 6
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		defer f.stop()
		names := []string{"e1", "e2", "e3", "e4", "e5", "e6"}
		var registries []*registry.Registry
		list := func(n int) {
			for _, r := range registries {
				r.Sync(time.Now(), engineList(names[:n]...))
			}
		}
		f.changeOptions = func(o owner.Options) owner.Options {
			o.ExpectPeers = true
			return o
		}
		for i := range gateways {
			_, r := f.startShared(string(rune('a' + i)))
			registries = append(registries, r)
		}
		list(engines / 2)
		time.Sleep(5 * time.Second)
		// Readers poll twice a second. Half as many polls again are allowed while gateways get to know each other.
		is.True(f.engines.pollCount() <= engines/2*2*5*3/2)
		before := f.engines.pollCount()
		list(engines)
		time.Sleep(time.Second)
		is.True(f.engines.pollCount()-before <= engines*3)
	})
}
