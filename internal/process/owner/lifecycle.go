package owner

import (
	"slices"
	"time"

	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
)

// idleTimeout is how long this gateway keeps a group that it does not own, if the group
// has no waiting requests and no grants. It is longer than the lifetime of a grant.
const idleTimeout = 5 * time.Second

// configure passes the policy's share and the catalogue's floors to the group.
func (r *runner) configure(share, floor, reserve float64, workspaces map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group.SetShare(share)
	r.group.SetClassFractions(floor, reserve)
	r.group.SetWorkspaceFloors(workspaces)
}

// setOwned records whether this gateway owns the group. On the loss of ownership the
// waiting requests are redirected to the new owner. Requests that arrive later were
// sent here on purpose and stay.
func (r *runner) setOwned(owned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owned && !owned {
		r.moveLocked(func(*ticket) bool { return true })
	}
	r.owned = owned
}

// move ends the waits of the tickets that match, so that their callers request the
// grant again.
func (r *runner) move(matches func(*ticket) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moveLocked(matches)
}

func (r *runner) moveLocked(matches func(*ticket) bool) {
	for id, t := range r.waiting {
		if matches(t) {
			r.group.Cancel(id)
			delete(r.waiting, id)
			t.end(result{moved: true})
		}
	}
}

// idle reports whether the runner can be closed.
func (r *runner) idle(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.owned && len(r.waiting)+len(r.grants) == 0 && now.Sub(r.usedAt) > idleTimeout
}

// close redirects the waiting requests to other owners and ends run.
func (r *runner) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.stop)
	r.moveLocked(func(*ticket) bool { return true })
}

// summary returns the summary of the group, with this gateway as its owner.
func (r *runner) summary(now time.Time) schedule.Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.group.Summary(now)
	s.Group, s.Owner = r.key, r.self
	return s
}

// report passes a load report to the group if it contains the replica.
func (r *runner) report(now time.Time, name string, l api.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.ContainsFunc(r.replicas, func(p schedule.Replica) bool { return p.Name == name }) {
		r.group.Report(now, name, l)
		r.requestDispatch()
	}
}

// setReplicas passes the replicas to the group if they have changed.
func (r *runner) setReplicas(now time.Time, replicas []schedule.Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Equal(r.replicas, replicas) {
		return
	}
	r.replicas = replicas
	r.group.SetReplicas(now, replicas)
	r.requestDispatch()
}

// fingerprints returns the fingerprints of the requests running on a replica.
func (r *runner) fingerprints(replica string) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []uint64
	for _, q := range r.group.Running(replica) {
		out = append(out, q.Fingerprint)
	}
	return out
}
