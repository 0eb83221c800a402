// Package storefeed replicates tables of the platform's store to this process. In each
// data centre a few gateways, the readers, read from the store. The other gateways follow
// a reader: they fetch its copies of the tables. This is because each call to the store
// costs money and the store limits the call rate.
package storefeed

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Row is a row of a table.
type Row struct {
	Key      string
	Value    []byte
	Revision int64
	// Tombstone marks a deleted row.
	Tombstone bool
}

// Rows is a response with rows of one table.
type Rows struct {
	Rows []Row
	// Revision is the newest revision of the store when it made the response.
	Revision int64
}

// ErrHistoryGone is returned by a source that no longer has the changes made after the
// requested revision.
var ErrHistoryGone = eris.New("history is gone")

// Source reads the store.
type Source interface {
	// List reads all rows of a table.
	List(ctx context.Context, table string) (Rows, error)
	// Feed returns the rows of a table that changed after revision since. If there are
	// none, it waits up to wait for the first change. It returns ErrHistoryGone if the
	// changes are no longer known.
	Feed(ctx context.Context, table string, since int64, wait time.Duration) (Rows, error)
}
