package gateway_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/adminapi"
)

// backendsOf returns the backend lists of two gateways, each by server name.
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

// hasOneOwner reports whether both gateways list all servers and exactly one of them
// reports the engine as its owner.
func hasOneOwner(seen [2]map[string]adminapi.Backend, engine string) bool {
	owners := 0
	for _, list := range seen {
		b := list[engine]
		if len(list) != 3 || !b.Accepting || !slices.Equal(b.Models, []string{"main"}) {
			return false
		}
		if b.Source == adminapi.SourceOwner && b.Load != nil && b.Load.BatchBound > 0 && b.Load.KVCapacityTokens > 0 {
			owners++
		}
	}
	return owners == 1
}

// Guards against servers that are missing from /backends, against an engine with two
// owners or none, and against a killed engine that its owner lists as accepting.
func TestBackendsOfFleet(t *testing.T) {
	t.Parallel()
	f := smallFleet(t, nil) // two engines and an application server
	name := f.EngineName(0)
	await := func(what string, holds func([2]map[string]adminapi.Backend) bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !holds(backendsOf(t, f.AdminTargets())); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %+v", what, backendsOf(t, f.AdminTargets()))
			}
		}
	}
	await("one owner describes the engine", func(seen [2]map[string]adminapi.Backend) bool { return hasOneOwner(seen, name) })
	f.KillEngine(t.Context(), 0)
	await("the owner shows the killed engine", func(seen [2]map[string]adminapi.Backend) bool {
		return slices.ContainsFunc(seen[:], func(list map[string]adminapi.Backend) bool {
			return list[name].Source == adminapi.SourceOwner && list[name].Reason == adminapi.ReasonUnreachable
		})
	})
}
