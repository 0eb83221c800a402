package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	platformclient "persimmonwing/internal/connection/platform"
	"persimmonwing/internal/process/ports"
	"persimmonwing/internal/process/standin/app"
	"persimmonwing/internal/process/standin/engine"
	"persimmonwing/internal/process/standin/platform"
	"persimmonwing/internal/version/revision"
)

// objectsPath is the path of the object store on the platform stand-in.
const objectsPath = "/objects"

// Timeouts of control calls and of stopping.
const (
	controlTimeout = 5 * time.Second
	// stopTimeout limits the wait for gateways to finish their requests.
	stopTimeout = 5 * time.Second
)

// Fleet is a running fleet of gateways and stand-ins.
type Fleet struct {
	opts           Options
	engines        []*engineHost
	apps           []*app.Server
	appServers     []*server
	platform       *platform.Server
	platformServer *server
	gateways       []*gatewayHost
	ports          *ports.Reservation
	http           *http.Client
	background     sync.WaitGroup
	stopBackground context.CancelFunc
}

// Start starts a fleet and returns when all gateways are ready.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	background, stop := context.WithCancel(context.Background())
	f := &Fleet{opts: o, stopBackground: stop, http: &http.Client{Timeout: controlTimeout}}
	if err := f.start(ctx, background); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx, background context.Context) error {
	for i := range f.opts.Engines {
		if err := f.startEngine(i); err != nil {
			return err
		}
	}
	for i := range f.opts.Apps {
		if err := f.startApp(i); err != nil {
			return err
		}
	}
	if err := f.startPlatform(); err != nil {
		return err
	}
	if err := f.putCatalogue(ctx); err != nil {
		return err
	}
	f.background.Go(func() { f.sampleEngines(background) })
	if err := f.startGateways(); err != nil {
		return err
	}
	return f.waitReady(ctx)
}

func (f *Fleet) startApp(i int) error {
	s := app.DefaultSettings()
	s.Name = fmt.Sprintf("app-%d", i+1)
	s.Service = ServiceName
	s.DataCentre = f.opts.dataCentre(i)
	s.Delay = f.opts.AppDelay
	a := app.New(s)
	srv, err := startServer(a)
	if err != nil {
		return err
	}
	f.apps = append(f.apps, a)
	f.appServers = append(f.appServers, srv)
	return nil
}

func (f *Fleet) startPlatform() error {
	s := platform.DefaultSettings()
	s.HostListLag = f.opts.HostListLag
	for i, h := range f.engines {
		s.Hosts = append(s.Hosts, platform.Host{Name: h.name, Kind: "engine", Address: h.server.address, DataCentre: f.opts.dataCentre(i)})
	}
	for i, srv := range f.appServers {
		s.Hosts = append(s.Hosts, platform.Host{Name: fmt.Sprintf("app-%d", i+1), Kind: "app", Address: srv.address, DataCentre: f.opts.dataCentre(i), Service: ServiceName})
	}
	if err := s.Validate(); err != nil {
		return err
	}
	f.platform = platform.New(s)
	var err error
	f.platformServer, err = startServer(f.platform)
	return err
}

// putCatalogue stores Options.Catalogue as the first revision.
func (f *Fleet) putCatalogue(ctx context.Context) error {
	base := "http://" + f.platformServer.address
	table := platformclient.NewTable(base, f.http, controlTimeout)
	objects := platformclient.NewObjects(base+objectsPath, f.http, controlTimeout)
	_, err := revision.NewEditor(table, objects).Apply(ctx, 0, f.opts.Catalogue, "fleet", "first revision")
	return err
}

// Targets returns the base URLs of the gateways for callers.
func (f *Fleet) Targets() []string {
	var out []string
	for _, h := range f.gateways {
		out = append(out, "http://"+h.target)
	}
	return out
}

// AdminTargets returns the base URLs of the gateways' admin interfaces.
func (f *Fleet) AdminTargets() []string {
	var out []string
	for _, h := range f.gateways {
		out = append(out, "http://"+h.opts.AdminListen)
	}
	return out
}

// KillEngine stops an engine, aborts its connections and closes its listener.
func (f *Fleet) KillEngine(ctx context.Context, i int) { f.engines[i].kill(ctx) }

// SetEngineFaults replaces the injected faults of an engine.
func (f *Fleet) SetEngineFaults(i int, faults engine.Faults) { f.engines[i].engine.SetFaults(faults) }

// SetAppFaults replaces the injected faults of an application server.
func (f *Fleet) SetAppFaults(i int, faults app.Faults) { f.apps[i].SetFaults(faults) }

// SetPlatformFaults replaces the injected faults of the platform.
func (f *Fleet) SetPlatformFaults(faults platform.Faults) { f.platform.SetFaults(faults) }

// EngineName returns the host name of an engine.
func (f *Fleet) EngineName(i int) string { return f.engines[i].name }

// CallRuns returns how often each service call was run, summed over all
// application servers.
func (f *Fleet) CallRuns() map[string]int {
	sum := map[string]int{}
	for _, a := range f.apps {
		for id, n := range a.Runs() {
			sum[id] += n
		}
	}
	return sum
}

// MarkLeaving sets the state of a host to leaving in the host list.
func (f *Fleet) MarkLeaving(ctx context.Context, host string) error {
	url := "http://" + f.platformServer.address + "/control/hosts/" + host + "/state"
	return f.call(ctx, http.MethodPut, url, map[string]string{"state": "leaving"}, nil)
}

// StopGateway starts a graceful shutdown of a gateway and returns a channel that
// is closed when the gateway has ended.
func (f *Fleet) StopGateway(i int) <-chan struct{} {
	f.gateways[i].stop()
	return f.gateways[i].ended
}

// KillGateway makes a gateway unreachable for callers at once and aborts its
// streams. It requires Options.Forwarders. The gateway's connections to peers and
// engines are closed by a graceful shutdown, because gateway.Main owns them.
func (f *Fleet) KillGateway(i int) error {
	h := f.gateways[i]
	if h.forward == nil {
		return fmt.Errorf("cannot kill gateway %s: Options.Forwarders is not set", h.opts.Name)
	}
	h.forward.kill()
	h.stop()
	return nil
}

// Stop stops the whole fleet. Requests in progress are aborted.
func (f *Fleet) Stop() {
	for _, h := range f.gateways {
		h.stop()
	}
	for _, h := range f.engines {
		h.kill(context.Background())
	}
	for _, s := range f.appServers {
		s.close()
	}
	deadline := time.After(stopTimeout)
	for _, h := range f.gateways {
		select {
		case <-h.ended:
		case <-deadline:
		}
		if h.forward != nil {
			h.forward.kill()
		}
	}
	if f.platformServer != nil {
		f.platformServer.close()
	}
	if f.ports != nil {
		_ = f.ports.Release() // these listeners accept nothing, so closing them loses nothing
	}
	f.stopBackground()
	f.background.Wait()
	f.http.CloseIdleConnections()
}

// call makes a JSON call to a stand-in or to a gateway's admin interface.
func (f *Fleet) call(ctx context.Context, method, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: status %d", method, url, resp.StatusCode)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
