package storefeed

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// Guards against a gateway that starts, asks one that has just started too and has read nothing, and asks no other.
func TestLaterRowsAreAskedOfAGatewayThatHasThem(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	dc := &dataCentre{store: &fakeStore{rows: map[string]Row{}, calls: map[string]int{}}}
	for _, name := range []string{"first", "second", "starting"} {
		m := &member{name: name, dc: dc, rows: map[string]bool{}}
		m.source.store, m.source.gateway = dc.store, name
		m.copies = NewCopies(m, m, log.NewNopLogger())
		dc.members = append(dc.members, m)
	}
	// The first has read nothing yet. The second has the later row.
	dc.members[1].copies.update(testTable, result{Rows: Rows{Rows: []Row{{Key: "later", Revision: 9}}, Revision: 9}, whole: true})
	var asked, got atomic.Int64
	w := &Watcher{Copies: dc.members[2].copies, Table: testTable, Logger: log.NewNopLogger(), Later: func(_ string, rows []Row) []Row {
		asked.Add(1)
		got.Add(int64(len(rows)))
		return nil
	}}
	w.askForLater(context.Background(), func() {})
	t.Logf("Later was called %d times with %d rows", asked.Load(), got.Load())
	is.Equal(got.Load(), int64(1))
}

// Guards against a gateway that has learned a later row from another one, and gives the older one to gateways that read its copy.
func TestLaterRowsArePassedOn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	dc := &dataCentre{store: &fakeStore{rows: map[string]Row{}, calls: map[string]int{}}}
	for _, name := range []string{"known", "starting"} {
		m := &member{name: name, dc: dc, rows: map[string]bool{}}
		m.source.store, m.source.gateway = dc.store, name
		m.copies = NewCopies(m, m, log.NewNopLogger())
		dc.members = append(dc.members, m)
	}
	table := func(value string, revision int64) result {
		return result{Rows: Rows{Rows: []Row{{Key: "row", Value: []byte(value), Revision: revision}}, Revision: revision}, whole: true}
	}
	starting := dc.members[1].copies
	dc.members[0].copies.update(testTable, table("later", 9))
	starting.update(testTable, table("older", 5))
	w := &Watcher{Copies: starting, Table: testTable, Logger: log.NewNopLogger(), Later: func(_ string, rows []Row) []Row { return rows }}
	w.askForLater(context.Background(), func() {})
	var r Reply
	is.NoErr(starting.Service().Feed(&Args{Table: testTable, Since: needsList}, &r))
	is.Equal(len(r.Rows), 1)
	is.Equal(string(r.Rows[0].Value), "later")
	is.Equal(r.Revision, int64(5))
}

// laterCount runs a watcher of a table that is confirmed only after others were asked, and returns the number of their answers.
func laterCount(t *testing.T, m *member) *atomic.Int64 {
	var n atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{Source: &m.source, Copies: m.copies, Table: testTable, Logger: log.NewNopLogger(), Newest: new(Newest),
		Sync: func(_ time.Time, rows []Row) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.rows = map[string]bool{}
			for _, r := range rows {
				m.rows[r.Key] = true
			}
		},
		Change: func(_ time.Time, rows []Row) {
			m.mu.Lock()
			defer m.mu.Unlock()
			for _, r := range rows {
				m.rows[r.Key] = !r.Tombstone
			}
		},
		Confirmed: func(at time.Duration) { m.mu.Lock(); m.confirm = max(m.confirm, at); m.mu.Unlock() },
		Recovered: func(time.Time) {},
		AskFirst:  true, Later: func(string, []Row) []Row { n.Add(1); return nil },
	}
	ended := make(chan struct{})
	go func() { defer close(ended); _ = w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return &n
}

// Guards against a gateway that was cut off while a row was written, and that confirms the older copy of the store after its return
// without asking the gateways that know the row.
func TestGatewayThatWasCutOffAsksForLaterRowsAfterTheReturn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	dc := &dataCentre{store: &fakeStore{rows: map[string]Row{}, calls: map[string]int{}}}
	dc.store.put("first", false)
	copied := dc.store.now()
	names := []string{"g1", "g2", "g3"}
	for _, name := range names {
		m := &member{name: name, dc: dc, rows: map[string]bool{}}
		m.source.store, m.source.gateway = dc.store, name
		dc.members = append(dc.members, m)
	}
	slices.SortFunc(dc.members, byRank)
	var laters []*atomic.Int64
	for _, m := range dc.members {
		m.copies = NewCopies(m, m, log.NewNopLogger())
	}
	for _, m := range dc.members {
		laters = append(laters, laterCount(t, m))
	}
	dc.eventually(t, "all have read", func(m *member) bool { return m.has("first") }, 2*time.Second)
	first := dc.members[0]
	first.frozen.Store(true)
	first.source.hangs.Store(true)
	time.Sleep(feedWait + storeTimeout)
	dc.store.put("revocation", false)
	rest := dc.without(first)
	rest.eventually(t, "the others know it", func(m *member) bool { return m.has("revocation") }, 4*time.Second)
	before := laters[0].Load()
	dc.store.set(func() { dc.store.goAway(false) })
	time.Sleep(100 * time.Millisecond)
	dc.store.set(func() { dc.store.comeBack(copied) })
	first.frozen.Store(false)
	first.source.hangs.Store(false)
	time.Sleep(2 * time.Second)
	t.Logf("the age of the confirmation is %v, it knows the row %v, it has asked %d times since", first.age(), first.has("revocation"), laters[0].Load()-before)
	is.True(first.age() > 2*time.Second || laters[0].Load() > before)
}
