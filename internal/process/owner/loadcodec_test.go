package owner

import (
	"reflect"
	"testing"
	"time"

	"persimmonwing/internal/process/schedule"
)

func exampleLoads() *LoadsArgs {
	a := &LoadsArgs{Gateway: "gateway-1", Incarnation: 1 << 41, Number: 77}
	for _, model := range []string{"m", ""} {
		g := GroupLoads{Group: schedule.GroupKey{DataCentre: "dc", Model: model, Shard: 3}}
		for i := range 3 {
			l := schedule.ReplicaLoad{Replica: "engine-123", Running: i, Unread: 3000 * i, Yielding: 1}
			for h := range l.Memory.Mean {
				l.Memory.Mean[h], l.Memory.Variance[h], l.Memory.Most[h] = int64(4000+h), int64(i)<<40, -int64(h)
			}
			g.Loads = append(g.Loads, l)
		}
		a.Groups = append(a.Groups, g)
	}
	return a
}

// Guards against loads that a follower of a relay decodes differently from what was sent.
func TestLoadsKeepTheirValues(t *testing.T) {
	for _, want := range []*LoadsArgs{exampleLoads(), {Gateway: "g"}} {
		got, err := decodeLoads(encodeLoads(want))
		if err != nil || !reflect.DeepEqual(&got, want) {
			t.Errorf("decoded %+v, %v; want %+v", got, err, want)
		}
	}
}

func exampleUses() []GroupUse {
	return []GroupUse{
		{schedule.GroupKey{DataCentre: "dc", Model: "m", Shard: 3}, schedule.Use{Tokens: 1 << 30, WithinShare: 1500, Waiting: 7, Workspaces: []schedule.WorkspaceUse{{Workspace: "w", Tokens: 5, Weight: 150}, {}}}},
		{},
	}
}

// Guards against uses that change on the way through two relays, are sent again to a follower that has them,
// or are lost because a message without them follows.
func TestUsesPassRelays(t *testing.T) {
	var first, second relayBuffer
	now := time.Unix(1000, 0)
	first.add(now, &LoadsArgs{Gateway: "g", Number: 1, Uses: encodeUses(exampleUses())}, true)
	first.add(now, &LoadsArgs{Gateway: "g", Number: 2}, true)
	loads, _ := first.since(now, 0, "other", false)
	a, err := decodeLoads(loads[0].Encoded)
	if err != nil {
		t.Fatal(err)
	}
	a.Uses = loads[0].Uses
	second.add(now, &a, false)
	loads, _ = second.since(now, 0, "follower", false)
	if got, err := decodeUses(loads[0].Uses); err != nil || !reflect.DeepEqual(got, exampleUses()) {
		t.Errorf("decoded %+v, %v; want %+v", got, err, exampleUses())
	}
	first.add(now, &LoadsArgs{Gateway: "g", Number: 3}, true)
	if loads, _ = first.since(now, 2, "other", false); len(loads) != 1 || loads[0].Uses != nil {
		t.Errorf("uses are sent again: %+v", loads)
	}
	first.add(now.Add(loadsTTL), &LoadsArgs{Gateway: "g", Number: 4}, true)
	if loads, _ = first.since(now, 0, "late", false); loads[0].Uses != nil {
		t.Error("uses are sent to a new follower after they have expired")
	}
}

// Guards against uses of a faulty peer that panic, overflow sums or decode to something else than they encode.
func FuzzDecodeUses(f *testing.F) {
	whole := encodeUses(exampleUses())
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add([]byte{2, 0, 0, 0, 1, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		uses, err := decodeUses(b)
		if err != nil {
			return
		}
		again, err := decodeUses(encodeUses(uses))
		if err != nil && len(uses) > 0 || !reflect.DeepEqual(uses, again) {
			t.Errorf("decoded %+v, and %+v, %v after encoding it again", uses, again, err)
		}
	})
}

// Guards against bytes of a faulty peer that make a gateway panic or allocate more than
// they are worth, and against bytes that decode to something else than they encode.
func FuzzDecodeLoads(f *testing.F) {
	whole := encodeLoads(exampleLoads())
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{2, 'g', 0, 0, 0xfe, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := decodeLoads(b)
		if err != nil {
			return
		}
		again, err := decodeLoads(encodeLoads(&a))
		if err != nil || !reflect.DeepEqual(a, again) {
			t.Errorf("decoded %+v, and %+v, %v after encoding it again", a, again, err)
		}
	})
}

// BenchmarkRelayReply measures one reply of a relay with the loads of 20 gateways.
func BenchmarkRelayReply(b *testing.B) {
	var buffer relayBuffer
	now := time.Unix(1000, 0)
	for i := range 20 {
		a := exampleLoads()
		a.Gateway += string(rune('a' + i))
		buffer.add(now, a, true)
	}
	for b.Loop() {
		if loads, _ := buffer.since(now, 0, "other", false); len(loads) != 20 {
			b.Fatal("loads are missing")
		}
	}
}
