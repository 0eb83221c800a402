// Package claim ensures that a non-idempotent call is dispatched at most once. Before
// the dispatch, a gateway claims a row of the platform's table under a unique nonce.
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

// Table is the part of the table service that a Store uses. Get returns
// platform.ErrNotFound if the row does not exist. An error of Txn has
// platform.ErrNotApplied in its chain only if nothing was written.
type Table interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	Txn(ctx context.Context, ops []platform.CondPut) ([]platform.PutResult, error)
}

// Options configures a Store.
type Options struct {
	// BatchRows and BatchWait limit a batch of writes: it is sent when it has BatchRows
	// rows or when its first row has waited for BatchWait.
	BatchRows int
	BatchWait time.Duration
	// TxnTimeout bounds one transaction.
	TxnTimeout time.Duration
	// ResolveTimeout bounds the time for which Begin tries to resolve a lost answer. It
	// stops earlier at the request's deadline.
	ResolveTimeout time.Duration
	// QueueSize is the maximum number of rows that wait to be settled in the background.
	QueueSize int
	// Collectors returns the gateways of this data centre that may write on behalf of the
	// others. The order is the same at all gateways as far as their views agree. If
	// Collectors is nil or returns none, all writes go directly to the table.
	Collectors func() []Collector
	// Caller calls collectors.
	Caller Caller
	// CollectInterval is the minimum time between two transactions of a collector, unless a
	// batch is full.
	CollectInterval time.Duration
	// CollectTimeout is the time within which a collector answers; if the table is slower,
	// the collector reports an unknown outcome. The sender waits for CollectGrace longer. A
	// collector that has not answered by then is not called again for CollectCooldown.
	CollectTimeout  time.Duration
	CollectGrace    time.Duration
	CollectCooldown time.Duration
	Logger          log.Logger
}

// DefaultOptions returns the default limits.
func DefaultOptions() Options {
	return Options{
		BatchRows:      64,
		BatchWait:      4 * time.Millisecond,
		TxnTimeout:     time.Second,
		ResolveTimeout: 2 * time.Second,
		QueueSize:      4096,
		// A call waits for the collector twice, to claim and to settle; each wait is uniformly
		// distributed over CollectInterval. Together they are 67 ms at p95. The collector of a
		// data centre makes 25 transactions/s.
		CollectInterval: 40 * time.Millisecond,
		CollectTimeout:  300 * time.Millisecond,
		CollectGrace:    100 * time.Millisecond,
		// Gossip declares a lost gateway dead after 3 s.
		CollectCooldown: 3 * time.Second,
		Logger:          log.NewNopLogger(),
	}
}

// Store creates and settles claims. It is safe for concurrent use. Rows are settled in
// the background only while Run is running.
type Store struct {
	table   Table
	options Options
	// routed batches first writes of rows, and retries batches their retries. collected
	// batches the rows of all gateways of the data centre if this gateway is the collector.
	routed, retries, collected *batcher
	router                     *router
	queue                      chan settlement
	// unsettled is the number of rows that are queued or being settled by Run.
	unsettled    atomic.Int64
	transactions atomic.Int64
}

// NewStore returns a Store that uses the table t.
func NewStore(t Table, o Options) *Store {
	s := &Store{table: t, options: o, queue: make(chan settlement, o.QueueSize)}
	table := direct{t, &s.transactions}
	s.collected = &batcher{to: table, rows: o.BatchRows, minInterval: o.CollectInterval, timeout: o.TxnTimeout}
	s.router = &router{
		collectors:    o.Collectors,
		caller:        o.Caller,
		collected:     s.collected,
		direct:        table,
		timeout:       o.CollectTimeout,
		grace:         o.CollectGrace,
		cooldown:      o.CollectCooldown,
		cooldownUntil: map[string]time.Time{},
	}
	s.routed = &batcher{to: s.router, rows: o.BatchRows, maxWait: o.BatchWait, timeout: o.TxnTimeout}
	s.retries = &batcher{to: retrySender{s.router}, rows: o.BatchRows, maxWait: o.BatchWait, timeout: o.TxnTimeout}
	return s
}

// Stats contains the numbers of writes of a Store since its creation.
type Stats struct {
	// Transactions is the number of transactions sent to the table, Forwarded the number
	// of batches sent to another gateway's collector.
	Transactions, Forwarded int64
}

// Stats returns the counts so far.
func (s *Store) Stats() Stats {
	return Stats{Transactions: s.transactions.Load(), Forwarded: s.router.forwarded.Load()}
}

// put writes one row. A first write goes through a collector if there is one. A retry
// goes directly to the table, and so does a write that the collector certainly did not
// apply, because the collector may be cut off from the table.
func (s *Store) put(ctx context.Context, op platform.CondPut, retry bool) (platform.PutResult, error) {
	if !retry {
		put, err := s.routed.put(ctx, op)
		if !errors.Is(err, errCollected) || !errors.Is(err, platform.ErrNotApplied) {
			return put, err
		}
	}
	return s.retries.put(ctx, op)
}

// Backoff between attempts of one write: short at first, because mostly single answers
// are lost, and limited to a few seconds, because an outage may be long.
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
