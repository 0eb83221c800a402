package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStopping is the cause of the end of contexts that a planned stop ends.
var ErrStopping = eris.New("the process is stopping")

// Grace is the grace period of a planned stop. Every request must have its answer when it
// ends, so work that may take longer is not started.
type Grace struct {
	// begun ends when the stop begins, and ended when the grace period ends.
	begun, ended  context.Context
	begin, finish context.CancelFunc
	// start and end are set before begun ends.
	start, end time.Time
}

// NewGrace returns the grace period of a process that is not stopping.
func NewGrace() *Grace {
	g := &Grace{}
	g.begun, g.begin = context.WithCancel(context.Background())
	g.ended, g.finish = context.WithCancel(context.Background())
	return g
}

// Begin begins the stop, with d until the end of the grace period.
func (g *Grace) Begin(d time.Duration) {
	g.start = time.Now()
	g.end = g.start.Add(d)
	g.begin()
	time.AfterFunc(d, g.finish)
}

// Stopping reports whether the stop has begun. Start and End may be called after that.
func (g *Grace) Stopping() bool { return g.begun.Err() != nil }

// Start returns the time at which the stop has begun.
func (g *Grace) Start() time.Time { return g.start }

// End returns the end of the grace period.
func (g *Grace) End() time.Time { return g.end }

// MayStart reports whether work can still be started. latest returns the latest time for that,
// for work that must have ended by the time end.
func (g *Grace) MayStart(latest func(end time.Time) time.Time) bool {
	return !g.Stopping() || !time.Now().After(latest(g.end))
}

// Bound returns a copy of ctx that ends with the cause ErrStopping at the end of the grace
// period.
func (g *Grace) Bound(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(g.ended, func() { cancel(ErrStopping) })
	return ctx, func() { release(); cancel(nil) }
}

// BoundStart returns a copy of ctx that ends with the cause ErrStopping once the stop has begun
// and work can no longer be started, as defined for MayStart.
func (g *Grace) BoundStart(ctx context.Context, latest func(end time.Time) time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(g.begun, func() {
		late := time.NewTimer(time.Until(latest(g.end)))
		defer late.Stop()
		select {
		case <-late.C:
			cancel(ErrStopping)
		case <-ctx.Done():
		}
	})
	return ctx, func() { release(); cancel(nil) }
}
