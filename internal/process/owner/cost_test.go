package owner

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"persimmonwing/internal/connection/peer/peertest"
	"persimmonwing/internal/process/schedule"
)

// size returns the bytes that a call and its answer take on a connection in use.
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

// Guards against an owner that decodes a request differently from what was sent, and
// against grants whose calls alone exceed the 17 KB/s for a gateway, in and out, at the
// target of 8 requests/s and 50 running generations.
func TestBytesOfGrants(t *testing.T) {
	const requests, running, budget = 8, 50, 17000
	k := schedule.GroupKey{DataCentre: "region-1-centre-4", Model: "guide-writer-large", Shard: 1}
	id := ulid.Make().String()
	args := AcquireArgs{
		Group: k, Attempt: 1,
		Request: schedule.Request{
			ID: id, Gateway: "gateway-123", Workspace: "workspace-123", Weight: 1.5, Entry: "travel-guide", Class: "background",
			Model: k.Model, PromptTokens: 1000, MaxOutputTokens: 10000, ExpectedOutputTokens: 240, TokenGap: 26 * time.Millisecond,
			Fingerprint: 1 << 63, PrefixHashes: slices.Repeat([]uint64{1<<63 + 1}, 12), Deadline: time.Now().Add(time.Minute),
		},
	}
	want := args
	args.pack(time.Now())
	acquire := size(t, "Scheduler.Acquire", args, AcquireReply{
		Grant:       schedule.Grant{Backend: "engine-123", Address: "10.11.12.13:8000", QueuedFor: time.Second, Reason: "prefix"},
		Incarnation: id,
	})
	args.unpack(time.Now())
	args.Request.Deadline = want.Request.Deadline // moved by the clock's progress
	want.Request.PrefixHashes = truncateHashes(want.Request.PrefixHashes)
	if !reflect.DeepEqual(args.Request, want.Request) {
		t.Errorf("the owner decodes %+v, want %+v", args.Request, want.Request)
	}
	release := size(t, "Scheduler.Release", ReleaseArgs{Group: groupID(k), ID: id, Outcome: schedule.Outcome{Generated: 240, Completed: true}}, Empty{})
	// The grants are spread over ten groups, one for each model, and as many owners.
	one := RenewArgs{Groups: []GroupGrants{{Group: groupID(k)}}}
	for range running / 10 {
		one.Groups[0].add(1<<31, 200)
	}
	renewal := 10 * size(t, "Scheduler.Renew", one, RenewReply{})
	// A gateway makes as many calls as it answers as an owner.
	perSecond := 2 * (requests*(acquire+release) + 2*renewal)
	t.Logf("acquire %d, release %d, renewal of 50 grants %d bytes: %.1f KB/s in and out", acquire, release, renewal, float64(perSecond)/1e3)
	if perSecond > budget {
		t.Errorf("the calls take %d bytes/s, over the budget", perSecond)
	}
}

// Guards against reservations whose calls alone exceed the 17 KB/s for a gateway, in
// and out, at the target of 8 requests/s of which one in four is refused by an arbiter
// that knows of ten gateways on the engine.
func TestBytesOfReservations(t *testing.T) {
	const requests, refused, budget = 8, 2, 17000
	load := schedule.ReplicaLoad{Replica: "engine-123", Running: 1, Unread: 3000, Yielding: 1}
	for i := range load.Memory.Mean {
		load.Memory.Mean[i], load.Memory.Variance[i], load.Memory.Most[i] = 4000, 1_000_000, 5000
	}
	args := ConfirmArgs{
		Group: schedule.GroupKey{Model: "guide-writer-large"},
		Reservation: schedule.Reservation{
			ID: ulid.Make().String(), Gateway: "gateway-123", After: 100_000, Load: load, MaxBatch: 64, KVCapacityTokens: 1 << 19, Seen: 0.123,
		},
	}
	confirmed := size(t, "Scheduler.Confirm", args, ConfirmReply{})
	reply := ConfirmReply{Refused: true, Loads: slices.Repeat([]schedule.GatewayLoad{{Gateway: "gateway-123", Load: load}}, 10)}
	refusal := size(t, "Scheduler.Confirm", args, reply)
	perSecond := 2 * (requests*confirmed + refused*refusal)
	t.Logf("confirmed %d, refused %d bytes: %.1f KB/s in and out", confirmed, refusal, float64(perSecond)/1e3)
	if perSecond > budget {
		t.Errorf("the calls take %d bytes/s, over the budget", perSecond)
	}
}
