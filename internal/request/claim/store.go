// Package claim makes sure that a non-idempotent call is dispatched at most
// once: a row of the platform's table is claimed under a nonce before dispatch.
package claim

import (
	"context"
	"errors"
	"sync/atomic"
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
	// Collectors returns the gateways of this data centre that may write for the
	// others, in the same order at each of them as far as their views agree. Nil
	// or an empty result means that all writes go directly to the table.
	Collectors func() []Collector
	// Caller reaches collectors.
	Caller Caller
	// CollectPace is the least time between two transactions of a collector,
	// unless a batch is full.
	CollectPace time.Duration
	// CollectTimeout is the time in which a collector answers, with an unknown
	// outcome if the table is slower; CollectGrace is added by the sender, and a
	// collector that has not answered by then is not asked again for CollectRest.
	CollectTimeout time.Duration
	CollectGrace   time.Duration
	CollectRest    time.Duration
	Logger         log.Logger
}

// DefaultOptions returns the limits of the design.
func DefaultOptions() Options {
	return Options{
		BatchRows:      64,
		BatchWait:      4 * time.Millisecond,
		TxnTimeout:     time.Second,
		ResolveTimeout: 2 * time.Second,
		QueueSize:      4096,
		// A call waits for the pace twice, to claim and to settle, each time evenly
		// spread over it: 67 ms at p95. Each data centre makes 25 transactions/s.
		CollectPace:    40 * time.Millisecond,
		CollectTimeout: 300 * time.Millisecond,
		CollectGrace:   100 * time.Millisecond,
		// Gossip counts a lost gateway dead after 3 s.
		CollectRest: 3 * time.Second,
		Logger:      log.NewNopLogger(),
	}
}

// Store makes claims. It is safe for concurrent use. Rows are settled in the
// background only while Run runs.
type Store struct {
	table   Table
	options Options
	// routed is for the first write of a row, repeats for later attempts of it,
	// and collected for the rows of the data centre when this gateway collects.
	routed, repeats, collected *batcher
	router                     *router
	queue                      chan settlement
	// unsettled counts the rows in the queue and those that Run is settling.
	unsettled    atomic.Int64
	transactions atomic.Int64
}

// NewStore returns a Store over a table.
func NewStore(t Table, o Options) *Store {
	s := &Store{table: t, options: o, queue: make(chan settlement, o.QueueSize)}
	table := direct{t, &s.transactions}
	s.collected = &batcher{to: table, rows: o.BatchRows, pace: o.CollectPace, timeout: o.TxnTimeout}
	s.router = &router{
		collectors: o.Collectors,
		caller:     o.Caller,
		collected:  s.collected,
		direct:     table,
		timeout:    o.CollectTimeout,
		grace:      o.CollectGrace,
		rest:       o.CollectRest,
		resting:    map[string]time.Time{},
	}
	s.routed = &batcher{to: s.router, rows: o.BatchRows, wait: o.BatchWait, timeout: o.TxnTimeout}
	s.repeats = &batcher{to: bypass{s.router}, rows: o.BatchRows, wait: o.BatchWait, timeout: o.TxnTimeout}
	return s
}

// Stats counts the writes of a Store since its start.
type Stats struct {
	// Transactions were sent to the table, Forwarded to another collector.
	Transactions, Forwarded int64
}

// Stats returns the counts so far.
func (s *Store) Stats() Stats {
	return Stats{Transactions: s.transactions.Load(), Forwarded: s.router.forwarded.Load()}
}

// put writes one row. The first write of it goes through a collector, unless
// there is none. A repeated one goes directly to the table, as does one that the
// collector certainly did not make: it may be cut off from the table.
func (s *Store) put(ctx context.Context, op platform.CondPut, repeat bool) (platform.PutResult, error) {
	if !repeat {
		put, err := s.routed.put(ctx, op)
		if !errors.Is(err, errCollected) || !errors.Is(err, platform.ErrNotApplied) {
			return put, err
		}
	}
	return s.repeats.put(ctx, op)
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
