package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/connection/service"
	"persimmonwing/internal/process/adminapi"
	"persimmonwing/internal/process/health"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/owner"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
)

// fetchJSON decodes the response of an admin URL.
func fetchJSON[T any](t *testing.T, url string) T {
	t.Helper()
	is := is.New(t)
	resp, err := http.Get(url)
	is.NoErr(err)
	defer resp.Body.Close()
	var v T
	is.NoErr(json.NewDecoder(resp.Body).Decode(&v))
	return v
}

// fixedHosts is a host list that never changes.
type fixedHosts []platform.Host

func (f fixedHosts) Hosts(context.Context) ([]platform.Host, error) { return f, nil }

// Guards against a reason that misleads the operator, such as "unreachable" for a
// server that was removed from the host list.
func TestBackendReasons(t *testing.T) {
	is := is.New(t)
	p := &process{hostObserver: newHostObserver(fixedHosts{{Name: "in"}, {Name: "out", State: platform.HostLeaving}}, nil)}
	is.True(!p.hostObserver.leaving("gone")) // before the list was read
	_, err := p.hostObserver.Hosts(t.Context())
	is.NoErr(err)
	down := owner.EngineState{Polled: true, Owned: true, Unreachable: true}
	for _, c := range []struct {
		name      string
		accepting bool
		state     owner.EngineState
		want      adminapi.Reason
	}{
		{"in", true, owner.EngineState{}, ""},
		{"in", true, owner.EngineState{Owned: true}, adminapi.ReasonStarting},
		{"in", true, owner.EngineState{Owned: true, Polled: true, Replica: schedule.ReplicaState{Resting: true}}, adminapi.ReasonResting},
		{"in", false, owner.EngineState{Owned: true, Polled: true, Report: api.LoadReport{Draining: true}}, adminapi.ReasonDraining},
		{"in", true, owner.EngineState{Polled: true, Report: api.LoadReport{Draining: true}}, ""}, // an old report
		{"in", false, owner.EngineState{}, adminapi.ReasonReported},
		{"in", true, down, adminapi.ReasonUnreachable},
		{"out", false, down, adminapi.ReasonLeaving},
		{"gone", false, down, adminapi.ReasonLeaving},
		{"drained", false, down, adminapi.ReasonDraining},
	} {
		got := p.engineReason(membership.Backend{Name: c.name, Accepting: c.accepting}, c.state, []string{"drained"})
		if got != c.want {
			t.Errorf("%s, accepting %v, %+v: reason %q, want %q", c.name, c.accepting, c.state, got, c.want)
		}
	}
}

// Guards against failing or draining probes of an application server that are reported
// with another reason, and against probes that are kept for removed hosts.
func TestProbeReasons(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, nil)
	b := w.backends[0]
	o := newHostObserver(fixedHosts{{Name: "other"}}, prober{service.New(w.client)})
	_, err := o.Ready(t.Context(), b)
	is.NoErr(err)
	is.Equal(o.lastProbe(b.Name), adminapi.Reason(""))
	b.Address = closedAddress(t)
	_, err = o.Ready(t.Context(), b)
	is.True(err != nil)
	is.Equal(o.lastProbe(b.Name), adminapi.ReasonUnreachable)
	_, err = o.Hosts(t.Context())
	is.NoErr(err)
	is.Equal(len(o.probes), 0)
}

// Guards against an ejected application server that is listed as accepting.
func TestEjectedServerIsNotAccepting(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, nil)
	w.gateway.backendSource = func() []adminapi.Backend {
		return []adminapi.Backend{{Name: "app-1", Service: "shop", Accepting: true}, {Name: "app-2", Service: "shop", Accepting: true}}
	}
	for range health.DefaultOptions().FailuresToEject {
		_, done, ok := w.gateway.serviceSets.get("shop").Pick(time.Now(), w.backends, []string{"app-2"}, nil)
		is.True(ok)
		done(time.Now(), health.Failure)
	}
	list := fetchJSON[[]adminapi.Backend](t, w.admin+"/backends")
	is.Equal(list[0].Reason, adminapi.ReasonEjected)
	is.True(!list[0].Accepting)
	is.True(list[1].Accepting)
}

// Guards against usage that is attributed to another workspace, is missing from the
// response or remains after the request has ended.
func TestUsage(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, nil)
	stream := w.open(w.create("plan", "#id=x #tokens=4000", true))
	_, ok := stream.next()
	is.True(ok)
	list := fetchJSON[[]adminapi.Usage](t, w.admin+"/usage")
	is.Equal(len(list), 2)
	is.Equal(list[0].Workspace, "a")
	is.Equal(list[0].Concurrent, 1)
	is.Equal(list[1], adminapi.Usage{Workspace: "b"})
	_ = stream.resp.Body.Close()
	w.waitIdle()
	is.Equal(fetchJSON[[]adminapi.Usage](t, w.admin+"/usage")[0].Concurrent, 0)
}
