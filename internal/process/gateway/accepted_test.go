package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/responseid"
	"persimmonwing/internal/version/catalogue"
)

// emptyCatalogue has no revision, as in a gateway that is not ready.
type emptyCatalogue struct{}

func (emptyCatalogue) Current() *catalogue.Snapshot { return nil }

// Guards against a refused resume or cancel that reports not_run for a generation that
// was accepted earlier.
func TestRefusedResumeSaysNothingOfTheGeneration(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions()
	o.ResponseKeys = []responseid.Key{{ID: "k", Secret: "a secret that is long enough"}}
	g, err := New(o, Deps{Catalogue: emptyCatalogue{}, Metrics: telemetry.New(), Logger: log.NewNopLogger()})
	is.NoErr(err)
	for _, c := range []struct {
		method, path string
		want         api.Execution
	}{
		{http.MethodPost, "/v1/responses", api.NotRun},
		{http.MethodGet, "/v1/responses/x?stream=true", api.Unknown},
		{http.MethodPost, "/v1/responses/x/cancel", api.Unknown},
	} {
		w := httptest.NewRecorder()
		g.CallerHandler().ServeHTTP(w, httptest.NewRequest(c.method, c.path, nil))
		var body api.ErrorBody
		is.NoErr(json.NewDecoder(w.Body).Decode(&body))
		is.Equal(body.Error.Code, "not_ready")
		is.Equal(body.Error.Execution, c.want)
	}
}
