package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/version/catalogue"
)

// Guards against a relay that drops what waits at a gateway, or passes on times as they were when it received them.
func TestRelayPassesOnDemands(t *testing.T) {
	is := is.New(t)
	k := schedule.GroupKey{Model: "m"}
	now := time.Now()
	var b relayBuffer
	b.add(now, &LoadsArgs{Gateway: "a", Number: 1, Demands: []GroupDemand{{k, schedule.Demand{
		Waiting: []schedule.Waiting{{Class: catalogue.Urgent, Tokens: 7, Age: time.Second}},
		Places:  []schedule.Place{{Fingerprint: 9, Due: 500 * time.Millisecond}},
	}}}}, true)
	is.True(b.changedSince(0, "b", true))
	for range 2 {
		loads, _ := b.since(now.Add(200*time.Millisecond), 0, "b", true)
		got := demandOf(loads[0].Demands, k)
		is.Equal(got.Waiting[0].Age, 1200*time.Millisecond)
		is.Equal(got.Places[0].Due, 300*time.Millisecond)
	}
}
