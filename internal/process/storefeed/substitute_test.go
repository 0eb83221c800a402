package storefeed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against gateways that the store rejects while it serves others, and that have no reader to follow: they must know
// changes within the 2 s of the smallest deployments and be confirmed within 3 s, and only they may call the store more often.
func TestGatewaysThatTheStoreRejects(t *testing.T) {
	const changeBound, ageBound = 2 * time.Second, 3 * time.Second
	for name, rejected := range map[string][]int{
		"the reader of all": {0}, "the readers of three data centres": {0, 1, 2}, "the readers of all data centres": {0, 1, 2, 3},
		"all but one": {0, 1, 2, 3, 4}, "a reader and its follower": {0, 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dc := newDataCentres(t, 6, 4)
			time.Sleep(2 * feedWait)
			for _, i := range rejected {
				dc.members[i].source.cut.Store(true)
			}
			time.Sleep(2 * feedWait)
			for round := range 2 {
				row := fmt.Sprint("added ", round)
				dc.store.put(row, false)
				dc.eventually(t, "all know the new row", func(m *member) bool { return m.has(row) }, changeBound)
				for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
					for _, m := range dc.members {
						if age := m.age(); age > ageBound {
							t.Fatalf("the confirmation of %s is %v old", m.name, age)
						}
					}
				}
			}
			for i, m := range dc.members {
				m.copies.mu.Lock()
				is.Equal(m.copies.tables[testTable].lost, slices.Contains(rejected, i)) // followers must not read the store through it
				m.copies.mu.Unlock()
				m.source.cut.Store(false)
			}
			dc.store.put("first", true)
			dc.eventually(t, "all know the dropped row", func(m *member) bool { return !m.has("first") }, changeBound)
		})
	}
}

// Guards against gateways that read each other's copies in a circle while none of them can read the store.
func TestNoSubstituteWhenTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	dc := newDataCentres(t, 6, 3)
	time.Sleep(feedWait)
	dc.store.set(func() { dc.store.down = true })
	time.Sleep(2 * maxCopyAge)
	began := time.Now()
	for _, m := range dc.members {
		is.True(m.age() > 2*maxCopyAge-followedFeedWait)
	}
	time.Sleep(time.Second)
	for _, m := range dc.members {
		is.True(m.age() > 2*maxCopyAge-followedFeedWait+time.Since(began))
	}
}
