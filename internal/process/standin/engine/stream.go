package engine

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"persimmonwing/internal/request/api"
)

// stream is the event buffer of one generation. Token texts follow from id,
// marker and index, so that it stores only their number: event 0 is created,
// events 1 to tokens are deltas, and the terminal event follows.
type stream struct {
	created api.Response
	marker  string
	// orphan ends the generation when no reader came back in time.
	orphan        func()
	orphanTimeout time.Duration

	mu      sync.Mutex
	tokens  int
	final   *api.Event
	ended   chan struct{}
	readers map[*reader]struct{}
	timer   *time.Timer
}

// reader is woken after each change of a stream; wake-ups merge.
type reader struct{ wake chan struct{} }

func newStream(created api.Response, marker string, orphanTimeout time.Duration, orphan func()) *stream {
	s := &stream{
		created:       created,
		marker:        marker,
		orphan:        orphan,
		orphanTimeout: orphanTimeout,
		ended:         make(chan struct{}),
		readers:       map[*reader]struct{}{},
	}
	s.timer = time.AfterFunc(orphanTimeout, s.checkOrphan)
	return s
}

// id returns the response id.
func (s *stream) id() string { return s.created.ID }

// tokenText returns the text of token i, from which a reader can check
// identity and order.
func (s *stream) tokenText(i int) string {
	return fmt.Sprintf("%s|%s|%d ", s.id(), s.marker, i)
}

func (s *stream) appendToken() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens++
	s.wakeLocked()
}

// finish adds the terminal event. Only the first call has an effect.
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

// last returns the sequence number of the last event that exists now.
func (s *stream) last() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastLocked()
}

func (s *stream) lastLocked() int64 {
	if s.final != nil {
		return s.final.SequenceNumber
	}
	return int64(s.tokens)
}

// closedBefore reports whether the terminal event comes before number n.
func (s *stream) closedBefore(n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.final != nil && s.final.SequenceNumber < n
}

// readLimit bounds the events that read returns at once.
const readLimit = 256

// read returns the events from sequence number next on, at most readLimit.
func (s *stream) read(next int64) []api.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := min(s.lastLocked()+1, next+readLimit)
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

// summary returns the response as it is now without its text, and the number
// of its tokens.
func (s *stream) summary() (api.Response, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.final != nil {
		return *s.final.Response, s.tokens
	}
	return s.created, s.tokens
}

// response returns the response as it is now with its text.
func (s *stream) response() api.Response {
	r, tokens := s.summary()
	var text strings.Builder
	for i := range tokens {
		text.WriteString(s.tokenText(i))
	}
	r.OutputText = text.String()
	return r
}

// join registers a reader.
func (s *stream) join() *reader {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &reader{wake: make(chan struct{}, 1)}
	s.readers[r] = struct{}{}
	s.timer.Stop()
	return r
}

// leave removes a reader and starts the orphan timeout after the last one.
func (s *stream) leave(r *reader) {
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
		s.orphan()
	}
}
