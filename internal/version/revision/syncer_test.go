package revision

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/version/catalogue"
)

// Guards against an accepted edit that is not installed within 5 s, and against a
// gateway that is ready without a revision, under each kind of loss of the platform.
func TestSyncFaults(t *testing.T) {
	edit := func(c *cluster, base int64) {
		e := c.editor()
		// The operator's wall clock jumps back with each edit, which must have no
		// effect.
		e.Now = func() time.Time { return time.Unix(1e9-base*1e6, 0) }
		if _, err := e.Apply(context.Background(), base, body(int(base)), "ann", "m"); err != nil {
			c.problem = err.Error()
		}
	}
	cases := map[string]func(c *cluster) string{
		"plain": func(c *cluster) string {
			edit(c, 1)
			time.Sleep(5 * time.Second)
			return c.allAt(2)
		},
		"platform out right after acceptance": func(c *cluster) string {
			edit(c, 1)
			c.cut(0, true, false) // only data centre 1 can read the edit from the platform
			time.Sleep(1200 * time.Millisecond)
			c.setDown(true)
			time.Sleep(3800 * time.Millisecond)
			return c.allAt(2)
		},
		"data centre cut off, then healed": func(c *cluster) string {
			c.cut(1, true, true)
			edit(c, 1)
			time.Sleep(time.Minute)
			if n := c.gateways[5].Holder.Number(); n != 1 {
				return fmt.Sprintf("revision %d crossed the cut", n)
			}
			c.cut(1, false, false)
			time.Sleep(5 * time.Second)
			return c.allAt(2)
		},
		"elected pollers lost": func(c *cluster) string {
			c.stop(0)
			c.stop(1)
			c.cut(0, false, true)
			edit(c, 1)
			time.Sleep(5 * time.Second)
			if n := c.gateways[2].Holder.Number(); n != 2 {
				return fmt.Sprintf("the gateway without pollers is at %d", n)
			}
			return ""
		},
		"confirmed revision can't be fetched from peers": func(c *cluster) string {
			c.boot(2)
			isolated := c.gateways[2]
			time.Sleep(time.Second)
			for _, i := range []int{0, 1, 3, 4, 5} {
				c.stop(i)
			}
			edit(c, 1)
			for range 5 {
				isolated.ObserveConfirmation(2, time.Now())
				time.Sleep(time.Second)
			}
			if n := isolated.Holder.Number(); n != 2 {
				return fmt.Sprintf("the gateway that can't fetch is at %d", n)
			}
			return ""
		},
		"start while the platform is out": func(c *cluster) string {
			c.setDown(true)
			c.boot(4)
			time.Sleep(5 * time.Second)
			return c.allAt(1)
		},
		"start with neither": func(c *cluster) string {
			c.setDown(true)
			for i := range c.gateways {
				c.stop(i)
			}
			for i := range c.gateways {
				c.boot(i)
			}
			time.Sleep(time.Minute)
			for i, g := range c.gateways {
				if g.Ready() {
					return fmt.Sprintf("gateway %d is ready without a revision", i)
				}
			}
			c.setDown(false)
			time.Sleep(5 * time.Second)
			return c.allAt(1)
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster()
				edit(c, 0)
				c.run(func() {
					time.Sleep(5 * time.Second)
					if problem := c.allAt(1) + steps(c); problem != "" {
						t.Error(problem)
					}
				})
			})
		})
	}
}

// Guards against a peer that makes a gateway install an older revision or a body that
// does not belong to the revision.
func TestHolderRefuses(t *testing.T) {
	is := is.New(t)
	h := &Holder{}
	good := func(n int64) Revision { return Revision{Number: n, Digest: catalogue.Digest(body(int(n)))} }
	done, err := h.Accept(good(5), body(5))
	is.NoErr(err)
	is.True(done)
	done, err = h.Accept(good(4), body(4))
	is.NoErr(err)
	is.True(!done) // older
	done, _ = h.Accept(Revision{Number: 5, Digest: good(6).Digest}, body(6))
	is.True(!done) // same number
	_, err = h.Accept(good(6), body(7))
	is.True(errors.Is(err, ErrDigest))
	bad := []byte("workspaces: []")
	_, err = h.Accept(Revision{Number: 6, Digest: catalogue.Digest(bad)}, bad)
	var invalid *catalogue.InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(h.Number(), int64(5))
}

// Guards against a revision that decreases at a gateway, and against one that is not
// installed everywhere 5 s after the last fault ended, under any order of edits, network
// cuts, outages, restarts and reordered responses.
func TestSyncProperty(t *testing.T) {
	type step struct{ what, centre, wait int }
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{rapid.IntRange(0, 5).Draw(t, "what"), rapid.IntRange(0, 1).Draw(t, "centre"), rapid.IntRange(0, 2500).Draw(t, "wait ms")}
	}), 1, 12)
	rapid.Check(t, func(rt *rapid.T) {
		plan := steps.Draw(rt, "steps")
		var problem string
		synctest.Test(t, func(*testing.T) {
			c := newCluster()
			c.responseDelay = 250 * time.Millisecond
			head := int64(0)
			c.run(func() {
				for _, s := range append([]step{{what: 0}}, plan...) {
					switch s.what {
					case 0, 1:
						if _, err := apply(c.editor(), head, int(head)); err == nil {
							head++
						}
					case 2:
						c.cut(s.centre, s.wait%2 == 0, s.wait%3 == 0)
					case 3:
						c.setDown(s.wait%2 == 0)
					case 4:
						c.boot(s.centre*gatewaysPerCentre + s.wait%gatewaysPerCentre)
					case 5:
						c.cut(s.centre, false, false)
					}
					time.Sleep(time.Duration(s.wait) * time.Millisecond)
				}
				c.setDown(false)
				c.cut(0, false, false)
				c.cut(1, false, false)
				time.Sleep(5 * time.Second)
				problem = c.allAt(head)
			})
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// countedSource counts the reads of the head.
type countedSource struct {
	Source
	reads atomic.Int64
}

func (s *countedSource) Head(ctx context.Context) (Revision, error) {
	s.reads.Add(1)
	return s.Source.Head(ctx)
}

// Guards against a standby controller that polls as often as a gateway. Also guards
// against one that does not poll soon after it became active, or that counts a failed
// poll as a successful one.
func TestStandbyPollsRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakePlatform()
		source := &countedSource{Source: f.editor().Store}
		_, err := f.editor().Apply(t.Context(), 0, body(0), "ann", "m")
		is.NoErr(err)
		var active atomic.Bool
		s := NewSyncer(SyncerConfig{Holder: &Holder{}, Source: source, Peers: func() []Peer { return nil }, Poller: active.Load,
			MaxUnconfirmed: time.Minute, Logger: log.NewNopLogger(), Rand: rand.New(rand.NewPCG(1, 1))})
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		time.Sleep(10 * time.Minute)
		is.True(s.Ready())
		is.True(source.reads.Load() <= 11)
		f.setDown(true)
		active.Store(true)
		since := time.Now()
		time.Sleep(3 * time.Second)
		is.True(!s.PolledSince(since))
		f.setDown(false)
		time.Sleep(1200 * time.Millisecond)
		is.True(s.PolledSince(since))
		cancel()
	})
}
