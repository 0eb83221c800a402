package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/responsecheck/responsechecktest"
	"persimmonwing/internal/request/api"
)

// Guards against a broken response of an application server that a caller gets as an answer, or that counts as
// a refusal of the call.
func TestBrokenResponses(t *testing.T) {
	part := responsechecktest.Always("HTTP/1.1 200 OK\r\n\r\npart")
	next := responsechecktest.Whole("", "next")
	for name, script := range map[string]responsechecktest.Script{
		"reset during the upload": responsechecktest.Early(part, responsechecktest.Reset),
		"invalid status":          responsechecktest.Once(responsechecktest.Always("HTTP/1.1 000 Error\r\nContent-Length: 3\r\n\r\nown")),
		"another after it":        responsechecktest.Once(responsechecktest.Always("HTTP/1.1 101 Switching Protocols\r\n\r\n" + next)),
		"blank in a name":         responsechecktest.Once(responsechecktest.Always("HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nown and more")),
		"blank as a name":         responsechecktest.Once(responsechecktest.Always("HTTP/1.1 404 Not Found\r\nName: x\r\n : y\r\n\r\nown")),
	} {
		for _, entry := range []string{"booking", "stock"} {
			t.Run(entry+", "+name, func(t *testing.T) {
				is := is.New(t)
				w := newHarness(t, func(o *Options) {
					o.MaxAttempts = 1
					o.HTTP.MaxBodyBytes, o.HTTP.BodyTimeout = 2*responsechecktest.UploadBytes, 5*time.Second
				})
				for i := range w.backends {
					w.backends[i].Address = responsechecktest.Serve(t, script)
				}
				r := w.request(http.MethodPost, "/v1/services/"+entry, keyA, strings.Repeat("u", responsechecktest.UploadBytes))
				r.Header.Set(headerIdempotencyKey, "x")
				a := w.send(r)
				is.Equal(a.status, http.StatusBadGateway)
				is.Equal(a.err.Code, "backend_lost")
				is.True(a.err.Execution != api.NotRun)
			})
		}
	}
}
