package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/connection/platform/platformtest"
	"persimmonwing/internal/connection/service"
	"persimmonwing/internal/process/limits"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/claim"
)

// slowServer responds to calls after a delay.
type slowServer struct{ delay time.Duration }

func (s slowServer) Do(context.Context, string, string, service.Request) (service.Response, error) {
	time.Sleep(s.delay)
	return service.Response{Status: http.StatusOK, Body: []byte("booked")}, nil
}

func (slowServer) Ended(context.Context, string) bool { return false }

// recorder is a ResponseRecorder that accepts deadlines, like a connection.
type recorder struct{ *httptest.ResponseRecorder }

func (recorder) SetReadDeadline(time.Time) error  { return nil }
func (recorder) SetWriteDeadline(time.Time) error { return nil }

// Guards against a call that runs for longer than settleTimeout and gets its response
// before the outcome is recorded: if the gateway is killed then, the claim stays in
// progress forever.
func TestOutcomeOfSlowCallIsRecordedBeforeTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		current := &fakeCatalogue{}
		current.set(testCatalogue())
		g, err := New(testOptions(), Deps{
			Catalogue: current,
			Backends:  &fakeBackends{membership.Backend{Name: "app-1", Address: "10.0.0.1:80", Service: "shop", Accepting: true}},
			Services:  slowServer{2 * settleTimeout},
			// The store's background task does not run, as in a gateway that is killed
			// right after the response.
			Claims:  claim.NewStore(&platformtest.Table{}, claim.DefaultOptions()),
			Limits:  limits.New(),
			Metrics: telemetry.New(),
			Logger:  log.NewNopLogger(),
		})
		is.NoErr(err)
		for range 2 {
			r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "/v1/services/booking", strings.NewReader("x"))
			is.NoErr(err)
			r.Header.Set("Authorization", "Bearer "+keyA)
			r.Header.Set("Idempotency-Key", "k")
			w := recorder{httptest.NewRecorder()}
			g.CallerHandler().ServeHTTP(w, r)
			is.Equal(w.Code, http.StatusOK) // the resend gets the recorded answer
			is.Equal(w.Body.String(), "booked")
		}
	})
}
