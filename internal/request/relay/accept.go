package relay

import (
	"fmt"
	"time"

	"persimmonwing/internal/request/api"
)

// accept checks one event and forwards it. An error means that events are
// missing and the link has to be replaced.
func (r *Relay) accept(e api.Event) error {
	if r.foreign(e) {
		r.drop(DropForeign)
		return nil
	}
	if e.SequenceNumber < r.next {
		r.drop(DropDuplicate)
		return nil
	}
	if e.SequenceNumber > r.next {
		return fmt.Errorf("event %d came where %d was due", e.SequenceNumber, r.next)
	}
	r.forward(e)
	return nil
}

// foreign reports whether the event belongs to another stream or attempt.
func (r *Relay) foreign(e api.Event) bool {
	switch {
	case e.Type == api.EventCreated:
		return e.Response == nil || r.foreignCreated(e.Response)
	case e.Type == api.EventDelta:
		return r.result.EngineID == "" || e.ItemID != api.ItemID(r.result.EngineID)
	case e.Type.Terminal():
		return e.Response == nil || e.Response.ID != r.result.EngineID
	default:
		return true
	}
}

func (r *Relay) foreignCreated(created *api.Response) bool {
	if r.result.EngineID != "" {
		return created.ID != r.result.EngineID
	}
	return created.ID == "" || created.Metadata[api.MetadataAttempt] != r.attempt
}

func (r *Relay) drop(reason DropReason) {
	if r.hooks.Dropped != nil {
		r.hooks.Dropped(reason)
	}
}

// forward takes the event that is due.
func (r *Relay) forward(e api.Event) {
	r.next++
	r.brokenAt = time.Time{}
	switch {
	case e.Type == api.EventCreated:
		r.created(e.Response.ID)
	case e.Type == api.EventDelta:
		r.token()
	case e.Type.Terminal():
		r.result.Terminal = &e
	}
	// Events are withheld until the first token, so that an engine lost before
	// it can be replaced without the reader noticing.
	if !r.result.Forwarded && e.Type == api.EventCreated {
		r.held = append(r.held, e)
		return
	}
	for _, h := range r.held {
		r.send(h)
	}
	r.held = nil
	r.send(e)
}

func (r *Relay) created(engineID string) {
	if r.result.EngineID != "" {
		return
	}
	r.result.EngineID = engineID
	if r.hooks.Created != nil {
		r.hooks.Created(engineID)
	}
}

func (r *Relay) token() {
	now := time.Now()
	var gap time.Duration
	if !r.lastToken.IsZero() {
		gap = now.Sub(r.lastToken)
	}
	r.lastToken = now
	r.result.Tokens++
	if r.hooks.Token != nil {
		r.hooks.Token(r.result.Tokens, gap)
	}
}

// send hands an event to the reader unless the reader has gone.
func (r *Relay) send(e api.Event) {
	if r.result.ReaderGone {
		return
	}
	r.result.Forwarded = true
	if err := r.sink.Send(e); err != nil {
		r.result.ReaderGone = true
		r.readerLeft = time.Now()
	}
}
