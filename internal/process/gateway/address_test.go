package gateway

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/request/claim"
)

// unresponsiveAddress returns a loopback address that accepts connections and never
// responds.
func unresponsiveAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

func createPlan(w *harness) *http.Request { return w.create("plan", "#id=x #tokens=2", false) }

func callEntry(entry string) func(*harness) *http.Request {
	return func(w *harness) *http.Request { return w.service("POST", entry, "x") }
}

// Guards against an error body that reveals the address of a backend server or of the
// platform to a caller, and against a log line that does not contain the address.
func TestErrorsShowNoAddress(t *testing.T) {
	for _, c := range []struct {
		name    string
		address func(*testing.T) string
		request func(*harness) *http.Request
		step    string
		reason  string
		logged  bool
	}{
		{"engine refused", closedAddress, createPlan, "dispatch at engine-1: ", "connection refused", true},
		{"engine silent", unresponsiveAddress, createPlan, "dispatch at engine-1: ", "timed out", true},
		{"application refused", closedAddress, callEntry("stock"), "dispatch at app-1: ", "connection refused", true},
		{"application silent", unresponsiveAddress, callEntry("stock"), "dispatch at app-1: ", "timed out", false}, // the log line does not contain the URL
		{"platform refused", closedAddress, callEntry("booking"), "claim at table: table.", "connection refused", true},
		{"platform silent", unresponsiveAddress, callEntry("booking"), "claim at table: table.", "timed out", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, func(o *Options) { o.MaxAttempts = 1 })
			address := c.address(t)
			w.scheduler.replicas[0].Address = address
			w.backends[0].Address = address
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			claims := claim.NewStore(platform.NewTable("http://"+address, client, 100*time.Millisecond), claim.DefaultOptions())
			go func() { _ = claims.Run(ctx) }()
			w.gateway.claims = claims
			r := c.request(w)
			r.Header.Set(headerRequestTimeout, "1s")
			a := w.send(r)
			if !strings.HasPrefix(a.err.Message, c.step) || !strings.HasSuffix(a.err.Message, ": "+c.reason) {
				t.Errorf("message %q, want %s...%s", a.err.Message, c.step, c.reason)
			}
			is.True(!strings.Contains(string(a.body), address))
			w.waitIdle()
			is.True(!c.logged || strings.Contains(w.logs.String(), address))
		})
	}
}
