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

// sender writes rows of distinct keys and returns one result for each.
type sender interface {
	send(ctx context.Context, ops []platform.CondPut) []writeResult
}

// direct writes rows to the table in one transaction.
type direct struct {
	table Table
	sent  *atomic.Int64
}

func (d direct) send(ctx context.Context, ops []platform.CondPut) []writeResult {
	d.sent.Add(1)
	puts, err := d.table.Txn(ctx, ops)
	if err != nil {
		return repeated(len(ops), err)
	}
	results := make([]writeResult, len(ops))
	for i := range results {
		results[i].put = puts[i]
	}
	return results
}

// repeated returns n results with one error.
func repeated(n int, err error) []writeResult {
	return slices.Repeat([]writeResult{{err: err}}, n)
}

// maxLater bounds the rows that wait for a place in a batch.
const maxLater = 4096

var (
	errBatcherFull = errors.New("too many writes wait")
	errExpired     = errors.New("the deadline passed before the write was sent")
)

// batcher groups the writes of many requests into one transaction, because the
// table accepts several hundred writes a second and a transaction is one.
type batcher struct {
	to   sender
	rows int
	// A batch is sent when its first row has waited for wait, but no sooner than
	// pace after the last one; a full batch is sent at once.
	wait, pace time.Duration
	timeout    time.Duration

	mu sync.Mutex
	// open is the next batch. It has distinct keys, since a transaction may write
	// each key only once; later holds the rows that must wait for another batch.
	open, later []*write
	timer       *time.Timer
	last        time.Time
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

// put writes one row. Its error has platform.ErrNotApplied or
// platform.ErrUnknownOutcome in the chain.
func (b *batcher) put(ctx context.Context, op platform.CondPut) (platform.PutResult, error) {
	r := b.send(ctx, []platform.CondPut{op})[0]
	return r.put, r.err
}

// send implements sender. The rows may go into several batches.
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
	if len(b.later) >= maxLater {
		w.done <- writeResult{err: batchError(platform.ErrNotApplied, errBatcherFull)}
		return
	}
	b.place(w)
}

// place puts w into the open batch if that has no row of the same key; the
// caller holds mu.
func (b *batcher) place(w *write) {
	if slices.ContainsFunc(b.open, func(o *write) bool { return o.op.Key == w.op.Key }) {
		b.later = append(b.later, w)
		return
	}
	b.open = append(b.open, w)
	if len(b.open) >= b.rows {
		b.flush()
	} else if b.timer == nil {
		b.arm()
	}
}

// arm sets the time at which the open batch is sent; the caller holds mu.
func (b *batcher) arm() {
	delay := b.wait
	if b.pace > 0 {
		delay = max(delay, b.pace-time.Since(b.last))
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

// flush sends the open batch and opens the next one; the caller holds mu.
func (b *batcher) flush() {
	writes, later := b.open, b.later
	b.open, b.later = nil, nil
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	if writes = unexpired(writes); len(writes) > 0 {
		b.last = time.Now()
		go b.write(writes)
	}
	for _, w := range later {
		b.place(w)
	}
}

// unexpired drops writes whose senders no longer wait: after a pause of the
// process they would only leave claims that nobody holds.
func unexpired(writes []*write) []*write {
	now := time.Now()
	return slices.DeleteFunc(writes, func(w *write) bool {
		expired := !w.deadline.IsZero() && !now.Before(w.deadline)
		if expired {
			w.done <- writeResult{err: batchError(platform.ErrNotApplied, errExpired)}
		}
		return expired
	})
}

// withdraw removes a write that was not sent and reports whether it did.
func (b *batcher) withdraw(w *write) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, waiting := range []*[]*write{&b.open, &b.later} {
		if i := slices.Index(*waiting, w); i >= 0 {
			*waiting = slices.Delete(*waiting, i, i+1)
			return true
		}
	}
	return false
}

// write has a deadline of its own: one request that gives up must not fail the
// writes of the others.
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
