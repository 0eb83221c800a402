// Package claim makes sure that a non-idempotent call is dispatched at most
// once: a row of the platform's table is claimed under a nonce before dispatch.
package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"

	"persimmonwing/internal/connection/platform"
)

// Table is the part of the table service that claims need. Get returns
// platform.ErrNotFound for no row. An error of Txn has platform.ErrNotApplied
// in its chain only if nothing was written.
type Table interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	Txn(ctx context.Context, ops []platform.CondPut) ([]platform.PutResult, error)
}

// Options of a Store.
type Options struct {
	// BatchRows and BatchWait bound a batch of writes: it is sent when it has
	// this many rows or when its first row is this old.
	BatchRows int
	BatchWait time.Duration
	// TxnTimeout bounds one transaction.
	TxnTimeout time.Duration
	// ResolveTimeout bounds the time in which Begin resolves a lost answer; the
	// request's deadline ends it earlier.
	ResolveTimeout time.Duration
	// QueueSize bounds the rows that wait to be settled in the background.
	QueueSize int
	Logger    log.Logger
}

// DefaultOptions returns the limits of the design.
func DefaultOptions() Options {
	return Options{
		BatchRows:      64,
		BatchWait:      4 * time.Millisecond,
		TxnTimeout:     time.Second,
		ResolveTimeout: 2 * time.Second,
		QueueSize:      4096,
		Logger:         log.NewNopLogger(),
	}
}

// Store makes claims. It is safe for concurrent use. Rows are settled in the
// background only while Run runs.
type Store struct {
	table   Table
	options Options
	batcher *batcher
	queue   chan settlement
}

// NewStore returns a Store over a table.
func NewStore(t Table, o Options) *Store {
	return &Store{
		table:   t,
		options: o,
		batcher: &batcher{table: t, rows: o.BatchRows, wait: o.BatchWait, timeout: o.TxnTimeout},
		queue:   make(chan settlement, o.QueueSize),
	}
}

// Backoff between attempts of one write: short at first, as most losses are of
// single answers, and at most a few seconds, as an outage may be long.
const (
	backoffFirst = 20 * time.Millisecond
	backoffMax   = 5 * time.Second
)

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = backoffFirst
	b.MaxInterval = backoffMax
	return b
}
