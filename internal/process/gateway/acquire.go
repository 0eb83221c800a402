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

// acquire waits for a replica.
func (n *generation) acquire(ctx context.Context) (schedule.Grant, *fault.Error) {
	ctx, cancel := context.WithDeadline(ctx, n.deadline)
	defer cancel()
	began := time.Now()
	grant, err := n.acquireKnown(ctx, began)
	if err != nil {
		return grant, n.acquireFault(ctx, err)
	}
	waited := time.Since(began)
	n.g.metrics.Observe(telemetry.QueueTime, n.request.Workspace, string(n.request.Class), waited)
	n.call.record.Step("granted", grant.Backend, fmt.Sprintf("owner %s, queued %v, chosen by %s", grant.Owner, waited.Round(time.Microsecond), grant.Reason))
	return grant, nil
}

// While the owner of a group leaves or returns, a gateway may know no group of a
// model for a moment: up to 22 in 328 requests were refused so in a rolling
// restart. A first attempt is therefore asked again for noReplicaPatience, which
// covers a new owner's wait of 600 ms and two rounds of gossip.
const (
	noReplicaPatience = 3 * time.Second
	noReplicaPause    = 100 * time.Millisecond
)

// acquireKnown asks the scheduler, and again while no replica is known yet.
func (n *generation) acquireKnown(ctx context.Context, began time.Time) (schedule.Grant, error) {
	for {
		grant, err := n.acquireOnce(ctx)
		var refusal *schedule.Refusal
		waits := errors.As(err, &refusal) && refusal.Reason == schedule.ReasonNoReplica &&
			len(n.request.Exclude) == 0 && time.Since(began) < noReplicaPatience
		if !waits {
			return grant, err
		}
		select {
		case <-time.After(noReplicaPause):
		case <-ctx.Done():
			return grant, err
		}
	}
}

// acquireOnce waits for a replica within the patience of the request's entry.
func (n *generation) acquireOnce(ctx context.Context) (schedule.Grant, error) {
	n.request.ID = ulid.Make().String()
	n.request.Deadline = n.g.queueDeadline(n.call.entry, n.deadline)
	ctx, cancel := context.WithDeadline(ctx, n.request.Deadline)
	defer cancel()
	return n.g.scheduler.Acquire(ctx, n.request)
}

// refusalCodes maps the scheduler's reasons to error codes.
var refusalCodes = map[string]fault.Code{
	schedule.ReasonQueueFull: fault.QueueFull,
	schedule.ReasonDeadline:  fault.DeadlineExceeded,
	schedule.ReasonNoReplica: fault.NoCapacity,
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
		// Only the wait for a replica was too long.
		code, retryAfter = fault.NoCapacity, max(retryAfter, minRetryAfter)
	}
	return fault.Wrap(err, code, "acquire", n.request.Model, n.execution).WithRetryAfter(retryAfter)
}
