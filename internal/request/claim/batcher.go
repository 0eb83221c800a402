package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"persimmonwing/internal/connection/platform"
)

// batcher groups the writes of many requests into one transaction, because the
// table accepts several hundred writes a second and a transaction is one.
type batcher struct {
	table   Table
	rows    int
	wait    time.Duration
	timeout time.Duration

	mu      sync.Mutex
	current *batch
}

type batch struct {
	writes []*write
	timer  *time.Timer
}

type write struct {
	op   platform.CondPut
	done chan writeResult
}

type writeResult struct {
	put platform.PutResult
	err error
}

// put writes one row. Its error has platform.ErrNotApplied or
// platform.ErrUnknownOutcome in the chain.
func (b *batcher) put(ctx context.Context, op platform.CondPut) (platform.PutResult, error) {
	w := &write{op: op, done: make(chan writeResult, 1)}
	b.add(w)
	select {
	case r := <-w.done:
		return r.put, r.err
	case <-ctx.Done():
	}
	outcome := platform.ErrUnknownOutcome
	if b.withdraw(w) {
		outcome = platform.ErrNotApplied
	}
	return platform.PutResult{}, platform.NewError("claim.batch", "table", outcome, ctx.Err())
}

// add puts w into the open batch. A second write of a key goes into the next
// batch, since a transaction may write each key only once.
func (b *batcher) add(w *write) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil && b.current.has(w.op.Key) {
		b.flush()
	}
	if b.current == nil {
		open := &batch{}
		open.timer = time.AfterFunc(b.wait, func() { b.expire(open) })
		b.current = open
	}
	b.current.writes = append(b.current.writes, w)
	if len(b.current.writes) >= b.rows {
		b.flush()
	}
}

func (t *batch) has(key string) bool {
	return slices.ContainsFunc(t.writes, func(w *write) bool { return w.op.Key == key })
}

func (b *batcher) expire(t *batch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == t {
		b.flush()
	}
}

// flush sends the open batch; the caller holds mu.
func (b *batcher) flush() {
	t := b.current
	b.current = nil
	t.timer.Stop()
	if len(t.writes) > 0 {
		go b.send(t.writes)
	}
}

// withdraw removes a write that was not sent and reports whether it did.
func (b *batcher) withdraw(w *write) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == nil {
		return false
	}
	i := slices.Index(b.current.writes, w)
	if i < 0 {
		return false
	}
	b.current.writes = slices.Delete(b.current.writes, i, i+1)
	return true
}

// send has a deadline of its own: one request that gives up must not fail the
// writes of the others.
func (b *batcher) send(writes []*write) {
	ops := make([]platform.CondPut, 0, len(writes))
	for _, w := range writes {
		ops = append(ops, w.op)
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	results, err := b.table.Txn(ctx, ops)
	for i, w := range writes {
		if err != nil {
			w.done <- writeResult{err: err}
			continue
		}
		w.done <- writeResult{put: results[i]}
	}
}
