package storefeed

import (
	"context"
	"sync/atomic"
	"testing"

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
	w.askForLater(context.Background())
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
	w.askForLater(context.Background())
	var r Reply
	is.NoErr(starting.Service().Feed(&Args{Table: testTable, Since: needsList}, &r))
	is.Equal(len(r.Rows), 1)
	is.Equal(string(r.Rows[0].Value), "later")
	is.Equal(r.Revision, int64(5))
}
