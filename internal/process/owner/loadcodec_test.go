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
