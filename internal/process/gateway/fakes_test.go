package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/version/catalogue"
)

// testCatalogue returns a catalogue whose entries have a concurrency limit of 1, so
// that the next request fails if a slot is not released.
func testCatalogue() *catalogue.Snapshot {
	one := catalogue.Limits{Concurrent: 1}
	generation := func(name string, l catalogue.Limits, timeout time.Duration) catalogue.Entry {
		return catalogue.Entry{Name: name, Kind: catalogue.Generation, Class: catalogue.Urgent, Model: "main", Timeout: timeout, Limits: l, MaxOutputTokens: 5000}
	}
	call := func(name string, idempotent bool, timeout time.Duration) catalogue.Entry {
		return catalogue.Entry{Name: name, Kind: catalogue.Service, Class: catalogue.Urgent, Service: "shop", Methods: []string{"POST"}, Path: "/" + name, Idempotent: idempotent, Timeout: timeout, Limits: one}
	}
	private := generation("private", one, 5*time.Second)
	private.Workspaces = []string{"b"}
	workspace := func(name, key string) catalogue.Workspace {
		return catalogue.Workspace{Name: name, Weight: 1, KeyDigests: []string{catalogue.Digest([]byte(key))}}
	}
	return catalogue.NewSnapshot(1, "", &catalogue.Catalogue{
		Models:     []catalogue.Model{{Name: "main"}},
		Workspaces: []catalogue.Workspace{workspace("a", keyA), workspace("b", keyB)},
		Entries: []catalogue.Entry{
			generation("plan", one, 5*time.Second), generation("short", one, 150*time.Millisecond),
			generation("wide", catalogue.Limits{}, 20*time.Second), private,
			call("booking", false, 5*time.Second), call("stock", true, 5*time.Second), call("hasty", true, 100*time.Millisecond),
		},
	})
}

// fakeScheduler grants the first replica that is not excluded and tracks the grants in
// use.
type fakeScheduler struct {
	mu       sync.Mutex
	replicas []schedule.Grant
	held     map[string]bool
	granted  int
	waiting  int
	lost     []string
	outcomes []schedule.Outcome
	// givenUp lists the grants of generations that were given up.
	givenUp []string
	// refusal, if set, is returned to every request. If blocked is set, requests wait
	// until it is closed or their context ends.
	refusal *schedule.Refusal
	blocked chan struct{}
}

func (f *fakeScheduler) add(name, address string) {
	f.replicas = append(f.replicas, schedule.Grant{Backend: name, Address: address, Owner: "gateway-1", Reason: "least_load", Group: schedule.GroupKey{DataCentre: "dc-1", Model: "main"}})
}

func (f *fakeScheduler) set(refusal *schedule.Refusal, block bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusal = refusal
	if f.blocked != nil {
		close(f.blocked)
		f.blocked = nil
	}
	if block {
		f.blocked = make(chan struct{})
	}
}

func (f *fakeScheduler) Acquire(ctx context.Context, r schedule.Request) (schedule.Grant, error) {
	if err := f.wait(ctx); err != nil {
		return schedule.Grant{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusal != nil {
		return schedule.Grant{}, f.refusal
	}
	for _, g := range f.replicas {
		if slices.Contains(r.Exclude, g.Backend) {
			continue
		}
		g.ID = r.ID
		f.held[g.ID] = true
		f.granted++
		return g, nil
	}
	return schedule.Grant{}, &schedule.Refusal{Reason: schedule.ReasonNoReplica}
}

func (f *fakeScheduler) wait(ctx context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	blocked := f.blocked
	if blocked == nil {
		return nil
	}
	f.waiting++
	f.mu.Unlock()
	select {
	case <-blocked:
	case <-ctx.Done():
	}
	f.mu.Lock()
	f.waiting--
	return ctx.Err()
}

func (f *fakeScheduler) Progress(string, int) {}

func (f *fakeScheduler) Release(id string, o schedule.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.held, id)
	f.outcomes = append(f.outcomes, o)
}

func (f *fakeScheduler) GiveUpGeneration(grantID string, _ func(context.Context) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.givenUp = append(f.givenUp, grantID)
}

func (f *fakeScheduler) ReportLost(backend string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = append(f.lost, backend)
}

func (f *fakeScheduler) heldCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.held)
}

func (f *fakeScheduler) waitingCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting
}

func (f *fakeScheduler) grantedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.granted
}

type fakeBackends []membership.Backend

func (f *fakeBackends) Services(string) []membership.Backend { return *f }

// fakeCatalogue holds a snapshot that a test may replace.
type fakeCatalogue struct {
	mu       sync.Mutex
	snapshot *catalogue.Snapshot
}

func (f *fakeCatalogue) Current() *catalogue.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

func (f *fakeCatalogue) set(s *catalogue.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = s
}
