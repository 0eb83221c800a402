package revision

import (
	"context"
	"sync"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/request/pause"
)

// bootstrap queries the platform and all peers until one of them returns a revision.
// The highest revision of a round is installed before the gateway becomes ready.
func (s *Syncer) bootstrap(ctx context.Context) error {
	for {
		s.queryAll(ctx)
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

// queryAll queries the platform and all peers, and waits until each has responded or
// timed out.
func (s *Syncer) queryAll(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.poll(ctx) })
	for _, p := range s.Peers() {
		wg.Go(func() { s.fetch(ctx, p) })
	}
}
