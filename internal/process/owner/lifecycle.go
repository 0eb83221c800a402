package owner

import (
	"slices"
	"time"

	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
)

// idleLife is the time for which a group without owner, waits and grants is
// kept, longer than the life of a grant.
const idleLife = 5 * time.Second

// configure passes settings of the catalogue and the policy on.
func (r *runner) configure(share, floor, reserve float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group.SetShare(share)
	r.group.SetFloor(floor, reserve)
}

// setOwned records whether this gateway owns the group. On the loss of
// ownership the waiting requests are sent on to the new owner; ones that arrive
// later were sent here on purpose and stay.
func (r *runner) setOwned(owned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owned && !owned {
		r.moveLocked(func(*ticket) bool { return true })
	}
	r.owned = owned
}

// move ends the waits for which which is true, so that their callers ask again.
func (r *runner) move(which func(*ticket) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moveLocked(which)
}

func (r *runner) moveLocked(which func(*ticket) bool) {
	for id, t := range r.waiting {
		if which(t) {
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
	return !r.owned && len(r.waiting)+len(r.granted) == 0 && now.Sub(r.usedAt) > idleLife
}

// close sends the waiting requests to other owners and ends run.
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

// summary returns the group's load in this gateway's name.
func (r *runner) summary(now time.Time) schedule.Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.group.Summary(now)
	s.Group, s.Owner = r.key, r.self
	return s
}

// report passes a load report on if the replica is of this group.
func (r *runner) report(now time.Time, name string, l api.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.ContainsFunc(r.replicas, func(p schedule.Replica) bool { return p.Name == name }) {
		r.group.Report(now, name, l)
		r.poke()
	}
}

// setReplicas passes the replicas on if they changed.
func (r *runner) setReplicas(now time.Time, replicas []schedule.Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Equal(r.replicas, replicas) {
		return
	}
	r.replicas = replicas
	r.group.SetReplicas(now, replicas)
	r.poke()
}

// fingerprints returns the requests running on a replica.
func (r *runner) fingerprints(replica string) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []uint64
	for _, q := range r.group.Running(replica) {
		out = append(out, q.Fingerprint)
	}
	return out
}
