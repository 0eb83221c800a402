package claim

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"persimmonwing/internal/connection/platform"
)

// ServiceName is the name under which peers hand writes to a collector.
const ServiceName = "Claims"

const methodWrite = ServiceName + ".Write"

// Collector is a gateway that writes claim rows for its data centre.
type Collector struct {
	// Address is the address of its net/rpc server.
	Address string
	// Self marks this gateway.
	Self bool
}

// Caller calls a method of a peer. After an error the method may have run.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// WriteArgs asks for writes of distinct rows.
type WriteArgs struct {
	Ops []platform.CondPut
	// Remaining is the time after which the sender no longer waits. A duration
	// needs no agreement of clocks.
	Remaining time.Duration
}

// WriteReply has one outcome for each operation, in the same order.
type WriteReply struct{ Outcomes []Outcome }

// Outcome is the result of one write.
type Outcome struct {
	// Put is valid if Failure is empty. The row of an applied write has no value,
	// since the sender knows it.
	Put platform.PutResult
	// Failure is the text of the error.
	Failure string
	// NotApplied tells that a failed write certainly had no effect.
	NotApplied bool
	RetryAfter time.Duration
}

var (
	errForeignRow = errors.New("claim: not a claim row, or too many rows")
	errReplyShape = errors.New("claim: the collector's answer does not match the request")
)

// Service serves the peers for which this gateway collects writes.
type Service struct{ store *Store }

// Service returns the receiver to register under ServiceName.
func (s *Store) Service() *Service { return &Service{s} }

// Write implements the net/rpc method Claims.Write. It answers within the
// sender's remaining time, also when the table does not.
func (s *Service) Write(args *WriteArgs, reply *WriteReply) error {
	if len(args.Ops) > s.store.options.BatchRows {
		return errForeignRow
	}
	for _, op := range args.Ops {
		if !isClaimRow(op.Key) || op.Delete {
			return errForeignRow
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

// errCollected is in the chain of the error of a write that a collector did not
// make, or may not have made.
var errCollected = errors.New("claim: write through a collector failed")

func collectError(collector string, outcome, cause error) *platform.Error {
	return platform.NewError("claim.collect", collector, outcome, errors.Join(errCollected, cause))
}

// MaxCollectors bounds the gateways of a data centre that a gateway tries before
// it writes directly. Each of them writes at most once in CollectPace, so that a
// lost collector does not multiply the transactions.
const MaxCollectors = 2

// router sends writes to a collector of the data centre.
type router struct {
	collectors func() []Collector
	caller     Caller
	collected  *batcher
	direct     direct
	timeout    time.Duration
	grace      time.Duration
	rest       time.Duration
	forwarded  atomic.Int64

	mu sync.Mutex
	// resting holds collectors that failed and the times until which they are
	// not asked.
	resting map[string]time.Time
	// doubted is the last collector that answered without having written.
	doubted string
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

// pick returns the first collector that is not resting.
func (r *router) pick(now time.Time) (Collector, bool) {
	if r.collectors == nil {
		return Collector{}, false
	}
	all := r.collectors()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range all[:min(MaxCollectors, len(all))] {
		if c.Self || !now.Before(r.resting[c.Address]) {
			return c, true
		}
	}
	return Collector{}, false
}

// forward asks a collector. Without an answer the outcome is unknown: the
// collector may have written, or may do so when it wakes.
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
		r.setResting(address)
		return repeated(len(ops), collectError(address, platform.ErrUnknownOutcome, err))
	}
	results := make([]writeResult, len(ops))
	for i, o := range reply.Outcomes {
		results[i] = o.result(ops[i], address)
		if results[i].err != nil {
			r.doubt(address)
		}
	}
	return results
}

func (r *router) setResting(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for a, until := range r.resting {
		if !now.Before(until) {
			delete(r.resting, a)
		}
	}
	r.resting[address] = now.Add(r.rest)
}

func (r *router) doubt(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubted = address
}

// bypass is the sender of repeated writes: directly to the table. A direct write
// that succeeds in the time that a collector has shows that a collector that
// could not write is itself cut off; a slow or unavailable table is no reason to
// leave it, since direct writes would load that table more.
type bypass struct{ *router }

func (b bypass) send(ctx context.Context, ops []platform.CondPut) []writeResult {
	start := time.Now()
	results := b.direct.send(ctx, ops)
	b.mu.Lock()
	doubted := b.doubted
	b.doubted = ""
	b.mu.Unlock()
	if doubted != "" && results[0].err == nil && time.Since(start) < b.timeout {
		b.setResting(doubted)
	}
	return results
}
