package relay

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/request/pause"
)

// Delays between attempts to reconnect to the engine.
const (
	resumeDelayMin = 20 * time.Millisecond
	resumeDelayMax = 500 * time.Millisecond
)

// reopen replaces the connection. It returns an error if the engine no longer has the
// stream, if its process has ended, or if for too long it has not answered or all new
// connections have broken before their first event.
func (r *Relay) reopen(ctx context.Context, cause error) (Source, error) {
	if r.result.EngineID == "" {
		return nil, fault.Wrap(cause, fault.EngineLost, "relay", r.backend, api.Unknown)
	}
	limit := r.opts.LostAfter
	if r.result.Tokens == 0 && !r.resumed {
		limit = r.opts.FirstContact
	}
	if r.brokenAt.IsZero() || errors.Is(cause, errStalled) {
		r.startBackoff()
	} else if err := r.pause(ctx, limit, cause); err != nil {
		return nil, err
	}
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
		if fault.From(err).Code == fault.UnknownResponse || errors.Is(err, syscall.ECONNREFUSED) {
			// A refused connection means that the engine's process and its streams have ended.
			return nil, r.engineLost(errors.Join(cause, err))
		}
		if err := r.pause(ctx, limit, errors.Join(cause, err)); err != nil {
			return nil, err
		}
	}
}

func (r *Relay) startBackoff() {
	r.brokenAt = time.Now()
	r.delay = backoff.NewExponentialBackOff()
	r.delay.InitialInterval = resumeDelayMin
	r.delay.MaxInterval = resumeDelayMax
}

func (r *Relay) engineLost(cause error) *fault.Error {
	return fault.Wrap(cause, fault.EngineLost, "relay", r.backend, api.Ran)
}

// pause waits before the next attempt. It returns an error that ends the relay if no
// event has arrived for the limit since the connection broke.
func (r *Relay) pause(ctx context.Context, limit time.Duration, cause error) error {
	if time.Since(r.brokenAt) >= limit {
		return r.engineLost(cause)
	}
	if pause.For(ctx, r.delay.NextBackOff()) != nil {
		return r.contextFault(ctx)
	}
	return nil
}

// resumeWithin reopens the stream and returns an error if ctx ends first. The context of
// the new connection does not end with ctx, but when the source is closed.
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

// cancelOnClose is a Source that cancels the context of its connection on Close.
type cancelOnClose struct {
	Source
	cancel context.CancelFunc
}

func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.Source.Close()
}
