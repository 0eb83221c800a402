package membership_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"pgregory.net/rapid"

	"persimmonwing/internal/process/membership"
)

// slowLink calls a peer's service and delays the request and the response, as when a
// process is paused before or after the call.
type slowLink struct {
	peer                        *membership.Service
	requestDelay, responseDelay time.Duration
	sawInRequest                bool
}

func (l *slowLink) Call(_ context.Context, _, _ string, args, reply any) error {
	time.Sleep(l.requestDelay)
	in, out := args.(*membership.Message), reply.(*membership.Message)
	l.sawInRequest = l.sawInRequest || in.ConfirmedAgeMS != 0
	err := l.peer.Exchange(in, out)
	time.Sleep(l.responseDelay)
	return err
}

// Guards against a gateway that considers a peer's confirmation newer than it is, however
// long the request and the response are in transit, against one that relays it as newer,
// and against confirmations in requests, whose transit time has no known bound.
func TestConfirmationIsNeverFresher(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ms := func(label string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(rt, label)) * time.Millisecond / 3
		}
		var link [2]slowLink
		for i := range link {
			link[i].requestDelay, link[i].responseDelay = ms("there", 40_000), ms("back", 40_000)
		}
		age := ms("age", 20_000)
		synctest.Test(t, func(*testing.T) {
			poll := time.Now()
			// The confirmation travels from the first gateway, which has polled, to the
			// second and from there to the third.
			var known [3]time.Time
			var gossipers [3]*membership.Gossiper
			start := func(i int, caller membership.Caller) {
				gossipers[i] = membership.NewGossiper(membership.Options{
					Self: membership.Host{Name: string(rune('a' + i)), DataCentre: "dc0", PeerAddress: string(rune('a' + i)), Incarnation: 1},
					// The previous gateway is the only seed.
					Seeds: []string{string(rune('a' + i - 1))}, Caller: caller, Logger: log.NewNopLogger(), Rand: rand.New(rand.NewPCG(1, 1)),
					Revision: func() int64 { return 7 }, Draining: func() []string { return nil },
					Confirmed: func() (int64, time.Duration, bool) { return 7, time.Since(known[i]), !known[i].IsZero() },
					Confirm: func(revision int64, at time.Time) {
						if at.After(poll) || revision != 7 {
							rt.Fatalf("gateway %d considers revision %d confirmed %v after the poll", i, revision, at.Sub(poll))
						}
						known[i] = at
					},
				})
			}
			start(0, nil)
			for i := 1; i < 3; i++ {
				link[i-1].peer = gossipers[i-1].Service()
				start(i, &link[i-1])
			}
			time.Sleep(age)
			known[0] = poll
			for i := 1; i < 3; i++ {
				sent := time.Now()
				gossipers[i].ExchangeOnce(context.Background())
				fresh := sent.Sub(known[i-1])+link[i-1].requestDelay < membership.MaxConfirmationAge
				loss := known[i-1].Sub(known[i])
				if fresh && !known[i-1].IsZero() && (known[i].IsZero() || loss > link[i-1].requestDelay+2*time.Millisecond) {
					rt.Fatalf("gateway %d considers the confirmation %v older than its peer does", i, loss)
				}
				if !fresh && !known[i].IsZero() {
					rt.Fatalf("gateway %d received a confirmation that is too old", i)
				}
			}
			if link[0].sawInRequest || link[1].sawInRequest {
				rt.Fatal("a request contained a confirmation")
			}
		})
	})
}
