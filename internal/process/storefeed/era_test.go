package storefeed

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/process/boottime"
)

// Guards against a store that is not believed until its revision has passed the newest one that was read before it came back
// from an older copy, and against rows that are written again below that revision and never read. Followers learn both
// from their reader, which may be behind or ahead of them.
func TestStoreThatComesBackFromAnOlderCopyIsRead(t *testing.T) {
	for name, written := range map[string]int{"below the known revision": 1, "beyond the known revision": 200} {
		t.Run(name, func(t *testing.T) {
			dc := newDataCentres(t, 6, 3)
			for range 100 {
				dc.store.put("filler", false)
			}
			dc.store.put("lost", false)
			dc.eventually(t, "all know the row that will be lost", func(m *member) bool { return m.has("lost") }, 2*time.Second)
			for range 2 {
				dc.store.set(func() { dc.store.goAway(false) })
				time.Sleep(retryBase)
				dc.store.set(func() { dc.store.comeBack(50) })
				dc.store.put("written again", false)
				for range written {
					dc.store.put("filler", false)
				}
				dc.eventually(t, "all have read the older copy and what was written since", func(m *member) bool {
					return m.has("written again") && !m.has("lost")
				}, 2*MaxRecoveryDelay)
				dc.eventually(t, "all have confirmed it", func(m *member) bool { return m.age() < 2*followedFeedWait }, 2*MaxRecoveryDelay)
			}
		})
	}
}

// Guards against copies of a former era that are taken for the present one because their revision is higher, and against a
// follower that gets the changes since a revision of another era.
func TestCopiesOfAnotherEra(t *testing.T) {
	is := is.New(t)
	c := NewCopies(nil, nil, log.NewNopLogger())
	c.update(testTable, result{Rows: Rows{Rows: []Row{{Key: "old", Revision: 150}}, Revision: 150, Era: 1}, whole: true, confirmedAt: boottime.Now()})
	c.update(testTable, result{Rows: Rows{Rows: []Row{{Key: "new", Revision: 121}}, Revision: 121, Era: 2}, whole: true, confirmedAt: boottime.Now()})
	feed := func(since, era int64) (r Reply) {
		is.NoErr(c.Service().Feed(&Args{Table: testTable, Since: since, Era: era, HasEra: true}, &r))
		return r
	}
	r := feed(150, 1)
	is.True(r.Whole)
	is.Equal(len(r.Rows), 1)
	is.Equal(Position{r.Era, r.Revision}, Position{2, 121})
	_, outcome := r.result(Position{1, 150}, Position{1, 150}, 0)
	is.Equal(outcome, copyFresh)
	is.True(feed(121, 3).Lost) // this gateway has not read the era that the follower knows
	is.True(!feed(121, 2).Whole)
	behind := Reply{Era: 1, Revision: 150}
	_, outcome = behind.result(Position{2, 121}, Position{2, 121}, 0)
	is.Equal(outcome, copyNone)
}
