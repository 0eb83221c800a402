package gateway

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/standin/app"
)

// Guards against an answer that begins during a shutdown and leaves its connection open, because
// its request arrived before: the caller's next request would cross the close.
func TestAnswerDuringShutdownClosesItsConnection(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, nil)
	appFaults(app.Faults{DelayMS: 300})(t, w)
	c := w.dial()
	_, _ = fmt.Fprintf(c, "POST /v1/services/booking HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer %s\r\n%s: booked\r\nContent-Length: 4\r\n\r\nbody", keyA, headerIdempotencyKey)
	is.True(eventually(func() bool { return w.runs("booked") == 1 }))
	w.stop()
	is.True(eventually(func() bool { return w.gateway.stopping.Load() }))
	time.Sleep(10 * time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(resp.Close) // otherwise the caller sends its next request on this connection
}
