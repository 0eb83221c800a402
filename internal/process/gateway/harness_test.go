package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/connection/engine"
	"persimmonwing/internal/connection/platform/platformtest"
	"persimmonwing/internal/connection/service"
	"persimmonwing/internal/process/daemon"
	"persimmonwing/internal/process/limits"
	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/owner"
	"persimmonwing/internal/process/standin/app"
	standin "persimmonwing/internal/process/standin/engine"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/claim"
	"persimmonwing/internal/request/responseid"
)

// API keys of the two workspaces of a harness.
const (
	keyA = "key-of-workspace-a"
	keyB = "key-of-workspace-b"
)

// harness runs a gateway with its sockets, two engine stand-ins and two application
// server stand-ins in this process. At the end of the test it checks that the gateway
// stops and that no goroutine or grant is left.
type harness struct {
	t         *testing.T
	gateway   *Gateway
	scheduler *fakeScheduler
	catalogue *fakeCatalogue
	table     *platformtest.Table
	engines   []*standin.Engine
	servers   []*httptest.Server
	apps      []*app.Server
	backends  fakeBackends
	logs      *lockedBuffer
	metrics   *telemetry.Metrics
	client    *http.Client
	base      string
	admin     string
	address   string
	reads     *readCounter
	stop      context.CancelFunc
	ended     chan error
}

// lockedBuffer collects the log; it is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// readCounter is a listener that counts the bytes which the gateway reads from each
// connection.
type readCounter struct {
	*net.TCPListener
	conns sync.Map // of *countedConn, by the caller's address
}

type countedConn struct {
	*net.TCPConn
	read atomic.Int64
}

func (l *readCounter) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	counted := &countedConn{TCPConn: c}
	l.conns.Store(c.RemoteAddr().String(), counted)
	return counted, nil
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// from returns how many bytes the gateway has read from a caller's connection.
func (l *readCounter) from(c net.Conn) int64 {
	if counted, ok := l.conns.Load(c.LocalAddr().String()); ok {
		return counted.(*countedConn).read.Load()
	}
	return 0
}

// testOptions returns options with short timeouts, so that tests of timeouts are fast.
func testOptions() *Options {
	o := DefaultOptions()
	o.Name, o.DataCentre = "gateway-1", "dc-1"
	o.ResponseKeys = []responseid.Key{{ID: "k1", Secret: strings.Repeat("secret", 4)}}
	o.DrainDelay = 0
	o.IdleLinger = 0
	o.HTTP.BodyTimeout = 150 * time.Millisecond
	o.Relay = RelayOptions{StallTimeout: 100 * time.Millisecond, LostAfter: 150 * time.Millisecond, FirstContact: 300 * time.Millisecond, ReaderGrace: 50 * time.Millisecond}
	return o
}

func newHarness(t *testing.T, adjust func(*Options)) *harness {
	t.Helper()
	before := runtime.NumGoroutine()
	o := testOptions()
	if adjust != nil {
		adjust(o)
	}
	w := &harness{
		t:         t,
		scheduler: &fakeScheduler{held: map[string]bool{}},
		catalogue: &fakeCatalogue{},
		table:     &platformtest.Table{},
		logs:      &lockedBuffer{},
		metrics:   telemetry.New(),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}, Timeout: 10 * time.Second},
		ended:     make(chan error, 1),
	}
	w.catalogue.set(testCatalogue())
	for i := range 2 {
		w.startEngine(fmt.Sprintf("engine-%d", i+1), 2*time.Millisecond)
		w.startApp(i)
	}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	logger := logging.New(w.logs, logging.Options{Format: "logfmt", Level: "debug"}, "gateway")
	w.start(ctx, o, logger)
	t.Cleanup(func() { w.close(before) })
	return w
}

func (w *harness) start(ctx context.Context, o *Options, logger log.Logger) {
	transport, callTransport := engine.NewTransport(), engine.NewTransport()
	claims := claim.NewStore(w.table, claim.DefaultOptions())
	background, stopBackground := context.WithCancel(context.Background())
	g, err := New(o, Deps{
		Scheduler:  w.scheduler,
		Catalogue:  w.catalogue,
		Backends:   &w.backends,
		Engines:    engineClient{engine.New(&http.Client{Transport: transport})},
		Services:   service.New(&http.Client{Transport: callTransport}),
		CrashGuard: owner.New(owner.Options{View: lonelyView{}, Logger: logger}),
		Claims:     claims,
		Limits:     limits.New(),
		Metrics:    w.metrics,
		Logger:     logger,
	})
	w.noErr(err)
	listeners, err := daemon.Listen("127.0.0.1:0", "127.0.0.1:0")
	w.noErr(err)
	w.gateway = g
	w.reads = &readCounter{TCPListener: listeners[0].(*net.TCPListener)}
	w.address = listeners[0].Addr().String()
	w.base, w.admin = "http://"+w.address, "http://"+listeners[1].Addr().String()
	go func() { _ = claims.Run(background) }()
	go func() {
		err := g.Run(ctx, w.reads, listeners[1])
		stopBackground()
		transport.CloseIdleConnections()
		callTransport.CloseIdleConnections()
		w.ended <- err
	}()
}

// lonelyView is the view of a gateway that knows no other.
type lonelyView struct{ owner.View }

func (lonelyView) Self() membership.Host       { return membership.Host{Name: "gateway-1"} }
func (lonelyView) Live() []membership.Gateway  { return nil }
func (lonelyView) Known() []membership.Gateway { return nil }

func (w *harness) startEngine(name string, step time.Duration) {
	s := standin.DefaultSettings()
	s.Name = name
	s.Models = []string{"main"}
	s.StepBase, s.StepPerSequence, s.PrefillTokensPerSecond = step, 0, 1e9
	s.OrphanTimeout, s.MaxBatch = time.Second, 512
	e, err := standin.New(s, log.NewNopLogger())
	w.noErr(err)
	server := httptest.NewServer(e.Handler())
	e.OnCrash = func(int) { go server.CloseClientConnections() }
	e.Start()
	w.engines = append(w.engines, e)
	w.servers = append(w.servers, server)
	w.scheduler.add(s.Name, server.Listener.Addr().String())
}

func (w *harness) startApp(i int) {
	s := app.DefaultSettings()
	s.Name = []string{"app-1", "app-2"}[i]
	a := app.New(s)
	server := httptest.NewServer(a)
	w.apps = append(w.apps, a)
	w.servers = append(w.servers, server)
	w.backends = append(w.backends, membership.Backend{Name: s.Name, Address: server.Listener.Addr().String(), DataCentre: "dc-1", Service: "shop", Accepting: true})
}

// close stops everything and checks that no grant is held and that no more than the
// given number of goroutines is left.
func (w *harness) close(goroutines int) {
	w.stop()
	select {
	case err := <-w.ended:
		w.noErr(err)
	case <-time.After(5 * time.Second):
		w.t.Error("the gateway did not stop within 5 s")
	}
	if n := w.scheduler.heldCount(); n != 0 {
		w.t.Errorf("%d grants were not released", n)
	}
	w.client.CloseIdleConnections()
	for _, e := range w.engines {
		e.Close()
	}
	for _, s := range w.servers {
		s.CloseClientConnections()
		s.Close()
	}
	if !eventually(func() bool { return runtime.NumGoroutine() <= goroutines }) {
		stacks := make([]byte, 1<<16)
		w.t.Errorf("%d goroutines before, %d after:\n%s", goroutines, runtime.NumGoroutine(), stacks[:runtime.Stack(stacks, true)])
	}
}

// eventually waits up to 2 s for a condition and reports whether it was met.
func eventually(condition func() bool) bool {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// waitIdle waits up to 2 s until no request is in progress.
func (w *harness) waitIdle() {
	w.t.Helper()
	if !eventually(func() bool { return w.gateway.inProgress.Load() == 0 }) {
		w.t.Errorf("%d requests are still in progress", w.gateway.inProgress.Load())
	}
}

func (w *harness) noErr(err error) {
	w.t.Helper()
	is.New(w.t).NoErr(err)
}

// runs returns how often a request ran at all stand-ins together.
func (w *harness) runs(id string) int {
	w.t.Helper()
	n := 0
	for _, e := range w.engines {
		if runs, err := e.Runs(context.Background()); err == nil {
			n += runs[id]
		}
	}
	for _, a := range w.apps {
		n += a.Runs()[id]
	}
	return n
}
