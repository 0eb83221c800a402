// Package storefeed follows tables of the platform's store. A few gateways of a data
// centre read the store; the others follow the copies of these readers, because each
// call to the store has a price and the store bounds their rate.
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
	// Tombstone marks a row that was dropped.
	Tombstone bool
}

// Rows is an answer about the rows of one table.
type Rows struct {
	Rows []Row
	// Revision is the newest of the store, at which the answer was made.
	Revision int64
}

// ErrHistoryGone is the answer of a source that no longer knows what changed behind
// a revision.
var ErrHistoryGone = eris.New("history is gone")

// Source reads the store.
type Source interface {
	// List reads all rows of a table.
	List(ctx context.Context, table string) (Rows, error)
	// Feed returns the rows that changed behind a revision, and waits for the first.
	Feed(ctx context.Context, table string, since int64, wait time.Duration) (Rows, error)
}
