package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/service"
)

// Guards against a length or chunks for a response that ended with its connection: it may be
// truncated.
func TestUnframedResponses(t *testing.T) {
	for name, c := range map[string]struct {
		head   string
		framed bool
	}{
		"length":   {"Content-Length: 4\r\n", true},
		"unframed": {"", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.head+"\r\nbody")
				_ = conn.Close()
			}))
			defer app.Close()
			client := service.New(&http.Client{Transport: &http.Transport{}})
			front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				response, err := client.Do(r.Context(), "app-1", strings.TrimPrefix(app.URL, "http://"), service.Request{Method: http.MethodGet, Path: "/"})
				if err != nil {
					t.Error(err)
				}
				writeResponse(w, response)
			}))
			defer front.Close()
			resp, err := http.Get(front.URL)
			is.NoErr(err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(body), "body")
			is.Equal(resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0, c.framed)
			is.Equal(len(resp.Header["Transfer-Encoding"]), 0)
		})
	}
}
