package app

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/process/settings"
	"persimmonwing/internal/process/standin/serve"
)

// Guards against a shutdown that aborts a call in progress.
func TestShutdownFinishesCalls(t *testing.T) {
	is := is.New(t)
	s := DefaultSettings()
	s.Delay, s.DrainNotice = 100*time.Millisecond, 0
	srv := New(s)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- serve.Serve(ctx, log.NewNopLogger(), ln, srv, srv.Drain) }()
	go func() {
		for len(srv.Runs()) == 0 {
			time.Sleep(time.Millisecond)
		}
		stop()
	}()
	resp, err := http.Post("http://"+ln.Addr().String()+"/orders/7?x=1", "", strings.NewReader("b"))
	is.NoErr(err)
	defer resp.Body.Close()
	var a Answer
	is.NoErr(json.NewDecoder(resp.Body).Decode(&a))
	is.Equal(a, Answer{Server: "app-1", Runs: 1, Path: "/orders/7"})
	is.NoErr(<-stopped)
}

// Guards against a frozen server that drops blocked calls. A paused process runs
// them when it continues, even if the client has disconnected.
func TestFrozenCallRunsLate(t *testing.T) {
	is := is.New(t)
	srv := New(DefaultSettings())
	srv.SetFaults(Faults{Freeze: true})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	// The client disconnects 20 ms after the server has received its call, also on
	// a slow machine.
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.AfterFunc(20*time.Millisecond, cancel)
		srv.ServeHTTP(w, r)
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = h.Serve(ln) }()
	defer h.Close()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ln.Addr().String()+"/", nil)
	is.NoErr(err)
	req.Header.Set(HeaderCallID, "c")
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		resp.Body.Close()
	}
	is.True(err != nil)
	is.Equal(srv.Runs()["c"], 0)
	srv.SetFaults(Faults{})
	for range 200 {
		if srv.Runs()["c"] == 1 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the blocked call did not run after the freeze ended")
}

// Guards against errors of settings that lack the key, the value or the range,
// and against unknown keys that are accepted.
func TestSettingsErrors(t *testing.T) {
	is := is.New(t)
	err := settings.Parse([]byte("delay: 2h\nmax_concurrent: -1\n"), "test", DefaultSettings())
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "delay: 2h0m0s is out of range; allowed are 0s to 1m0s"))
	is.True(strings.Contains(err.Error(), "max_concurrent: -1 is out of range"))
	is.True(settings.Parse([]byte("colour: red\n"), "test", DefaultSettings()) != nil)
}
