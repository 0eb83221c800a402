// Package eventstream splits a stream of server-sent events into whole events
// without changing their bytes.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// MaxEventBytes bounds one event. A larger one fails the stream.
const MaxEventBytes = 1 << 20

// ErrTooLarge is returned for an event of more than MaxEventBytes.
var ErrTooLarge = errors.New("event is too large")

// ErrCutOff is returned for a stream that ends in the middle of an event.
var ErrCutOff = errors.New("stream ends in the middle of an event")

// Event is one event with the blank line that ends it.
type Event struct {
	Raw []byte
	// ID is the event's id; HasID is false for events without one.
	ID    int64
	HasID bool
}

// Reader reads events. It is not safe for concurrent use.
type Reader struct{ r *bufio.Reader }

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReader(r)} }

// Next returns the next whole event, whose bytes the caller may keep. At the end
// of the stream it returns io.EOF, and ErrCutOff for an event that is not whole.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.r.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.Raw) > 0:
			return Event{}, ErrCutOff
		case err != nil:
			return Event{}, err
		}
		if len(e.Raw) > MaxEventBytes {
			return Event{}, ErrTooLarge
		}
		if err != nil {
			continue
		}
		if content := bytes.TrimRight(line, "\r\n"); len(content) == 0 && wholeLine(e.Raw, line) {
			e.parse()
			return e, nil
		}
	}
}

// wholeLine reports whether line, the end of raw, starts at the start of a line.
func wholeLine(raw, line []byte) bool {
	before := len(raw) - len(line)
	return before == 0 || raw[before-1] == '\n'
}

// parse finds the id field.
func (e *Event) parse() {
	for line := range bytes.Lines(e.Raw) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			e.ID, e.HasID = id, true
		}
	}
}
