package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/adminapi"
	"persimmonwing/internal/process/fleet"
	"persimmonwing/internal/process/standin/app"
	"persimmonwing/internal/process/standin/engine"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

// coldBound is the number of requests that a cold server of the tests may get within a second.
const coldBound = 12

// Guards against cold servers that get more from all gateways together than the catalogue allows, that get nothing, against
// requests that fail although a warm server is left, and against refusals without the time after which there are rights again.
func TestColdServersInTheCatalogue(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := smallFleet(t, func(o *fleet.Options) {
		o.DataCentres, o.Gateways, o.Engines, o.Apps = 2, 4, 2, 2
		c, err := catalogue.Parse("small", o.Catalogue)
		is.NoErr(err)
		c.Models[0].ColdRequestsPerSecond = coldBound
		c.Services = []catalogue.ServiceServers{{Name: fleet.ServiceName, ColdRequestsPerSecond: coldBound}}
		o.Catalogue, err = catalogue.Encode(c)
		is.NoErr(err)
	})
	waitForRemoteEngines(t, f.AdminTargets()[0])
	cold := func(i int, left time.Duration) {
		f.SetAppFaults(i, app.Faults{ColdMS: left.Milliseconds()})
		f.SetEngineFaults(i, engine.Faults{ColdMS: left.Milliseconds()})
	}
	// knows waits until all gateways know a number of cold servers, though only some of them have asked these.
	knows := func(n int) {
		for _, target := range f.AdminTargets() {
			for tries := 0; len(admin[[]adminapi.ColdServer](t, target+"/cold")) != n; tries++ {
				is.True(tries < 1500) // the gateway learns of the cold servers, or of the end
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
	booked := func(target, id string) bool { return book(t, target, id) == http.StatusOK }
	generated := func(target, _ string) bool { return f.Generate(t.Context(), target, keyA, "plan", "#tokens=2") == nil }
	cold(0, 6*time.Second)
	knows(2)
	knows(0)
	cold(0, time.Minute)
	knows(2)
	for name, send := range map[string]func(string, string) bool{"call": booked, "generation": generated} {
		served, refused, most := floodDataCentre(t, f, "dc-1", name, send)
		t.Logf("one data centre is cold, %ss: %d served, %d refused, at most %d within a second in it", name, served, refused, most)
		is.Equal(refused, 0)
		is.True(served > 100)
		is.True(most > 0 && most <= coldBound)
	}
	cold(1, time.Minute)
	knows(4)
	served, refused, most := floodDataCentre(t, f, "dc-1", "again", booked)
	t.Logf("all are cold, calls: %d served, %d refused, at most %d within a second", served, refused, most)
	is.True(served > 0 && refused > served)
	is.True(most > 0 && most <= coldBound)
	for i := 0; ; i++ {
		is.True(i < 200) // a call is refused
		resp := bookOnce(t, f.Targets()[0], fmt.Sprint("last", i))
		if resp.StatusCode == http.StatusOK {
			continue
		}
		var body api.ErrorBody
		is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(body.Error.Execution, api.NotRun)
		is.True(body.Error.RetryAfterMS > 0 && body.Error.RetryAfterMS <= 1250)
		break
	}
}

// bookOnce books with a key and returns the response, whose body is closed with the test.
func bookOnce(t *testing.T, target, key string) *http.Response {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, target+"/v1/services/booking", strings.NewReader("seat"))
	is.New(t).NoErr(err)
	r.Header.Set("Authorization", "Bearer "+keyA)
	r.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(r)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// floodDataCentre sends requests through all gateways for 2.5 s. It returns how many were served and refused, and the most that
// the servers of a data centre began within a second.
func floodDataCentre(t *testing.T, f *fleet.Fleet, dataCentre, name string, send func(target, id string) bool) (served, refused, most int) {
	end := time.Now().Add(2500 * time.Millisecond)
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i, target := range f.Targets() {
		for j := range 3 {
			wait.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					ok := send(target, fmt.Sprint(name, i, "-", j, "-", n))
					mu.Lock()
					if ok {
						served++
					} else {
						refused++
					}
					mu.Unlock()
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	type sample struct {
		at   time.Time
		runs int
	}
	var samples []sample
	for time.Now().Before(end) {
		at := time.Now()
		runs, err := f.RunsIn(t.Context(), dataCentre)
		is.New(t).NoErr(err)
		samples = append(samples, sample{at, runs})
		for first := range samples {
			if at.Sub(samples[first].at) < time.Second {
				most = max(most, runs-samples[first].runs)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	wait.Wait()
	return served, refused, most
}
