package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/connection/engine"
	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/process/settings"
	standinengine "persimmonwing/internal/process/standin/engine"
	standinplatform "persimmonwing/internal/process/standin/platform"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
	"persimmonwing/internal/version/revision"
)

// fleet consists of a platform stand-in and four engine stand-ins, of which two honour
// fencing numbers.
type fleet struct {
	*is.I
	t       *testing.T
	url     string
	client  *engine.Client
	engines map[string]string
	editor  *revision.Editor
	number  int64
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{I: is.New(t), t: t, client: engine.New(http.DefaultClient), engines: map[string]string{}}
	p := standinplatform.DefaultSettings()
	for i := range 4 {
		s := standinengine.DefaultSettings()
		s.Name, s.TimeScale, s.HonourFencing = fmt.Sprint("e", i), 0.02, i < 2
		e, err := standinengine.New(s, log.NewNopLogger())
		f.NoErr(err)
		e.Start()
		t.Cleanup(e.Close)
		server := httptest.NewServer(e.Handler())
		t.Cleanup(server.Close)
		address := server.Listener.Addr().String()
		f.engines[s.Name] = address
		p.Hosts = append(p.Hosts, standinplatform.Host{Name: s.Name, Kind: "engine", Address: address, DataCentre: "wa-south", State: "live"})
	}
	server := httptest.NewServer(standinplatform.New(p))
	t.Cleanup(server.Close)
	f.url = server.URL
	f.editor = revision.NewEditor(platform.NewTable(f.url, http.DefaultClient, time.Second),
		platform.NewObjects(f.url+"/objects", http.DefaultClient, time.Second))
	return f
}

func (f *fleet) edit(c catalogue.Catalogue) {
	c.Models = append(c.Models, catalogue.Model{Name: "large", Replicas: 2, Adapters: []string{"letters"}}, catalogue.Model{Name: "small", Replicas: 1})
	c.Workspaces = []catalogue.Workspace{{Name: "one", KeyDigests: []string{catalogue.Digest([]byte("key"))}}}
	c.Entries = []catalogue.Entry{{Name: "guide", Owner: "ann", Kind: catalogue.Generation, Class: catalogue.Urgent, Model: "large", MaxOutputTokens: 10, Timeout: time.Minute}}
	body, err := catalogue.Encode(&c)
	f.NoErr(err)
	_, err = f.editor.Apply(f.t.Context(), f.number, body, "ann", "test")
	f.NoErr(err)
	f.number++
}

// start runs a controller on loopback and returns the URL of its admin server. stop
// stops the controller as SIGTERM does.
func (f *fleet) start(name string) (admin string, stop func() error) {
	o := DefaultOptions()
	o.Name, o.DataCentre = name, "wa-south"
	o.Platform.TableURL, o.Platform.ObjectURL, o.Platform.HostsURL = f.url, f.url+"/objects", f.url
	o.Reconcile.Interval, o.Reconcile.CallTimeout = 200*time.Millisecond, 50*time.Millisecond
	o.WeightsPerSecond, o.HonourFencing = 20, []string{"e0", "e1"}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.NoErr(err)
	o.AdminListen = listener.Addr().String()
	f.NoErr(o.Validate())
	f.NoErr(listener.Close())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Main(ctx, o, log.NewNopLogger()) }()
	stopped := false
	stop = func() error {
		if stopped {
			return nil
		}
		stopped = true
		cancel()
		return <-ended
	}
	f.t.Cleanup(func() { _ = stop() })
	return "http://" + o.AdminListen, stop
}

func get(url string) (status int, body Status) {
	r, err := http.Get(url)
	if err != nil {
		return 0, body
	}
	defer r.Body.Close()
	_ = json.NewDecoder(r.Body).Decode(&body)
	return r.StatusCode, body
}

// states returns the order states of all engines.
func (f *fleet) states() map[string]api.OrderState {
	states := map[string]api.OrderState{}
	for name, address := range f.engines {
		s, err := f.client.OrderState(f.t.Context(), name, address)
		f.NoErr(err)
		states[name] = s
	}
	return states
}

// serving counts the engines that have loaded a model and accept new work.
func (f *fleet) serving(model string) (n int) {
	for _, s := range f.states() {
		if slices.Contains(s.Loaded, model) && !s.Goal.Drain {
			n++
		}
	}
	return n
}

// eventually waits until ok returns true. Its limit of 20 s allows for a busy machine;
// usually far less is needed.
func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("condition not met within 20 s: %s; engines %+v", what, f.states())
		}
	}
}

// Guards against components that don't work together: engines that never load their
// models or keep a stale order, a drain that doesn't reach its engine, and a
// controller that stops without releasing its lease.
func TestControllersOnStandIns(t *testing.T) {
	f := newFleet(t)
	first, stopFirst := f.start("first")
	f.eventually("lease taken", func() bool { _, s := get(first + "/status"); return s.Active && s.Fencing == 1 })
	status, _ := get(first + "/readyz")
	f.Equal(status, http.StatusServiceUnavailable) // no catalogue yet
	second, _ := f.start("second")
	f.edit(catalogue.Catalogue{})
	planned := func() bool { return f.serving("large") == 2 && f.serving("small") == 1 }
	f.eventually("engines reach their goal", planned)
	f.eventually("status shows it", func() bool {
		_, s := get(first + "/status")
		return s.Revision == 1 && s.Orders.Engines == 4 && s.Orders.Differing == 0
	})
	status, _ = get(first + "/readyz")
	f.Equal(status, http.StatusOK)
	status, _ = get(first + "/metrics")
	f.Equal(status, http.StatusOK)

	f.NoErr(stopFirst())
	f.eventually("second takes over", func() bool { _, s := get(second + "/status"); return s.Active && s.Fencing == 2 })
	f.eventually("fencing is raised", func() bool {
		for name, s := range f.states() {
			if honours := name < "e2"; honours && len(s.Goal.Models) > 0 && s.HighestFencing != 2 {
				return false
			}
		}
		return planned()
	})

	stale := api.Order{Fencing: 1, Goal: api.Goal{Models: []string{"other"}}}
	for name, address := range f.engines {
		_, err := f.client.Order(t.Context(), name, address, stale)
		f.Equal(err != nil, f.states()[name].HighestFencing == 2)
	}
	f.eventually("stale orders are corrected", planned)

	var drained string
	for name, s := range f.states() {
		if slices.Contains(s.Loaded, "small") {
			drained = name
		}
	}
	f.edit(catalogue.Catalogue{Draining: []string{drained}})
	f.eventually("drained and replaced", func() bool { return f.states()[drained].Goal.Drain && planned() })
}

// Guards against accepting settings that can't work, and against messages that don't
// name the key.
func TestValidateNamesEveryBadValue(t *testing.T) {
	is := is.New(t)
	err := settings.Parse([]byte("reconcile: {interval: 1s, call_timeout: 1s, concurrency: 0}\nmax_loads: 0\nweights_per_second: -1\nadmin_listen: localhost:1\n"), "test", DefaultOptions())
	for _, key := range []string{"name", "data_centre", "admin_listen", "platform.table_url", "platform.object_url", "platform.hosts_url",
		"reconcile.call_timeout", "reconcile.concurrency", "max_loads", "weights_per_second"} {
		is.True(strings.Contains(err.Error(), key+": "))
	}
}
