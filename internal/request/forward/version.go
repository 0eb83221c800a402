package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/origins"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/routing"
)

// errVersionGone is the cause of the end of a wait for an engine of a software version whose last engine has left.
var errVersionGone = errors.New("no engine of the software version that began the stream is left")

// bind binds a stream to the software version of the engine that sent its first event. What another version writes does not fit.
func (r *run) bind(version string) { r.version, r.bound = version, true }

// fits reports whether the stream may go on at a server of this version.
func (r *run) fits(version string) bool { return !r.bound || r.version == version }

// unfit returns the servers at which the stream may not go on, because their software has another version.
func (r *run) unfit() []string {
	if !r.bound {
		return nil
	}
	unfit, _ := r.f.serversOf(r.q.Service, r.version, nil)
	return unfit
}

// versionLeft reports whether the stream may go on at a server that is not excluded.
func (r *run) versionLeft(excluded []string) bool {
	if !r.bound {
		return true
	}
	_, left := r.f.serversOf(r.q.Service, r.version, excluded)
	return left
}

// serversOf returns the servers of a service whose software has another version than the given one, and whether one of this
// version is left that may get work, now or after a pause, and is not excluded.
func (f *Forwarder) serversOf(service, version string, excluded []string) (others []string, left bool) {
	for _, b := range f.o.Servers.Service(time.Now(), service, f.o.DataCentre) {
		s, ok := f.o.Servers.Get(b.Name)
		switch {
		case !ok:
		case s.Version != version:
			others = append(others, b.Name)
		default:
			left = left || !b.Evacuated && !f.o.Servers.Leaving(b.Name) && !slices.Contains(excluded, b.Name)
		}
	}
	return others, left
}

// Resolve finds where the stream began that a request takes up, and sets the request's service to that one. It returns an error if
// the stream can't go on, and does nothing for other requests and for those that were resolved before.
func (f *Forwarder) Resolve(ctx context.Context, q *Request) *fault.Error {
	if !q.Resumes || q.origin != nil || q.Route.Kind != routing.Streaming {
		return nil
	}
	o, err := f.o.Origins.Find(ctx, f.streamOf(q))
	if err != nil {
		f.countTakeUp("unknown")
		return fault.Wrap(err, fault.OriginUnknown, stepPlace, "", api.NotRun).WithRetryAfter(originRetryAfter)
	}
	if !slices.ContainsFunc(q.Route.Split, func(s routing.Share) bool { return s.Service == o.Service }) {
		f.countTakeUp("gone")
		return fault.New(fault.VersionGone, stepPlace, "", api.NotRun, "the route does not lead to service %s, which began the stream", o.Service)
	}
	f.countTakeUp("found")
	_ = level.Info(f.logger(q)).Log("msg", "stream taken up", "origin", q.Origin, "after", q.After, "of_service", o.Service, "of_version", o.Version)
	q.origin, q.Service = &o, o.Service
	return nil
}

func (f *Forwarder) countTakeUp(outcome string) { f.o.Metrics.Counter("take_ups", outcome).Inc(1) }

// originRetryAfter is the Retry-After of a take-up whose origin is not known. The store may tell it when it can be read again.
const originRetryAfter = 500 * time.Millisecond

// streamOf describes the stream of a request to those who keep its origin.
func (f *Forwarder) streamOf(q *Request) origins.Stream {
	s := origins.Stream{ID: q.ID, Services: f.o.RouteServices(q.Route, q.Route.Timeout), Lifetime: q.Route.Timeout}
	if q.Resumes {
		s.ID = q.Origin
	}
	return s
}

// recordOrigin records where the stream began, before its first event is passed on. Only streams that their callers may take up need it.
func (r *run) recordOrigin(ctx context.Context) {
	if s := r.f.streamOf(r.q); r.q.Route.Repeatable() && s.ID != "" {
		r.f.o.Origins.Begun(ctx, s, origins.Origin{Service: r.q.Service, Version: r.version})
	}
}

// versionGoneError returns the error of a stream that can't go on anywhere. It has no Retry-After: its caller has to begin anew.
func (r *run) versionGoneError() *fault.Error {
	return fault.New(fault.VersionGone, stepPlace, "", api.NotRun, "no engine of software version %q, which began the stream, is left in service %s", r.version, r.q.Service)
}
