// Package pause provides a sleep that ends early with a context.
package pause

import (
	"context"
	"time"
)

// For sleeps for d and returns nil. If ctx ends first, it returns the context's error.
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
