// Package storefeed replicates tables of the platform's store to this process. In each
// data centre a few gateways, the readers, read from the store. The other gateways follow
// a reader: they fetch its copies of the tables. This is because each call to the store
// costs money and the store limits the call rate.
package storefeed

import (
	"context"
	"sync"
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
	// Revision is the newest revision of the store when it made the response, and Era the era of that revision.
	Revision, Era int64
	// Clock is the store's steady clock when it made the response, or 0 if it has not told it.
	Clock time.Duration
}

// Position returns the store's position when it made the response.
func (r *Rows) Position() Position { return Position{r.Era, r.Revision} }

// Position is a point in the history of the store. A store that comes back from an older copy begins a new era, in which it
// gives out revisions again: revisions are ordered within an era only.
type Position struct{ Era, Revision int64 }

// Before reports whether p precedes q. All positions of an era precede those of the next one.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
}

// Newest is the newest position that any watcher of this process has read. It is safe for concurrent use; the zero value
// precedes everything that a store answers.
type Newest struct {
	mu sync.Mutex
	at Position
}

// Load returns the newest position.
func (n *Newest) Load() Position {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.at
}

// Raise moves the newest position to at, unless that precedes it.
func (n *Newest) Raise(at Position) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.at.Before(at) {
		n.at = at
	}
}

// ErrHistoryGone is returned by a source that no longer has the changes made after the
// requested revision.
var ErrHistoryGone = eris.New("history is gone")

// Source reads the store.
type Source interface {
	// List reads all rows of a table.
	List(ctx context.Context, table string) (Rows, error)
	// Feed returns the rows of a table that changed after revision since of the store's present era. If there are
	// none, it waits up to wait for the first change. It returns ErrHistoryGone if the
	// changes are not known.
	Feed(ctx context.Context, table string, since int64, wait time.Duration) (Rows, error)
}
