package forward

import (
	"context"
	"errors"
	"time"

	"persimmonwing/internal/process/random"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

const (
	// pauseSpread is the time over which callers are spread that return after a pause.
	pauseSpread = 500 * time.Millisecond
	// evacuatedRetryAfter is the shortest time after which callers return while all servers of
	// a service are evacuated. Evacuations last for longer, and callers repeat rarely.
	evacuatedRetryAfter = 5 * time.Second
	// evacuatedSpread spreads their return, so that servers that were taken back get their load
	// in a ramp.
	evacuatedSpread = 5 * time.Second
)

// pausedError returns an error if all servers that could serve a request are evacuated or have asked
// for a pause.
func (f *Forwarder) pausedError(q *Request) *fault.Error {
	if f.o.Servers.AllEvacuated(q.Service) {
		wait := evacuatedRetryAfter + time.Duration(random.Shared.Int64N(int64(evacuatedSpread)))
		return fault.New(fault.NoBackend, stepPlace, "", api.NotRun, "the data centres of all servers of service %s are evacuated", q.Service).WithRetryAfter(wait)
	}
	left, paused := f.o.Servers.AllPaused(time.Now(), q.Service)
	if !paused {
		return nil
	}
	return allPausedError(q, left)
}

func allPausedError(q *Request, left time.Duration) *fault.Error {
	left += time.Duration(random.Shared.Int64N(int64(pauseSpread)))
	return fault.New(fault.NoBackend, stepPlace, "", api.NotRun, "all servers of service %s have asked for a pause", q.Service).WithRetryAfter(left)
}

// errPaused is the cause of the end of a wait for an engine when all of them are evacuated or have
// asked for a pause.
var errPaused = errors.New("all servers are evacuated or have asked for a pause")

// wait is a request's wait for an engine.
type wait struct {
	end context.CancelCauseFunc
	// gone reports whether the last engine that the request could get has left. It is nil if any engine will do.
	gone func() bool
}

// boundByServers returns a copy of ctx that ends when all servers of the service are evacuated or have asked for a pause, or
// when none is left, except for the excluded ones, of the software version to which the stream is bound.
func (r *run) boundByServers(ctx context.Context, excluded []string) (context.Context, context.CancelFunc) {
	f, service := r.f, r.q.Service
	ctx, end := context.WithCancelCause(ctx)
	w := &wait{end: end}
	if r.bound {
		w.gone = func() bool { return !r.versionLeft(excluded) }
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waits[service] == nil {
		f.waits[service] = map[*wait]struct{}{}
	}
	f.waits[service][w] = struct{}{}
	return ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.waits[service], w)
		if len(f.waits[service]) == 0 {
			delete(f.waits, service)
		}
		end(nil)
	}
}

// ServerPaused refuses the requests that wait for an engine of a service, one of whose servers has
// asked for a pause or is evacuated, if none is left.
func (f *Forwarder) ServerPaused(service string) {
	_, paused := f.o.Servers.AllPaused(time.Now(), service)
	if !paused && !f.o.Servers.AllEvacuated(service) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for w := range f.waits[service] {
		w.end(errPaused)
	}
}

// ServersChanged refuses the requests that wait for an engine of a service whose last servers
// outside evacuated data centres have left, and the streams bound to a software version whose last engine has.
func (f *Forwarder) ServersChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for service, waits := range f.waits {
		evacuated := f.o.Servers.AllEvacuated(service)
		for w := range waits {
			switch {
			case evacuated:
				w.end(errPaused)
			case w.gone != nil && w.gone():
				w.end(errVersionGone)
			}
		}
	}
}
