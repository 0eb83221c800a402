// Package relay copies one engine stream to one reader. It forwards every
// event exactly once and in order, drops events that belong to another stream,
// and resumes the same engine stream when the link breaks or stalls. It never
// joins two generations.
package relay

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// Source is an open engine stream. Next returns io.EOF after its last event.
type Source interface {
	Next() (api.Event, error)
	Close() error
}

// Resume opens the stream again after the event with this sequence number.
type Resume func(ctx context.Context, engineID string, after int64) (Source, error)

// Sink takes the events for the reader. An error means that the reader is gone.
type Sink interface {
	Send(api.Event) error
}

// Options bounds how long the relay waits for an engine.
type Options struct {
	// StallTimeout is the time without an event after which the link is
	// replaced. A preempted generation may be silent for longer, so a stall
	// alone never ends the stream.
	StallTimeout time.Duration
	// LostAfter is the time for which a broken or stalled link may not be
	// replaced before the engine counts as lost.
	LostAfter time.Duration
	// FirstContact replaces LostAfter until the engine's first event.
	FirstContact time.Duration
	// ReaderGrace is the time for which the relay goes on reading after the
	// reader has gone, so that the reader can resume.
	ReaderGrace time.Duration
}

// DefaultOptions suits engines in the same region.
func DefaultOptions() Options {
	return Options{
		StallTimeout: 2 * time.Second,
		LostAfter:    10 * time.Second,
		FirstContact: 3 * time.Second,
		ReaderGrace:  15 * time.Second,
	}
}

// Hooks observes a relay. Nil hooks are skipped.
type Hooks struct {
	// Created is called once with the engine's response id.
	Created func(engineID string)
	// Token is called for each token received in order, with its gap to the one
	// before; the first gap is 0.
	Token func(count int, gap time.Duration)
	// Dropped is called for an event that was not forwarded.
	Dropped func(reason DropReason)
	// Resumed is called after the link was replaced.
	Resumed func()
}

// DropReason says why an event was not forwarded.
type DropReason string

// The values of DropReason.
const (
	DropForeign   DropReason = "foreign"
	DropDuplicate DropReason = "duplicate"
)

// Result tells how far a relay came.
type Result struct {
	EngineID string
	// Tokens counts the tokens received in order.
	Tokens int
	// Forwarded is set when any event was handed to the sink.
	Forwarded bool
	// ReaderGone is set when the sink failed before the terminal event.
	ReaderGone bool
	// Terminal is the terminal event, or nil when the stream did not end.
	Terminal *api.Event
}

// Relay is the state of one relayed stream. It is used once.
type Relay struct {
	backend string
	attempt string
	sink    Sink
	resume  Resume
	opts    Options
	hooks   Hooks

	next       int64
	held       []api.Event
	result     Result
	lastToken  time.Time
	readerLeft time.Time
	resumed    bool
}

// New returns a relay of the attempt with this id at a backend server.
func New(backend, attempt string, sink Sink, resume Resume, o Options, h Hooks) *Relay {
	return &Relay{backend: backend, attempt: attempt, sink: sink, resume: resume, opts: o, hooks: h}
}

// NewResumed returns a relay of a known engine stream that begins after the
// event with this sequence number.
func NewResumed(backend, engineID string, after int64, sink Sink, resume Resume, o Options, h Hooks) *Relay {
	r := New(backend, "", sink, resume, o, h)
	r.next = after + 1
	r.result.EngineID = engineID
	r.resumed = true
	return r
}

// errStalled replaces a link that delivered nothing for the stall timeout.
var errStalled = errors.New("no event within the stall timeout")

// finalError ends a relay. Any other error of a link only ends the link: the
// engine client types those too, so the type of the error doesn't tell them apart.
type finalError struct{ fault *fault.Error }

func (e finalError) Error() string { return e.fault.Error() }

// Run relays until the terminal event, the loss of the engine, the end of ctx
// or the end of the grace after the reader left. It closes src. The error is a
// *fault.Error; it is nil if and only if Result.Terminal is set.
func (r *Relay) Run(ctx context.Context, src Source) (Result, error) {
	for {
		began, next := time.Now(), r.next
		err := r.consume(ctx, src)
		if r.result.Terminal != nil {
			return r.result, nil
		}
		var final finalError
		if errors.As(err, &final) {
			return r.result, final.fault
		}
		if r.next == next {
			// An engine that ends each link at once must not be asked without a pause.
			if sleep(ctx, emptyLinkInterval-time.Since(began)) != nil {
				return r.result, r.contextFault(ctx)
			}
		}
		if src, err = r.reopen(ctx, err); err != nil {
			return r.result, err
		}
		if r.hooks.Resumed != nil {
			r.hooks.Resumed()
		}
	}
}

// consume forwards events of one link until it ends.
func (r *Relay) consume(ctx context.Context, src Source) error {
	p := startPump(src)
	defer p.stop()
	stall := time.NewTimer(r.stallTimeout())
	defer stall.Stop()
	for {
		select {
		case <-ctx.Done():
			return finalError{r.contextFault(ctx)}
		case <-stall.C:
			return errStalled
		case item := <-p.items:
			if item.err != nil {
				return r.linkError(item.err)
			}
			if err := r.accept(item.event); err != nil {
				return err
			}
			stall.Reset(r.stallTimeout())
			if r.result.Terminal != nil {
				return nil
			}
		}
		if err := r.checkGrace(); err != nil {
			return err
		}
	}
}

// linkError makes a malformed event final: it would come again on a new link.
func (r *Relay) linkError(err error) error {
	if fault.From(err).Code == fault.EngineProtocol {
		return finalError{fault.Wrap(err, fault.EngineProtocol, "relay", r.backend, r.execution())}
	}
	return fmt.Errorf("read stream: %w", err)
}

func (r *Relay) stallTimeout() time.Duration {
	if r.result.EngineID == "" {
		return r.opts.FirstContact
	}
	return r.opts.StallTimeout
}

// checkGrace ends a relay whose reader has been gone for the grace.
func (r *Relay) checkGrace() error {
	if !r.result.ReaderGone || time.Since(r.readerLeft) < r.opts.ReaderGrace {
		return nil
	}
	return finalError{fault.New(fault.Cancelled, "relay", r.backend, api.Ran, "reader did not come back within %v", r.opts.ReaderGrace)}
}

func (r *Relay) contextFault(ctx context.Context) *fault.Error {
	code := fault.Cancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = fault.DeadlineExceeded
	}
	return fault.Wrap(context.Cause(ctx), code, "relay", r.backend, r.execution())
}

// execution is what is known of the attempt when it ends early.
func (r *Relay) execution() api.Execution {
	if r.result.EngineID != "" {
		return api.Ran
	}
	return api.Unknown
}

// Delays between attempts to reach the engine again.
const (
	resumeDelayMin = 20 * time.Millisecond
	resumeDelayMax = 500 * time.Millisecond
	// emptyLinkInterval is the least time from one link without a new event to
	// the next.
	emptyLinkInterval = 100 * time.Millisecond
)

// reopen replaces the link. It gives up when the engine does not know the
// stream any more or has not answered for too long.
func (r *Relay) reopen(ctx context.Context, cause error) (Source, error) {
	if r.result.EngineID == "" {
		return nil, fault.Wrap(cause, fault.EngineLost, "relay", r.backend, api.Unknown)
	}
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = resumeDelayMin
	delay.MaxInterval = resumeDelayMax
	limit := r.opts.LostAfter
	if r.result.Tokens == 0 && !r.resumed {
		limit = r.opts.FirstContact
	}
	began := time.Now()
	for {
		// A stalled engine may accept a connection and never answer it.
		attempt, cancel := context.WithTimeout(ctx, limit)
		src, err := r.resumeWithin(attempt, cancel)
		if err == nil {
			return src, nil
		}
		if ctx.Err() != nil {
			return nil, r.contextFault(ctx)
		}
		if streamGone(err) || time.Since(began) >= limit {
			return nil, fault.Wrap(errors.Join(cause, err), fault.EngineLost, "relay", r.backend, api.Ran)
		}
		if err := sleep(ctx, delay.NextBackOff()); err != nil {
			return nil, r.contextFault(ctx)
		}
	}
}

// streamGone tells that no further attempt can find the stream: the engine does
// not know it, or nothing listens at the engine's address. Streams are in the
// memory of the engine's process, so they end with it.
func streamGone(err error) bool {
	return fault.From(err).Code == fault.UnknownResponse || errors.Is(err, syscall.ECONNREFUSED)
}

// resumeWithin opens the link again; the context of a link that was opened
// stays alive until the link is closed.
func (r *Relay) resumeWithin(ctx context.Context, cancel context.CancelFunc) (Source, error) {
	type opened struct {
		src Source
		err error
	}
	linkCtx, cancelLink := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan opened, 1)
	go func() {
		src, err := r.resume(linkCtx, r.result.EngineID, r.next-1)
		done <- opened{src, err}
	}()
	defer cancel()
	select {
	case o := <-done:
		if o.err != nil {
			cancelLink()
			return nil, o.err
		}
		return &cancelOnClose{Source: o.src, cancel: cancelLink}, nil
	case <-ctx.Done():
		cancelLink()
		go func() {
			if o := <-done; o.src != nil {
				_ = o.src.Close()
			}
		}()
		return nil, ctx.Err()
	}
}

// cancelOnClose ends the context of a link together with the link.
type cancelOnClose struct {
	Source
	cancel context.CancelFunc
}

func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.Source.Close()
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
