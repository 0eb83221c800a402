package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a frozen host that is considered live for longer because another data
// centre relays its last heartbeat, and against ignoring a restart or a departure that
// another data centre relays.
func TestHeartbeatRelayedByAnotherDataCentreIsIgnored(t *testing.T) {
	frozen := Host{Name: "c", DataCentre: "hobart", PeerAddress: "3", Incarnation: 1, Heartbeat: 7}
	later, restarted, left := frozen, frozen, frozen
	later.Heartbeat++
	restarted.Incarnation++
	left.Left = true
	for name, c := range map[string]struct {
		sender  string
		relayed Host
		want    State
	}{
		"echo from another data centre":    {"burnie", later, Dead},
		"heartbeat from the own one":       {"hobart", later, Live},
		"restart told by another":          {"burnie", restarted, Live},
		"end told by another data centre":  {"burnie", left, Left},
		"heartbeat already known, no news": {"hobart", frozen, Dead},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState(Host{Name: "a", DataCentre: "hobart", PeerAddress: "1", Incarnation: 1})
			s.table.Merge(epoch, frozen)
			now := epoch.Add(deadAfter + time.Second)
			sender := Host{Name: "s", DataCentre: c.sender, PeerAddress: "9", Incarnation: 1}
			s.apply(now, &Message{From: sender, Hosts: []Host{c.relayed}, Beats: appendBeat(nil, frozen.ID(), c.relayed.Heartbeat)})
			is.Equal(s.table.State(now, "c"), c.want)
		})
	}
}
