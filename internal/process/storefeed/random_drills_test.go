package storefeed

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"persimmonwing/internal/process/boottime"
)

// randomDrillSeeds is the number of sequences in each run; each takes some 20 s.
const randomDrillSeeds = 1

// Guards, in random sequences of drills, rejected, silent and frozen gateways, against a confirmation that is newer than what its gateway
// knows, against calls to the store in a loop, and against a gateway that stays behind.
func TestRandomDrills(t *testing.T) {
	for seed := range uint64(randomDrillSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			dc := newDataCentres(t, 6, 3)
			rng := rand.New(rand.NewPCG(seed, 7))
			type written struct {
				key      string
				at       time.Duration
				revision int64
			}
			var mu sync.Mutex
			var rows []written
			n := 0
			put := func() {
				mu.Lock()
				defer mu.Unlock()
				n++
				key := fmt.Sprint(ownRows, "r", n)
				dc.store.put(key, false)
				rows = append(rows, written{key, boottime.Now(), dc.store.now()})
			}
			check := func(what string) {
				mu.Lock()
				defer mu.Unlock()
				for _, m := range dc.members {
					m.mu.Lock()
					for _, r := range rows {
						if m.confirm > r.at && !m.rows[r.key] {
							t.Errorf("%s: %s is confirmed as of %v and lacks %s of %v", what, m.name, m.confirm, r.key, r.at)
						}
					}
					m.mu.Unlock()
				}
			}
			stop := make(chan struct{})
			var wait sync.WaitGroup
			wait.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
						check("running")
					}
				}
			})
			busiest := 0
			away := false
			for step := 0; step < 60 && !t.Failed(); step++ {
				m := dc.members[rng.IntN(len(dc.members))]
				switch rng.IntN(9) {
				case 0:
					m.source.cut.Store(!m.source.cut.Load())
				case 1:
					m.source.hangs.Store(!m.source.hangs.Load())
				case 2:
					m.frozen.Store(!m.frozen.Load())
				case 3, 4:
					if away {
						break
					}
					mu.Lock()
					copied := int64(1)
					if len(rows) > 0 {
						copied = rows[max(0, len(rows)-1-rng.IntN(20))].revision
					}
					dc.store.set(func() { dc.store.goAway(rng.IntN(3) == 0) })
					mu.Unlock()
					time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
					mu.Lock()
					var kept []written
					for _, r := range rows {
						if r.revision <= copied {
							kept = append(kept, r)
						}
					}
					rows = kept
					dc.store.set(func() {
						dc.store.comeBack(copied)
						if rng.IntN(2) == 0 {
							dc.store.pass(copied + int64(rng.IntN(40)))
						}
					})
					mu.Unlock()
				default:
					for range 1 + rng.IntN(5) {
						put()
					}
				}
				d := time.Duration(rng.IntN(700)) * time.Millisecond
				for _, calls := range dc.callsDuring(d + time.Millisecond) {
					if d > 400*time.Millisecond {
						busiest = max(busiest, int(float64(calls)/d.Seconds()))
					}
				}
			}
			for _, m := range dc.members {
				m.source.cut.Store(false)
				m.source.hangs.Store(false)
				m.frozen.Store(false)
			}
			put()
			last := fmt.Sprint(ownRows, "r", n)
			began := time.Now()
			dc.eventually(t, "all know the last row", func(m *member) bool { return m.has(last) }, 6*time.Second)
			t.Logf("all know the last row after %v; at most %d calls a second of one gateway", time.Since(began), busiest)
			close(stop)
			wait.Wait()
			check("end")
		})
	}
}
