// Package pause waits for a time that a context can cut short.
package pause

import (
	"context"
	"time"
)

// For returns nil when d has passed, or the context's error if it ended first.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}
