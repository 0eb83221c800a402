// Package relay copies one engine stream to one reader. It forwards every
// event exactly once and in order, drops events that belong to another stream,
// and resumes the same engine stream when the link breaks or stalls. It never
// joins two generations.
package relay

import (
	"context"
	"errors"
	"fmt"
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
	// brokenAt is the time at which a link broke after the last event was
	// accepted; zero while events come. delay spaces the attempts since then.
	brokenAt time.Time
	delay    *backoff.ExponentialBackOff
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

// Run relays until the terminal event, the loss of the engine, the end of ctx
// or the end of the grace after the reader left. It closes src. The error is a
// *fault.Error; it is nil if and only if Result.Terminal is set.
func (r *Relay) Run(ctx context.Context, src Source) (Result, error) {
	for {
		final, broken := r.consume(ctx, src)
		if r.result.Terminal != nil {
			return r.result, nil
		}
		if final != nil {
			return r.result, final
		}
		var err error
		if src, err = r.reopen(ctx, broken); err != nil {
			return r.result, err
		}
		if r.hooks.Resumed != nil {
			r.hooks.Resumed()
		}
	}
}

// consume forwards events of one link until it ends. It returns why the relay
// ends, or why the link has to be replaced. An error of the source is never
// final, although it is a *fault.Error too: it describes the link only.
func (r *Relay) consume(ctx context.Context, src Source) (final *fault.Error, broken error) {
	p := startPump(src)
	defer p.stop()
	stall := time.NewTimer(r.stallTimeout())
	defer stall.Stop()
	for {
		select {
		case <-ctx.Done():
			return r.contextFault(ctx), nil
		case <-stall.C:
			return nil, errStalled
		case item := <-p.items:
			if item.err != nil {
				return nil, fmt.Errorf("read stream: %w", item.err)
			}
			if err := r.accept(item.event); err != nil {
				return nil, err
			}
			stall.Reset(r.stallTimeout())
			if r.result.Terminal != nil {
				return nil, nil
			}
		}
		if err := r.checkGrace(); err != nil {
			return err, nil
		}
	}
}

func (r *Relay) stallTimeout() time.Duration {
	if r.result.EngineID == "" {
		return r.opts.FirstContact
	}
	return r.opts.StallTimeout
}

// checkGrace ends a relay whose reader has been gone for the grace.
func (r *Relay) checkGrace() *fault.Error {
	if !r.result.ReaderGone || time.Since(r.readerLeft) < r.opts.ReaderGrace {
		return nil
	}
	return fault.New(fault.Cancelled, "relay", r.backend, api.Ran, "reader did not come back within %v", r.opts.ReaderGrace)
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
