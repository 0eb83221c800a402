package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against heartbeats that are lost or go to other hosts while two
// gateways know different hosts of their data centre, and against a newcomer
// that the called one never learns.
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

	request := a.compose(now, true)
	answer := b.answer(now, &request)
	is.True(answer.Plain)
	is.Equal(b.table.State(now, "d"), Dead) // nothing was read from the other view's positions
	follow, needed := a.follow(now, &answer)
	is.True(needed)
	last := b.answer(now, &follow)
	is.Equal(b.table.State(now, "a"), Live)
	is.Equal(b.table.State(now, "d"), Live)
	is.Equal(b.table.hosts["d"].Heartbeat, later.Heartbeat)
	names := a.names(last.Want)
	b.answer(now, &names)
	is.Equal(b.table.State(now, "c"), Live)

	request = a.compose(now.Add(time.Second), true)
	is.True(!b.answer(now, &request).Plain) // now the views agree
}

// Guards against a heartbeat that counts as news although it is older, or that
// runs ahead of its host, when only its low 2 bytes are sent.
func TestHeartbeatFromLowBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := rapid.Uint64Range(0, 1<<40).Draw(t, "known")
		apart := rapid.Int64Range(-1<<15, 1<<15-1).Draw(t, "apart")
		sent := uint64(max(0, int64(known)+apart))
		if got := expand(known, uint16(sent)); got != sent {
			t.Fatalf("sent %d, known %d, read %d", sent, known, got)
		}
	})
}
