package forward

import (
	"errors"
	"slices"
	"time"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
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

// versionGoneError returns the error of a stream that can't go on anywhere. It has no Retry-After: its caller has to begin anew.
func (r *run) versionGoneError() *fault.Error {
	return fault.New(fault.VersionGone, stepPlace, "", api.NotRun, "no engine of software version %q, which began the stream, is left in service %s", r.version, r.q.Service)
}
