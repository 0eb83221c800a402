package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/process/membership"
)

// Guards against a call that crashes one application server after the other as its caller repeats it,
// with a new idempotency key or without one, and against refusing other calls.
func TestCallThatCrashesServersIsRefused(t *testing.T) {
	for _, entry := range []string{"stock", "booking"} {
		t.Run(entry, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, nil)
			var crashes atomic.Int64
			w.backends = nil
			for i := range 6 {
				var server *httptest.Server
				server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
					if strings.HasSuffix(r.URL.Path, "/deadly") {
						crashes.Add(1)
						_ = server.Config.Close()
						panic(http.ErrAbortHandler)
					}
				}))
				t.Cleanup(server.Close)
				w.backends = append(w.backends, membership.Backend{Name: fmt.Sprint("app-", i), Address: server.Listener.Addr().String(), DataCentre: "dc-1", Service: "shop", Accepting: true})
			}
			call := func(path, id string) response {
				r := w.request("POST", "/v1/services/"+entry+"/"+path, keyA, "x")
				r.Header.Set("Idempotency-Key", id)
				return w.send(r)
			}
			refused := 0
			for i := range 8 {
				if a := call("deadly", fmt.Sprint("d", i)); a.status == http.StatusUnprocessableEntity {
					is.Equal(a.err.Code, "request_crashes_servers")
					refused++
				}
			}
			is.Equal(crashes.Load(), int64(2))
			is.True(refused >= 6)
			is.Equal(call("sound", "s").status, http.StatusOK)
		})
	}
}
