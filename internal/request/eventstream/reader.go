// Package eventstream splits a stream of server-sent events into single events without
// changing their bytes.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// MaxEventBytes is the maximum size of one event in bytes. A larger event is an error. The
// events of 200 streams that send a line without end take less than 8 MB.
const MaxEventBytes = 32 << 10

// ErrTooLarge is returned for an event larger than MaxEventBytes.
var ErrTooLarge = errors.New("event is too large")

// ErrTruncated is returned for a stream that ends in the middle of an event.
var ErrTruncated = errors.New("stream ends in the middle of an event")

// Event is one server-sent event. Raw contains its bytes, including the blank line that
// ends it.
type Event struct {
	Raw []byte
	// ID is the event's numeric id. HasID is false for events without one.
	ID    int64
	HasID bool
	// Progress is set for an event with an id or data. Comments and empty events, which a
	// stalled server may send now and then, are no progress.
	Progress bool
	// Comment is set for an event that consists of comments and empty lines.
	Comment bool
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct{ r *bufio.Reader }

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReader(r)} }

// Next returns the next event. The caller may keep its bytes. At the end of the stream
// Next returns io.EOF, or ErrTruncated if the last event is incomplete.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.r.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.Raw) > 0:
			return Event{}, ErrTruncated
		case err != nil:
			return Event{}, err
		}
		if len(e.Raw) > MaxEventBytes {
			return Event{}, ErrTooLarge
		}
		if err != nil {
			continue
		}
		if content := bytes.TrimRight(line, "\r\n"); len(content) == 0 && startsLine(e.Raw, line) {
			e.parse()
			return e, nil
		}
	}
}

// startsLine reports whether line, the end of raw, begins at the start of a line.
func startsLine(raw, line []byte) bool {
	before := len(raw) - len(line)
	return before == 0 || raw[before-1] == '\n'
}

// parse sets the fields that describe the event.
func (e *Event) parse() {
	e.Comment = true
	for line := range bytes.Lines(e.Raw) {
		if len(bytes.TrimRight(line, "\r\n")) > 0 && line[0] != ':' {
			e.Comment = false
		}
		if content, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			e.Progress = e.Progress || len(bytes.TrimSpace(content)) > 0
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			e.ID, e.HasID, e.Progress = id, true, true
		}
	}
}
