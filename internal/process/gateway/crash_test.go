package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/membership"
)

// Guards against a call that crashes one application server after the other as its caller repeats it,
// with a new idempotency key or without one, also if it is given up before, and against refusing other calls.
func TestCallThatCrashesServersIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		entry string
		// crashes is the time after which the call crashes its server, and timeout that of the caller.
		crashes, timeout, pause time.Duration
		calls, most             int
	}{
		"stock":             {"stock", 0, 0, 0, 8, 2},
		"booking":           {"booking", 0, 0, 0, 8, 2},
		"stock, given up":   {"stock", 200 * time.Millisecond, 100 * time.Millisecond, 800 * time.Millisecond, 5, 3},
		"booking, given up": {"booking", 200 * time.Millisecond, 100 * time.Millisecond, 800 * time.Millisecond, 5, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, nil)
			var crashes atomic.Int64
			var ended sync.Map // addresses
			w.backends = nil
			for i := range 6 {
				var server *httptest.Server
				server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
					if strings.HasSuffix(r.URL.Path, "/deadly") {
						time.Sleep(c.crashes)
						crashes.Add(1)
						ended.Store(server.Listener.Addr().String(), true)
						_ = server.Config.Close()
						panic(http.ErrAbortHandler)
					}
				}))
				t.Cleanup(server.Close)
				w.backends = append(w.backends, membership.Backend{Name: fmt.Sprint("app-", i), Address: server.Listener.Addr().String(), DataCentre: "dc-1", Service: "shop", Accepting: true})
			}
			call := func(path, id string) response {
				r := w.request("POST", "/v1/services/"+c.entry+"/"+path, keyA, "x")
				r.Header.Set("Idempotency-Key", id)
				if c.timeout > 0 && path == "deadly" {
					r.Header.Set(headerRequestTimeout, c.timeout.String())
				}
				return w.send(r)
			}
			refused := 0
			for i := range c.calls {
				if a := call("deadly", fmt.Sprint("d", i)); a.status == http.StatusUnprocessableEntity {
					is.Equal(a.err.Code, "request_crashes_servers")
					refused++
				}
				time.Sleep(c.pause)
			}
			is.True(int(crashes.Load()) <= c.most)
			is.True(refused >= c.calls-c.most)
			w.backends = slices.DeleteFunc(w.backends, func(b membership.Backend) bool {
				_, gone := ended.Load(b.Address)
				return gone
			})
			is.Equal(call("sound", "s").status, http.StatusOK)
		})
	}
}

// Guards against generations that are forgotten when their callers leave, or their deadline passes, before the
// engine that they crash ends.
func TestGivenUpGenerationsAreReported(t *testing.T) {
	for name, body := range map[string]string{"stream": createBody("plan", `,"stream":true`), "whole": createBody("plan", "")} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, nil)
			release := make(chan struct{})
			w.replaceEngine(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				<-release
			})
			defer close(release)
			r := w.request("POST", "/v1/responses", keyA, body)
			r.Header.Set(headerRequestTimeout, "100ms")
			_ = w.send(r)
			is.True(eventually(func() bool {
				w.scheduler.mu.Lock()
				defer w.scheduler.mu.Unlock()
				return len(w.scheduler.givenUp) == 1
			}))
			is.Equal(len(w.scheduler.held), 0)
		})
	}
}
