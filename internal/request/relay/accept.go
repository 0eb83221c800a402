package relay

import (
	"fmt"
	"time"

	"persimmonwing/internal/request/api"
)

// accept checks one event and forwards it. An error means that events are missing, so
// that the connection has to be replaced.
func (r *Relay) accept(e api.Event) error {
	if r.foreign(e) {
		r.reportDropped(DropForeign)
		return nil
	}
	if e.SequenceNumber < r.next {
		r.reportDropped(DropDuplicate)
		return nil
	}
	if e.SequenceNumber > r.next {
		return fmt.Errorf("out-of-order event: got sequence number %d, expected %d", e.SequenceNumber, r.next)
	}
	r.forward(e)
	return nil
}

// foreign reports whether the event belongs to a different stream or attempt.
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

func (r *Relay) reportDropped(reason DropReason) {
	if r.hooks.Dropped != nil {
		r.hooks.Dropped(reason)
	}
}

// forward processes the next event in sequence and sends it to the reader.
func (r *Relay) forward(e api.Event) {
	r.next++
	r.brokenAt = time.Time{}
	switch {
	case e.Type == api.EventCreated:
		r.recordCreated(e.Response.ID)
	case e.Type == api.EventDelta:
		r.recordToken()
	case e.Type.Terminal():
		r.result.Terminal = &e
	}
	// The created event is withheld until the first token, so that an engine that is lost
	// before the token can be replaced without an effect on the reader.
	if !r.result.Forwarded && e.Type == api.EventCreated {
		r.withheld = append(r.withheld, e)
		return
	}
	for _, h := range r.withheld {
		r.send(h)
	}
	r.withheld = nil
	r.send(e)
}

func (r *Relay) recordCreated(engineID string) {
	if r.result.EngineID != "" {
		return
	}
	r.result.EngineID = engineID
	if r.hooks.Created != nil {
		r.hooks.Created(engineID)
	}
}

func (r *Relay) recordToken() {
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

// send passes an event to the sink unless the reader has disconnected.
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
