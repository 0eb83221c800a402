package revision

import (
	"context"
	"sync"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/request/pause"
)

// start asks the platform and all peers until one of them gives a revision.
// The highest answer of a round is in force before the gateway becomes ready.
func (s *Syncer) start(ctx context.Context) error {
	for {
		s.askAll(ctx)
		if s.Holder.Current() != nil {
			s.ready.Store(true)
			level.Info(s.Logger).Log("msg", "The catalogue is ready.", "revision", s.Holder.Number())
			return nil
		}
		if pause.For(ctx, s.interval()) != nil {
			return ctx.Err()
		}
	}
}

// askAll waits for every answer or its timeout.
func (s *Syncer) askAll(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.poll(ctx) })
	for _, p := range s.Peers() {
		wg.Go(func() { s.fetch(ctx, p) })
	}
}
