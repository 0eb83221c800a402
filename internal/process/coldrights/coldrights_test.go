package coldrights

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/process/coldbound"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/telemetry"
)

// fakeRow is the row of a service in a store that answers at once. Gateways call each other through it.
type fakeRow struct {
	now      time.Duration
	revision int64
	row      coldbound.Row
	calls    int
	issuers  map[string]*Issuer
}

func (f *fakeRow) Read(context.Context, string) (int64, coldbound.Row, error) {
	f.calls++
	return f.revision, f.row, nil
}

func (f *fakeRow) Replace(_ context.Context, _ string, expect int64, row coldbound.Row) (int64, coldbound.Row, bool, error) {
	f.calls++
	if expect != f.revision {
		return f.revision, f.row, false, nil
	}
	f.revision++
	f.row = row
	return f.revision, row, true, nil
}

func (f *fakeRow) Call(_ context.Context, address, _ string, args, reply any) error {
	k := f.issuers[address]
	if k == nil {
		return context.DeadlineExceeded
	}
	return k.RPC().Take(args.(*TakeArgs), reply.(*TakeReply))
}

// issuer adds a gateway; the gateways are ranked as in names.
func (f *fakeRow) issuer(name string, names ...string) *Issuer {
	k := New(Options{
		Self: name + "/1", PeerAddress: name, Store: f, Caller: f, Logger: log.NewNopLogger(), Metrics: telemetry.New(),
		Candidates: func(string) (out []membership.Gateway) {
			for _, n := range names {
				out = append(out, membership.Gateway{Name: n, PeerAddress: n})
			}
			return out
		},
		Rights: func(string, string) int { return 44 }, Now: func() time.Duration { return f.now },
	})
	f.issuers[name] = k
	return k
}

// pass lets time pass, in which the gateways do their periodic work.
func (f *fakeRow) pass(d time.Duration, issuers ...*Issuer) {
	for end := f.now + d; f.now < end; f.now += upkeepPeriod {
		for _, k := range issuers {
			if k.services["s"] != nil {
				k.maintain(context.Background(), "s")
			}
		}
	}
}

// Guards against a tenure that is kept, with calls to the store, after the last right, against one that ends while
// rights are issued, and against cold servers that get nothing because a lost issuer has not freed the row.
func TestTenure(t *testing.T) {
	is := is.New(t)
	f := &fakeRow{now: time.Hour, issuers: map[string]*Issuer{}}
	a, b := f.issuer("a", "a", "b"), f.issuer("b", "a", "b")
	server := coldbound.Incarnation{Server: "x", StartedMS: 1}
	acquire := func(k *Issuer) bool {
		_, _, ok := k.Acquire(context.Background(), "s", server)
		return ok
	}
	is.True(acquire(b))
	is.Equal(f.row.Holder, "a/1")
	for range 12 {
		f.pass(500*time.Millisecond, a, b)
		is.True(acquire(b))
	}
	calls := f.calls
	is.True(calls <= 10) // one a second
	f.pass(2*time.Second, a, b)
	is.Equal(f.row.Holder, "")
	f.pass(10*time.Second, a, b)
	is.True(f.calls <= calls+2)

	is.True(acquire(b))
	delete(f.issuers, "a")
	is.Equal(f.row.Holder, "a/1")
	restarted := f.issuer("a", "a", "b")
	restarted.o.Self = "a/2"
	is.True(!acquire(restarted)) // the rights that a/1 has issued may be in use
	f.pass(6*time.Second, restarted)
	is.Equal(f.row.Holder, "") // freed although no server is cold
	is.True(acquire(restarted))
}
