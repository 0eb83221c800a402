package membership

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/connection/platform"
)

type listFunc func() ([]platform.Host, error)

func (f listFunc) Hosts(context.Context) ([]platform.Host, error) { return f() }

// Guards against a gateway that is frozen while a server is marked as leaving and, when
// it resumes, calls the server before it has read the host list. The fault run with seed
// 2 made such a call 6 s after the server was marked. Also guards against calls that wait
// too long, or more than once, while the list is unavailable.
func TestPausedGatewayReadsTheHostListFirst(t *testing.T) {
	app := platform.Host{Name: "app", Kind: platform.KindApp, Address: "x", DataCentre: "dc", State: platform.HostLive, Service: "stock"}
	leaving := app
	leaving.State = platform.HostLeaving
	for name, out := range map[string]bool{"list answers": false, "list is out": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := NewGossiper(Options{Self: Host{Name: "g1", DataCentre: "dc"}, Logger: log.NewNopLogger(), Draining: func() []string { return nil }})
				g.SetHosts([]platform.Host{app})
				g.fresh.startRound(time.Now())
				begin := time.Now()
				g.AwaitFresh()
				is.Equal(time.Since(begin), time.Duration(0)) // a gateway that was not paused does not wait
				time.Sleep(12 * time.Second)
				is.True(g.needsList(time.Now()))
				answer := listFunc(func() ([]platform.Host, error) {
					time.Sleep(50 * time.Millisecond)
					if out {
						return nil, errors.New("platform out")
					}
					return []platform.Host{leaving}, nil
				})
				go g.pollHosts(context.Background(), answer)
				begin = time.Now()
				g.AwaitFresh()
				took := time.Since(begin)
				is.Equal(g.Services("stock")[0].Accepting, out)
				is.Equal(took == maxListWait, out)
				begin = time.Now()
				g.AwaitFresh()
				is.Equal(time.Since(begin), time.Duration(0))
				synctest.Wait()
			})
		})
	}
}
