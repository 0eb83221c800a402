package storefeed

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// overtaken is a store with a table whose every whole read is overtaken by a change of another table.
type overtaken struct{ newest *Newest }

// List implements Source.
func (s overtaken) List(context.Context, string) (Rows, error) {
	at := s.newest.Load()
	s.newest.Raise(Position{at.Era, at.Revision + 1})
	return Rows{Rows: []Row{{Key: "row", Revision: 1}}, Revision: at.Revision, Era: at.Era}, nil
}

// Feed implements Source.
func (s overtaken) Feed(ctx context.Context, _ string, since int64, wait time.Duration) (Rows, error) {
	<-ctx.Done()
	return Rows{}, ctx.Err()
}

// Guards against a whole table that counts as out of date, and is read again after a pause, because this process has read a later change
// of another table while it waited for the response. Where servers change all the time, a table was read only at the third try or later.
func TestWholeTableThatIsOvertakenIsRead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	newest := new(Newest)
	newest.Raise(Position{Era: 1, Revision: 100})
	read := make(chan struct{}, 1)
	w := &Watcher{
		Source: overtaken{newest}, Table: testTable, Logger: log.NewNopLogger(), Newest: newest,
		Sync: func(time.Time, []Row) { read <- struct{}{} }, Change: func(time.Time, []Row) {},
		Confirmed: func(time.Duration) {}, Recovered: func(time.Time) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	got := false
	select {
	case <-read:
		got = true
	case <-time.After(2 * time.Second):
	}
	is.True(got) // the table is read
}
