package claim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/request/pause"
)

// settleWorkers is the number of rows that are settled at once; their writes
// share transactions.
const settleWorkers = 64

// settlement is the last write under a nonce.
type settlement struct {
	key   string
	nonce string
	value []byte
	// ifRevision is the revision on which an earlier write of this nonce was
	// conditional, or that of the claimed row.
	ifRevision int64
	// repeat tells that an earlier write of it had no answer.
	repeat bool
}

// settle writes until the row no longer can be claimed under the nonce.
func (s *Store) settle(ctx context.Context, t settlement) error {
	write := func() (struct{}, error) { return struct{}{}, s.settleOnce(ctx, &t) }
	_, err := backoff.Retry(ctx, write, backoff.WithBackOff(newBackOff()), backoff.WithMaxElapsedTime(0))
	return err
}

// settleOnce first writes on condition of ifRevision: where that succeeds, a
// claim of this nonce that is still on its way can no longer be applied.
func (s *Store) settleOnce(ctx context.Context, t *settlement) error {
	for {
		op := platform.CondPut{Key: t.key, Value: t.value, IfRevision: t.ifRevision}
		put, err := s.put(ctx, op, t.repeat)
		t.repeat = t.repeat || err != nil
		if err != nil || put.Applied {
			return err
		}
		stored, err := decode(put.Row)
		if err != nil || !stored.heldBy(t.nonce) {
			// Settled by an earlier write, or the row went to another nonce.
			return nil
		}
		t.ifRevision = put.Row.Revision
	}
}

// later queues a settlement for Run. When the queue is full the row stays
// claimed: resends are then refused as call_in_progress, which is safe.
func (s *Store) later(t settlement) {
	s.unsettled.Add(1)
	select {
	case s.queue <- t:
	default:
		s.unsettled.Add(-1)
		level.Warn(s.options.Logger).Log("msg", "settlement dropped, queue is full", "row", t.key)
	}
}

// Run settles queued rows until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range settleWorkers {
		workers.Go(func() { s.work(ctx) })
	}
	workers.Wait()
	return ctx.Err()
}

// drainPoll is the time between two looks at the rows that are not settled yet.
const drainPoll = 20 * time.Millisecond

// Drain waits, while Run runs, until all queued rows are settled or ctx ends. A
// row that is left then stays claimed, and resends are refused.
func (s *Store) Drain(ctx context.Context) error {
	for {
		left := s.unsettled.Load()
		if left == 0 {
			return nil
		}
		if pause.For(ctx, drainPoll) != nil {
			return fmt.Errorf("claim: %d rows are not settled: %w", left, ctx.Err())
		}
	}
}

func (s *Store) work(ctx context.Context) {
	for {
		select {
		case t := <-s.queue:
			// An error only tells that ctx ended.
			if s.settle(ctx, t) == nil {
				s.unsettled.Add(-1)
			}
		case <-ctx.Done():
			return
		}
	}
}
