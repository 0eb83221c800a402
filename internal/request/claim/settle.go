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

// settleWorkers is the number of rows that are settled concurrently; their writes
// share transactions.
const settleWorkers = 64

// settlement is the final write of a claim under a nonce.
type settlement struct {
	key   string
	nonce string
	value []byte
	// ifRevision is the revision on which an earlier write of this nonce was conditional,
	// or the revision of the claimed row.
	ifRevision int64
	// retry is set if an earlier write of this settlement had no answer.
	retry bool
}

// settle retries the write until the row is settled or ctx ends. After that, no
// delayed write can claim the row under the nonce.
func (s *Store) settle(ctx context.Context, t settlement) error {
	write := func() (struct{}, error) { return struct{}{}, s.settleOnce(ctx, &t) }
	_, err := backoff.Retry(ctx, write, backoff.WithBackOff(newBackOff()), backoff.WithMaxElapsedTime(0))
	return err
}

// settleOnce first writes on condition of ifRevision: if that succeeds, a delayed
// claim write of this nonce can no longer be applied.
func (s *Store) settleOnce(ctx context.Context, t *settlement) error {
	for {
		op := platform.CondPut{Key: t.key, Value: t.value, IfRevision: t.ifRevision}
		put, err := s.put(ctx, op, t.retry)
		t.retry = t.retry || err != nil
		if err != nil || put.Applied {
			return err
		}
		stored, err := decode(put.Row)
		if err != nil || !stored.claimedBy(t.nonce) {
			// An earlier write settled the row, or another nonce has claimed it.
			return nil
		}
		t.ifRevision = put.Row.Revision
	}
}

// settleLater queues a settlement for Run. If the queue is full, the settlement is
// dropped and the row stays claimed: resends are then refused with call_in_progress,
// which is safe.
func (s *Store) settleLater(t settlement) {
	s.unsettled.Add(1)
	select {
	case s.queue <- t:
	default:
		s.unsettled.Add(-1)
		level.Warn(s.options.Logger).Log("msg", "settlement dropped, queue is full", "row", t.key)
	}
}

// Run settles queued rows in the background until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range settleWorkers {
		workers.Go(func() { s.settleQueued(ctx) })
	}
	workers.Wait()
	return ctx.Err()
}

// drainPoll is the interval at which Drain checks the number of unsettled rows.
const drainPoll = 20 * time.Millisecond

// Drain waits until Run has settled all queued rows or ctx ends. Rows that are not
// settled by then stay claimed, and resends of their calls are refused.
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

func (s *Store) settleQueued(ctx context.Context) {
	for {
		select {
		case t := <-s.queue:
			// settle fails only when ctx has ended.
			if s.settle(ctx, t) == nil {
				s.unsettled.Add(-1)
			}
		case <-ctx.Done():
			return
		}
	}
}
