package owner_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"persimmonwing/internal/connection/peer/peertest"
	"persimmonwing/internal/process/owner"
	"persimmonwing/internal/process/schedule"
)

// size returns the bytes of a call and its answer on a connection in use.
func size(t *testing.T, method string, args, reply any) int {
	w, size := peertest.NewWire(), 0
	for range 2 { // the first also carries gob's type descriptions
		var err error
		in, got := reflect.New(reflect.TypeOf(args)).Interface(), reflect.New(reflect.TypeOf(reply)).Interface()
		if size, err = w.Call(method, args, in, reply, got, func() error { return nil }); err != nil {
			t.Fatal(err)
		}
	}
	return size
}

// Guards against grants whose calls alone exceed the 17 KB/s for a gateway, in
// and out, at the target of 8 requests/s and 50 running generations.
func TestBytesOfGrants(t *testing.T) {
	const requests, running, budget = 8, 50, 17000
	k := schedule.GroupKey{DataCentre: "region-1-centre-4", Model: "guide-writer-large", Shard: 1}
	id := ulid.Make().String()
	acquire := size(t, "Scheduler.Acquire", owner.AcquireArgs{
		Group: k, Attempt: 1, Remaining: time.Minute,
		Request: schedule.Request{
			ID: id, Gateway: "gateway-123", Workspace: "workspace-123", Weight: 1.5, Entry: "travel-guide", Class: "background",
			Model: k.Model, PromptTokens: 1000, MaxOutputTokens: 10000, ExpectedOutputTokens: 240, TokenGap: 26 * time.Millisecond,
			Fingerprint: 1 << 63, PrefixHashes: []uint64{1 << 63, 1 << 63, 1 << 63, 1 << 63}, Deadline: time.Now(),
		},
	}, owner.AcquireReply{
		Grant: schedule.Grant{
			ID: id, Group: k, Backend: "engine-123", Address: "10.11.12.13:8000",
			Owner: "gateway-234", QueuedFor: time.Second, Reason: "prefix",
		},
		Incarnation: id, Hint: "gateway-234",
	})
	release := size(t, "Scheduler.Release", owner.ReleaseArgs{Group: k, ID: id, Outcome: schedule.Outcome{Generated: 240, Completed: true}}, owner.Empty{})
	// The grants are spread over ten groups, one for each model, and as many owners.
	one := owner.RenewArgs{Groups: []owner.GroupGrants{{Group: k}}}
	for range running / 10 {
		g := &one.Groups[0]
		g.Grants, g.Generated = append(g.Grants, 1<<63), append(g.Generated, 200)
	}
	renewal := 10 * size(t, "Scheduler.Renew", one, owner.RenewReply{})
	// A gateway makes as many calls as it answers as an owner.
	perSecond := 2 * (requests*(acquire+release) + 2*renewal)
	t.Logf("acquire %d, release %d, renewal of 50 grants %d bytes: %.1f KB/s in and out", acquire, release, renewal, float64(perSecond)/1e3)
	if perSecond > budget {
		t.Errorf("%d bytes/s", perSecond)
	}
}
