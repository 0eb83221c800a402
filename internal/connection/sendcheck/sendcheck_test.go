package sendcheck

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request of which the server sees anything although the check refused it, on a new connection and on one that
// is kept, and against a check that is made before the connection is open.
func TestRefusedRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer server.Close()
	var dialled atomic.Int64
	dial := Wrap((&net.Dialer{}).DialContext)
	client := &http.Client{Transport: &http.Transport{DialContext: dial}}
	defer client.CloseIdleConnections()
	refuse := errors.New("refused")
	send := func(method string, allow bool) error {
		ctx, refusal, done := With(t.Context(), func() error {
			dialled.Add(1)
			if allow {
				return nil
			}
			return refuse
		})
		defer done()
		r, err := http.NewRequestWithContext(ctx, method, server.URL, strings.NewReader("body"))
		is.NoErr(err)
		resp, err := client.Do(r)
		if err == nil {
			_ = resp.Body.Close()
		}
		is.Equal(err != nil, !allow)
		return refusal.Err()
	}
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		before := arrived.Load()
		is.Equal(send(method, false), refuse) // a new connection
		is.NoErr(send(method, true))
		is.Equal(send(method, false), refuse) // a kept connection
		is.Equal(arrived.Load(), before+1)
	}
	is.Equal(dialled.Load(), int64(6))
}
