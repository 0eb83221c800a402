// Package relay copies one engine stream to one reader. It forwards every event exactly
// once and in order, drops events that belong to another stream, and resumes the same
// engine stream when the connection breaks or stalls. It never joins the events of two
// generations.
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

// Source is an open engine stream. Next returns io.EOF after the last event.
type Source interface {
	Next() (api.Event, error)
	Close() error
}

// Resume reopens an engine stream after the event with the sequence number after.
type Resume func(ctx context.Context, engineID string, after int64) (Source, error)

// Sink receives the events for the reader. An error means that the reader has
// disconnected.
type Sink interface {
	Send(api.Event) error
}

// Options contains the timeouts of a relay.
type Options struct {
	// StallTimeout is the time without an event after which the connection is replaced. A
	// preempted generation may send nothing for longer, so a stall alone never ends the
	// stream.
	StallTimeout time.Duration
	// LostAfter is the time after which the engine counts as lost if a broken or stalled
	// connection could not be replaced.
	LostAfter time.Duration
	// FirstContact is used instead of LostAfter before the first token, and instead of
	// StallTimeout before the engine's first event.
	FirstContact time.Duration
	// ReaderGrace is the time for which the relay keeps reading after the reader has
	// disconnected, so that the reader can resume the stream.
	ReaderGrace time.Duration
}

// DefaultOptions returns options that suit engines in the same region.
func DefaultOptions() Options {
	return Options{
		StallTimeout: 2 * time.Second,
		LostAfter:    10 * time.Second,
		FirstContact: 3 * time.Second,
		ReaderGrace:  15 * time.Second,
	}
}

// Hooks are callbacks that observe a relay. Nil hooks are skipped.
type Hooks struct {
	// Created is called once with the engine's response id.
	Created func(engineID string)
	// Token is called for each token received in order, with the number of tokens so far
	// and the time since the previous token; the first gap is 0.
	Token func(count int, gap time.Duration)
	// Dropped is called for an event that was not forwarded.
	Dropped func(reason DropReason)
	// Resumed is called after the connection was replaced.
	Resumed func()
}

// DropReason is the reason for which an event was not forwarded.
type DropReason string

// The values of DropReason.
const (
	DropForeign   DropReason = "foreign"
	DropDuplicate DropReason = "duplicate"
)

// Result describes the progress of a relay.
type Result struct {
	EngineID string
	// Tokens counts the tokens received in order.
	Tokens int
	// Forwarded is set when any event was handed to the sink.
	Forwarded bool
	// ReaderGone is set when the sink failed before the terminal event.
	ReaderGone bool
	// Terminal is the terminal event, or nil if the stream did not complete.
	Terminal *api.Event
}

// Relay relays one stream. It must not be reused.
type Relay struct {
	backend string
	attempt string
	sink    Sink
	resume  Resume
	opts    Options
	hooks   Hooks

	next       int64
	withheld   []api.Event
	result     Result
	lastToken  time.Time
	readerLeft time.Time
	resumed    bool
	// brokenAt is the time of the first connection failure since the last accepted event;
	// it is zero while events arrive. delay is the backoff between the attempts since then.
	brokenAt time.Time
	delay    *backoff.ExponentialBackOff
}

// New returns a relay for the attempt with this id at a backend server.
func New(backend, attempt string, sink Sink, resume Resume, o Options, h Hooks) *Relay {
	return &Relay{backend: backend, attempt: attempt, sink: sink, resume: resume, opts: o, hooks: h}
}

// NewResumed returns a relay for a known engine stream that begins after the event with
// the sequence number after.
func NewResumed(backend, engineID string, after int64, sink Sink, resume Resume, o Options, h Hooks) *Relay {
	r := New(backend, "", sink, resume, o, h)
	r.next = after + 1
	r.result.EngineID = engineID
	r.resumed = true
	return r
}

// errStalled is the cause of replacing a connection without events for the stall
// timeout.
var errStalled = errors.New("no event within the stall timeout")

// Run relays until the terminal event, the loss of the engine, the end of ctx, or the end
// of ReaderGrace after the reader has disconnected. It closes src. The error is a
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

// consume forwards the events of one connection until it ends. It returns the reason for
// which the relay ends, or for which the connection has to be replaced. An error of the
// source is never final, although it is also a *fault.Error: it concerns the connection
// only.
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

// checkGrace returns an error if the reader disconnected at least ReaderGrace ago.
func (r *Relay) checkGrace() *fault.Error {
	if !r.result.ReaderGone || time.Since(r.readerLeft) < r.opts.ReaderGrace {
		return nil
	}
	return fault.New(fault.Cancelled, "relay", r.backend, api.Ran, "reader did not reconnect within %v", r.opts.ReaderGrace)
}

func (r *Relay) contextFault(ctx context.Context) *fault.Error {
	code := fault.Cancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = fault.DeadlineExceeded
	}
	return fault.Wrap(context.Cause(ctx), code, "relay", r.backend, r.execution())
}

// execution returns the execution state of an attempt that ends early.
func (r *Relay) execution() api.Execution {
	if r.result.EngineID != "" {
		return api.Ran
	}
	return api.Unknown
}
