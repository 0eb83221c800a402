package engine

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"persimmonwing/internal/request/api"
)

// stream is the event buffer of one generation. Token texts are computed from id,
// marker and index, so only the number of tokens is stored. Event 0 is the
// created event, events 1 to tokens are deltas, and the terminal event follows.
type stream struct {
	created api.Response
	marker  string
	// onOrphaned is called when the stream has had no reader for orphanTimeout.
	onOrphaned    func()
	orphanTimeout time.Duration

	mu      sync.Mutex
	tokens  int
	final   *api.Event
	ended   chan struct{}
	readers map[*reader]struct{}
	timer   *time.Timer
}

// reader is notified on wake after each change of a stream. Notifications that
// are not received yet are coalesced.
type reader struct{ wake chan struct{} }

func newStream(created api.Response, marker string, orphanTimeout time.Duration, onOrphaned func()) *stream {
	s := &stream{
		created:       created,
		marker:        marker,
		onOrphaned:    onOrphaned,
		orphanTimeout: orphanTimeout,
		ended:         make(chan struct{}),
		readers:       map[*reader]struct{}{},
	}
	s.timer = time.AfterFunc(orphanTimeout, s.checkOrphan)
	return s
}

// id returns the response id.
func (s *stream) id() string { return s.created.ID }

// tokenText returns the text of token i. It contains the response id, the marker
// and i, so that readers can detect foreign, missing and reordered tokens.
func (s *stream) tokenText(i int) string {
	return fmt.Sprintf("%s|%s|%d ", s.id(), s.marker, i)
}

func (s *stream) appendToken() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens++
	s.wakeLocked()
}

// finish appends the terminal event. Only the first call has an effect.
func (s *stream) finish(status api.Status, reason string, inputTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.final != nil {
		return
	}
	r := s.created
	r.Status = status
	r.IncompleteReason = reason
	r.Usage = &api.Usage{InputTokens: inputTokens, OutputTokens: s.tokens}
	kind := api.EventIncomplete
	if status == api.StatusCompleted {
		kind = api.EventCompleted
	}
	s.final = &api.Event{Type: kind, SequenceNumber: int64(s.tokens) + 1, Response: &r}
	s.timer.Stop()
	close(s.ended)
	s.wakeLocked()
}

func (s *stream) wakeLocked() {
	for r := range s.readers {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// lastNumber returns the sequence number of the latest event.
func (s *stream) lastNumber() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastNumberLocked()
}

func (s *stream) lastNumberLocked() int64 {
	if s.final != nil {
		return s.final.SequenceNumber
	}
	return int64(s.tokens)
}

// endedBefore reports whether the terminal event has a sequence number below n.
func (s *stream) endedBefore(n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.final != nil && s.final.SequenceNumber < n
}

// readLimit is the maximum number of events that one call of read returns.
const readLimit = 256

// read returns the events from sequence number next on, at most readLimit.
func (s *stream) read(next int64) []api.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := min(s.lastNumberLocked()+1, next+readLimit)
	events := make([]api.Event, 0, max(0, end-next))
	for n := next; n < end; n++ {
		events = append(events, s.eventLocked(n))
	}
	return events
}

func (s *stream) eventLocked(n int64) api.Event {
	switch {
	case n == 0:
		r := s.created
		return api.Event{Type: api.EventCreated, Response: &r}
	case n <= int64(s.tokens):
		return api.Event{
			Type:           api.EventDelta,
			SequenceNumber: n,
			ItemID:         api.ItemID(s.id()),
			Delta:          s.tokenText(int(n) - 1),
		}
	default:
		return *s.final
	}
}

// summary returns the current response without its output text, and the number
// of tokens generated.
func (s *stream) summary() (api.Response, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.final != nil {
		return *s.final.Response, s.tokens
	}
	return s.created, s.tokens
}

// response returns the current response with its output text.
func (s *stream) response() api.Response {
	r, tokens := s.summary()
	var text strings.Builder
	for i := range tokens {
		text.WriteString(s.tokenText(i))
	}
	r.OutputText = text.String()
	return r
}

// register registers a reader and stops the orphan timeout.
func (s *stream) register() *reader {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &reader{wake: make(chan struct{}, 1)}
	s.readers[r] = struct{}{}
	s.timer.Stop()
	return r
}

// unregister removes a reader. If it was the last reader and the generation
// continues, the orphan timeout starts.
func (s *stream) unregister(r *reader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.readers, r)
	if len(s.readers) == 0 && s.final == nil {
		s.timer.Reset(s.orphanTimeout)
	}
}

func (s *stream) checkOrphan() {
	s.mu.Lock()
	abandoned := len(s.readers) == 0 && s.final == nil
	s.mu.Unlock()
	if abandoned {
		s.onOrphaned()
	}
}
