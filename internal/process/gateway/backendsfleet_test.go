package gateway_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/adminapi"
)

// backendsOf returns the answers of two gateways by server name.
func backendsOf(t *testing.T, targets []string) [2]map[string]adminapi.Backend {
	var out [2]map[string]adminapi.Backend
	for i := range out {
		resp, err := http.Get(targets[i] + "/backends")
		is.New(t).NoErr(err)
		var list []adminapi.Backend
		err = json.NewDecoder(resp.Body).Decode(&list)
		_ = resp.Body.Close()
		is.New(t).NoErr(err)
		out[i] = map[string]adminapi.Backend{}
		for _, b := range list {
			out[i][b.Name] = b
		}
	}
	return out
}

// Guards against servers that are missing from /backends, against two owners or
// none of an engine, and against a killed engine that its owner shows as accepting.
func TestBackendsOfFleet(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := smallFleet(t, nil)
	seen := backendsOf(t, f.AdminTargets())
	name := f.EngineName(0)
	owners := 0
	for _, list := range seen {
		is.Equal(len(list), 3) // two engines and an application server
		b := list[name]
		is.True(b.Accepting)
		is.Equal(b.Models, []string{"main"})
		if b.Source == adminapi.SourceOwner {
			owners++
			is.True(b.Load.BatchBound > 0)
			is.True(b.Load.KVCapacityTokens > 0)
		}
	}
	is.Equal(owners, 1)
	f.KillEngine(t.Context(), 0)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		for _, list := range backendsOf(t, f.AdminTargets()) {
			if list[name].Source == adminapi.SourceOwner && list[name].Reason == adminapi.ReasonUnreachable {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatal("the owner does not show the killed engine as unreachable")
		}
	}
}
