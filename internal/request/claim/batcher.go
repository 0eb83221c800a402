package claim

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"persimmonwing/internal/connection/platform"
)

// sender writes rows with distinct keys and returns one result for each row.
type sender interface {
	send(ctx context.Context, ops []platform.CondPut) []writeResult
}

// direct is the sender that writes rows to the table in one transaction.
type direct struct {
	table Table
	sent  *atomic.Int64
}

func (d direct) send(ctx context.Context, ops []platform.CondPut) []writeResult {
	d.sent.Add(1)
	puts, err := d.table.Txn(ctx, ops)
	if err != nil {
		return failAll(len(ops), err)
	}
	results := make([]writeResult, len(ops))
	for i := range results {
		results[i].put = puts[i]
	}
	return results
}

// failAll returns n results with the same error.
func failAll(n int, err error) []writeResult {
	return slices.Repeat([]writeResult{{err: err}}, n)
}

// maxDeferred is the maximum number of rows that wait for a later batch.
const maxDeferred = 4096

var (
	errBatcherFull = errors.New("too many writes are waiting")
	errExpired     = errors.New("the deadline passed before the write was sent")
)

// batcher groups the writes of many requests into one transaction: the table accepts
// several hundred writes per second, and a transaction counts as one write.
type batcher struct {
	to   sender
	rows int
	// maxWait is the longest time that the first row of a batch waits, unless minInterval,
	// the minimum time between two batches, has not passed yet. A full batch is sent
	// immediately.
	maxWait, minInterval time.Duration
	timeout              time.Duration

	mu sync.Mutex
	// open is the next batch. Its keys are distinct, because a transaction may write each
	// key only once. deferred contains the rows that have to wait for a later batch.
	open, deferred []*write
	timer          *time.Timer
	last           time.Time
}

type write struct {
	op       platform.CondPut
	deadline time.Time // zero for none
	done     chan writeResult
}

type writeResult struct {
	put platform.PutResult
	err error
}

// put writes one row. The error has platform.ErrNotApplied or
// platform.ErrUnknownOutcome in its chain.
func (b *batcher) put(ctx context.Context, op platform.CondPut) (platform.PutResult, error) {
	r := b.send(ctx, []platform.CondPut{op})[0]
	return r.put, r.err
}

// send implements sender. The rows may be split over several batches.
func (b *batcher) send(ctx context.Context, ops []platform.CondPut) []writeResult {
	deadline, _ := ctx.Deadline()
	writes := make([]*write, len(ops))
	for i, op := range ops {
		writes[i] = &write{op: op, deadline: deadline, done: make(chan writeResult, 1)}
		b.add(writes[i])
	}
	results := make([]writeResult, len(ops))
	for i, w := range writes {
		results[i] = b.await(ctx, w)
	}
	return results
}

func (b *batcher) await(ctx context.Context, w *write) writeResult {
	select {
	case r := <-w.done:
		return r
	case <-ctx.Done():
	}
	outcome := platform.ErrUnknownOutcome
	if b.withdraw(w) {
		outcome = platform.ErrNotApplied
	}
	return writeResult{err: batchError(outcome, ctx.Err())}
}

func batchError(outcome, cause error) error {
	return platform.NewError("claim.batch", peerTable, outcome, cause)
}

func (b *batcher) add(w *write) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.deferred) >= maxDeferred {
		w.done <- writeResult{err: batchError(platform.ErrNotApplied, errBatcherFull)}
		return
	}
	b.enqueue(w)
}

// enqueue adds w to the open batch, or to deferred if the batch already has a row with
// the same key. The caller must hold mu.
func (b *batcher) enqueue(w *write) {
	if slices.ContainsFunc(b.open, func(o *write) bool { return o.op.Key == w.op.Key }) {
		b.deferred = append(b.deferred, w)
		return
	}
	b.open = append(b.open, w)
	if len(b.open) >= b.rows {
		b.flush()
	} else if b.timer == nil {
		b.startTimer()
	}
}

// startTimer schedules the sending of the open batch. The caller must hold mu.
func (b *batcher) startTimer() {
	delay := b.maxWait
	if b.minInterval > 0 {
		delay = max(delay, b.minInterval-time.Since(b.last))
	}
	var t *time.Timer
	t = time.AfterFunc(delay, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.timer == t {
			b.flush()
		}
	})
	b.timer = t
}

// flush sends the open batch and starts the next one. The caller must hold mu.
func (b *batcher) flush() {
	writes, deferred := b.open, b.deferred
	b.open, b.deferred = nil, nil
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	if writes = dropExpired(writes); len(writes) > 0 {
		b.last = time.Now()
		go b.write(writes)
	}
	for _, w := range deferred {
		b.enqueue(w)
	}
}

// dropExpired removes writes whose senders no longer wait: after a pause of the process
// such writes would only create claims without an owner.
func dropExpired(writes []*write) []*write {
	now := time.Now()
	return slices.DeleteFunc(writes, func(w *write) bool {
		expired := !w.deadline.IsZero() && !now.Before(w.deadline)
		if expired {
			w.done <- writeResult{err: batchError(platform.ErrNotApplied, errExpired)}
		}
		return expired
	})
}

// withdraw removes a write that has not been sent yet and reports whether it did so.
func (b *batcher) withdraw(w *write) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, waiting := range []*[]*write{&b.open, &b.deferred} {
		if i := slices.Index(*waiting, w); i >= 0 {
			*waiting = slices.Delete(*waiting, i, i+1)
			return true
		}
	}
	return false
}

// write sends a batch with its own timeout: a request that times out must not fail the
// writes of others in the batch.
func (b *batcher) write(writes []*write) {
	ops := make([]platform.CondPut, 0, len(writes))
	for _, w := range writes {
		ops = append(ops, w.op)
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	for i, r := range b.to.send(ctx, ops) {
		writes[i].done <- r
	}
}
