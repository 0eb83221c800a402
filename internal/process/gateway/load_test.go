package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/balance"
	"persimmonwing/internal/request/api"
)

// Guards against calls that go on to a replica which has stated that it is full, with or without a data centre of its
// own, and against a statement that is passed on to the caller.
func TestCallsAvoidAFullReplica(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, nil)
	loads := w.gateway.serviceSets.loadsOf("shop")
	loads.Learn(time.Now(), "app-1", noIncarnation, balance.Statement{Running: 6, Waiting: 20, Slots: 6, Slowdown: 1})
	loads.Learn(time.Now(), "app-2", noIncarnation, balance.Statement{Slots: 6, Slowdown: 1})
	for range 20 {
		a := w.send(w.service(http.MethodPost, "stock", "x"))
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.header.Get(api.HeaderServerLoad), "")
	}
	is.True(w.apps[0].Runs()["x"] <= 2)
}
