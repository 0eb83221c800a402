package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against heartbeats that are lost or assigned to wrong hosts while two gateways
// know different hosts of their data centre, and against a new host that the called
// gateway never learns of.
func TestExchangeBetweenDifferentViews(t *testing.T) {
	is := is.New(t)
	now := epoch
	host := func(name string) Host {
		return Host{Name: name, DataCentre: "hobart", PeerAddress: name, Incarnation: 1, Heartbeat: 5}
	}
	a, b := newState(host("a")), newState(host("b"))
	a.table.Merge(now, host("b"))
	b.table.Merge(now, host("a"))
	for _, name := range []string{"c", "d"} {
		a.table.Merge(now, host(name))
	}
	b.table.Merge(now, host("d"))
	now = now.Add(2 * deadAfter)
	later := host("d")
	later.Heartbeat += 3
	a.table.Merge(now, later)
	newcomer := host("c")
	newcomer.Heartbeat++
	a.table.Merge(now, newcomer)
	a.table.Beat(7)

	request := a.newRequest(now, true)
	response := b.response(now, &request)
	is.True(response.Plain)
	is.Equal(b.table.State(now, "d"), Dead) // heartbeats without IDs are ignored if the hosts differ
	followUp, needed := a.followUp(now, &response)
	is.True(needed)
	last := b.response(now, &followUp)
	is.Equal(b.table.State(now, "a"), Live)
	is.Equal(b.table.State(now, "d"), Live)
	is.Equal(b.table.hosts["d"].Heartbeat, later.Heartbeat)
	names := a.names(last.Want)
	b.response(now, &names)
	is.Equal(b.table.State(now, "c"), Live)

	request = a.newRequest(now.Add(time.Second), true)
	is.True(!b.response(now, &request).Plain) // both now know the same hosts
}

// Guards against decoding a heartbeat, of which only the low 2 bytes are sent, to a wrong
// value. An old heartbeat could then count as new, or run ahead of its host.
func TestHeartbeatFromLowBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := rapid.Uint64Range(0, 1<<40).Draw(t, "known")
		apart := rapid.Int64Range(-1<<15, 1<<15-1).Draw(t, "apart")
		sent := uint64(max(0, int64(known)+apart))
		if got := expandHeartbeat(known, uint16(sent)); got != sent {
			t.Fatalf("sent %d, known %d, decoded %d", sent, known, got)
		}
	})
}
