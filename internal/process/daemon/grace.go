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

// Fits reports whether work that has ended by the time at can still be started.
func (g *Grace) Fits(at time.Time) bool { return !g.Stopping() || !at.After(g.end) }

// Bound returns a copy of ctx that ends with the cause ErrStopping at the end of the grace
// period.
func (g *Grace) Bound(ctx context.Context) (context.Context, context.CancelFunc) {
	return endAfter(ctx, g.ended, func() bool { return true })
}

// BoundUnless returns a copy of ctx that ends with the cause ErrStopping when the stop begins,
// unless fits returns true at that moment.
func (g *Grace) BoundUnless(ctx context.Context, fits func() bool) (context.Context, context.CancelFunc) {
	return endAfter(ctx, g.begun, func() bool { return !fits() })
}

// AtEnd calls f in a goroutine of its own at the end of the grace period. stop prevents that;
// it returns false if f has been called.
func (g *Grace) AtEnd(f func()) (stop func() bool) { return context.AfterFunc(g.ended, f) }

// endAfter returns a copy of ctx that ends with the cause ErrStopping when event ends, if
// condition returns true then.
func endAfter(ctx, event context.Context, condition func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(event, func() {
		if condition() {
			cancel(ErrStopping)
		}
	})
	return ctx, func() { release(); cancel(nil) }
}
