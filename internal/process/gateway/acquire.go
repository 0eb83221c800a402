package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/fault"
)

// acquire waits until the scheduler grants a replica or the request's deadline
// passes. It records the queueing time.
func (n *generation) acquire(ctx context.Context) (schedule.Grant, *fault.Error) {
	ctx, cancel := context.WithDeadline(ctx, n.deadline)
	defer cancel()
	began := time.Now()
	grant, err := n.acquireWithRetry(ctx, began)
	waited, account := time.Since(began), grant.Account
	n.call.account = account
	if account.Waited() {
		n.g.metrics.ObserveLack(account.Lacked.String(), string(n.request.Class), waited, err == nil)
	}
	if err != nil {
		n.call.record.Step("refused", "", fmt.Sprintf("queued %v; %s", waited.Round(time.Microsecond), &account))
		return grant, n.acquireFault(ctx, err)
	}
	n.g.metrics.Observe(telemetry.QueueTime, n.request.Workspace, string(n.request.Class), waited)
	n.call.record.Step("granted", grant.Backend, fmt.Sprintf("owner %s, queued %v, chosen by %s; %s", grant.Owner, waited.Round(time.Microsecond), grant.Reason, &account))
	return grant, nil
}

// While the owner of a group shuts down or restarts, a gateway may briefly know no
// group of a model: in a rolling restart, up to 22 of 328 requests were refused for
// this reason. The first attempt of a request is therefore retried for up to
// noReplicaRetryTimeout, which covers the 600 ms that a new owner waits before it
// grants and two rounds of gossip.
const (
	noReplicaRetryTimeout  = 3 * time.Second
	noReplicaRetryInterval = 100 * time.Millisecond
)

// acquireWithRetry requests a grant from the scheduler. It retries a first attempt
// that was refused because no replica is known, until noReplicaRetryTimeout has
// passed since began.
func (n *generation) acquireWithRetry(ctx context.Context, began time.Time) (schedule.Grant, error) {
	for {
		grant, err := n.acquireOnce(ctx)
		var refusal *schedule.Refusal
		retry := errors.As(err, &refusal) && refusal.Reason == schedule.ReasonNoReplica &&
			len(n.request.Exclude) == 0 && time.Since(began) < noReplicaRetryTimeout
		if !retry {
			return grant, err
		}
		select {
		case <-time.After(noReplicaRetryInterval):
		case <-ctx.Done():
			return grant, err
		}
	}
}

// acquireOnce requests one grant under a new request id. It waits until the queue
// deadline of the request's entry.
func (n *generation) acquireOnce(ctx context.Context) (schedule.Grant, error) {
	n.request.ID = ulid.Make().String()
	n.request.Deadline = n.g.queueDeadline(n.call.entry, n.deadline)
	ctx, cancel := context.WithDeadline(ctx, n.request.Deadline)
	defer cancel()
	return n.g.scheduler.Acquire(ctx, n.request)
}

// refusalCodes maps the scheduler's refusal reasons to error codes.
var refusalCodes = map[string]fault.Code{
	schedule.ReasonQueueFull: fault.QueueFull,
	schedule.ReasonDeadline:  fault.DeadlineExceeded,
	schedule.ReasonNoReplica: fault.NoCapacity,
	schedule.ReasonEvacuated: fault.NoCapacity,
	schedule.ReasonCrashes:   fault.RequestCrashes,
	schedule.ReasonStopping:  fault.ShuttingDown,
}

func (n *generation) acquireFault(ctx context.Context, err error) *fault.Error {
	var refusal *schedule.Refusal
	code := fault.NoCapacity
	var retryAfter time.Duration
	switch {
	case errors.As(err, &refusal):
		retryAfter = refusal.RetryAfter
		if known, ok := refusalCodes[refusal.Reason]; ok {
			code = known
		}
	case errors.Is(err, context.DeadlineExceeded), errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = fault.DeadlineExceeded
	case ctx.Err() != nil:
		code = fault.Cancelled
	}
	early := refusal != nil && time.Now().Before(n.deadline)
	if code == fault.DeadlineExceeded && (early || n.request.Deadline.Before(n.deadline)) {
		// The queue deadline passed, but not the deadline of the request.
		code, retryAfter = fault.NoCapacity, max(retryAfter, minRetryAfter)
	}
	return fault.Wrap(err, code, "acquire", n.request.Model, n.execution).WithRetryAfter(retryAfter)
}
