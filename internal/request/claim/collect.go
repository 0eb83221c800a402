package claim

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"persimmonwing/internal/connection/platform"
)

// ServiceName is the net/rpc service name that peers use to send writes to a collector.
const ServiceName = "Claims"

const methodWrite = ServiceName + ".Write"

// Collector is a gateway that writes claim rows for all gateways of its data centre.
type Collector struct {
	// Address is the address of its net/rpc server.
	Address string
	// Self is set if the collector is this gateway.
	Self bool
}

// Caller calls an RPC method of a peer. If Call returns an error, the method may have
// run.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// WriteArgs are the arguments of Claims.Write: writes of distinct rows.
type WriteArgs struct {
	Ops []platform.CondPut
	// Remaining is the time for which the sender still waits. It is a duration because the
	// clocks of sender and collector may differ.
	Remaining time.Duration
}

// WriteReply contains one outcome for each operation, in the same order.
type WriteReply struct{ Outcomes []Outcome }

// Outcome is the result of one write.
type Outcome struct {
	// Put is valid if Failure is empty. The row of an applied write has no value, because
	// the sender already has it.
	Put platform.PutResult
	// Failure is the error message, or "" if the write succeeded.
	Failure string
	// NotApplied is set if the write failed and certainly had no effect.
	NotApplied bool
	RetryAfter time.Duration
}

var (
	errInvalidRows = errors.New("claim: not a claim row, or too many rows")
	errReplyShape  = errors.New("claim: the collector's answer does not match the request")
)

// Service is the net/rpc service through which peers use this gateway as a collector.
type Service struct{ store *Store }

// Service returns the RPC receiver to register under ServiceName.
func (s *Store) Service() *Service { return &Service{s} }

// Write implements the net/rpc method Claims.Write. It answers within the sender's
// remaining time even if the table does not.
func (s *Service) Write(args *WriteArgs, reply *WriteReply) error {
	if len(args.Ops) > s.store.options.BatchRows {
		return errInvalidRows
	}
	for _, op := range args.Ops {
		if !isClaimRow(op.Key) || op.Delete {
			return errInvalidRows
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Remaining, s.store.options.CollectTimeout))
	defer cancel()
	for _, r := range s.store.collected.send(ctx, args.Ops) {
		reply.Outcomes = append(reply.Outcomes, toOutcome(r))
	}
	return nil
}

func toOutcome(r writeResult) Outcome {
	if r.err == nil {
		if r.put.Applied {
			r.put.Row.Value = nil
		}
		return Outcome{Put: r.put}
	}
	o := Outcome{Failure: r.err.Error(), NotApplied: errors.Is(r.err, platform.ErrNotApplied)}
	var e *platform.Error
	if errors.As(r.err, &e) {
		o.RetryAfter = e.RetryAfter
	}
	return o
}

func (o Outcome) result(op platform.CondPut, collector string) writeResult {
	if o.Failure == "" {
		if o.Put.Applied {
			o.Put.Row.Value = op.Value
		}
		return writeResult{put: o.Put}
	}
	outcome := platform.ErrUnknownOutcome
	if o.NotApplied {
		outcome = platform.ErrNotApplied
	}
	e := collectError(collector, outcome, errors.New(o.Failure))
	e.RetryAfter = o.RetryAfter
	return writeResult{err: e}
}

// errCollected is in the error chain of a write that failed at a collector or whose
// outcome at the collector is unknown.
var errCollected = errors.New("claim: write through a collector failed")

func collectError(collector string, outcome, cause error) *platform.Error {
	return platform.NewError("claim.collect", collector, outcome, errors.Join(errCollected, cause))
}

// MaxCollectors is the maximum number of collectors that a gateway tries before it
// writes directly to the table. Each collector writes at most once per CollectInterval, so
// that losing one does not multiply the transactions.
const MaxCollectors = 2

// router is the sender that selects a collector of the data centre for each batch.
type router struct {
	collectors func() []Collector
	caller     Caller
	collected  *batcher
	direct     direct
	timeout    time.Duration
	grace      time.Duration
	cooldown   time.Duration
	forwarded  atomic.Int64

	mu sync.Mutex
	// cooldownUntil maps the address of each failed collector to the time until which it is
	// not used.
	cooldownUntil map[string]time.Time
	// lastFailed is the last collector that answered that a write failed, or "".
	lastFailed string
}

// send implements sender.
func (r *router) send(ctx context.Context, ops []platform.CondPut) []writeResult {
	c, ok := r.pick(time.Now())
	switch {
	case !ok:
		return r.direct.send(ctx, ops)
	case c.Self:
		return r.collected.send(ctx, ops)
	default:
		return r.forward(ctx, c.Address, ops)
	}
}

// pick returns the first collector that is not in its cooldown.
func (r *router) pick(now time.Time) (Collector, bool) {
	if r.collectors == nil {
		return Collector{}, false
	}
	all := r.collectors()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range all[:min(MaxCollectors, len(all))] {
		if c.Self || !now.Before(r.cooldownUntil[c.Address]) {
			return c, true
		}
	}
	return Collector{}, false
}

// forward sends writes to a collector. Without an answer the outcome is unknown: the
// collector may have written the rows, or may write them when it resumes after a pause.
func (r *router) forward(ctx context.Context, address string, ops []platform.CondPut) []writeResult {
	ctx, cancel := context.WithTimeout(ctx, r.timeout+r.grace)
	defer cancel()
	r.forwarded.Add(1)
	var reply WriteReply
	err := r.caller.Call(ctx, address, methodWrite, &WriteArgs{Ops: ops, Remaining: r.timeout}, &reply)
	if err == nil && len(reply.Outcomes) != len(ops) {
		err = errReplyShape
	}
	if err != nil {
		r.startCooldown(address)
		return failAll(len(ops), collectError(address, platform.ErrUnknownOutcome, err))
	}
	results := make([]writeResult, len(ops))
	for i, o := range reply.Outcomes {
		results[i] = o.result(ops[i], address)
		if results[i].err != nil {
			r.noteFailed(address)
		}
	}
	return results
}

func (r *router) startCooldown(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for a, until := range r.cooldownUntil {
		if !now.Before(until) {
			delete(r.cooldownUntil, a)
		}
	}
	r.cooldownUntil[address] = now.Add(r.cooldown)
}

func (r *router) noteFailed(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFailed = address
}

// retrySender is the sender of retries; it writes directly to the table. If a direct
// write succeeds within the time allowed for a collector, the collector whose write
// failed is assumed to be cut off from the table and is put into its cooldown. A slow or
// unavailable table is no reason to avoid a collector, because direct writes would
// increase the load on that table.
type retrySender struct{ *router }

func (b retrySender) send(ctx context.Context, ops []platform.CondPut) []writeResult {
	start := time.Now()
	results := b.direct.send(ctx, ops)
	b.mu.Lock()
	lastFailed := b.lastFailed
	b.lastFailed = ""
	b.mu.Unlock()
	if lastFailed != "" && results[0].err == nil && time.Since(start) < b.timeout {
		b.startCooldown(lastFailed)
	}
	return results
}
