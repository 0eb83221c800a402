// Package bodies reads the bodies and event streams of responses and bounds the memory that they take
// together, so that responses without end leave memory to other requests.
package bodies

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// maxReadBytes bounds the bodies and buffers of events that are being read, beyond the first readStep
	// bytes of each.
	maxReadBytes = 16 << 20
	readStep     = 64 << 10
	// bufferGrowth is the size of a buffer that is doubled for an event, in sizes of the event.
	bufferGrowth = 2
)

// Errors of Reader, other than those of the body.
var (
	ErrTooLarge = eris.New("body of the response is too large")
	ErrNoMemory = eris.New("bodies of other responses take all memory set aside for bodies")
)

// parts holds the memory of bodies that have been read, for the next ones. Without it, bodies that are
// discarded would fill the heap faster than it is collected.
var parts = sync.Pool{New: func() any { return new([readStep]byte) }}

// Reader reads bodies and event streams. The zero value is ready for use. It is safe for concurrent use.
type Reader struct {
	// reading is the number of bytes of bodies that are being read, and of the buffers of event streams.
	reading atomic.Int64
}

// ReadAll reads a body of at most limit bytes. A body that is larger than maxReadBytes is read as long as
// it is the only large one.
func (m *Reader) ReadAll(r io.Reader, limit int) ([]byte, error) {
	var read [][]byte
	held := int64(0)
	defer func() {
		m.reading.Add(-held)
		for _, part := range read {
			parts.Put((*[readStep]byte)(part[:readStep]))
		}
	}()
	for size := 0; ; {
		part := parts.Get().(*[readStep]byte)
		n, err := readFull(r, part[:])
		read = append(read, part[:n])
		size += n
		switch {
		case size > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return bytes.Join(read, nil), nil
		case err != nil:
			return nil, err
		}
		held += readStep
		if reading := m.reading.Add(readStep); reading > maxReadBytes && reading > held {
			return nil, ErrNoMemory
		}
	}
}

// EventStream bounds the memory of the buffer that an event stream is parsed from. It is not safe for
// concurrent use.
type EventStream struct {
	reader *Reader
	body   io.Reader
	// limit is the maximum size of an event, to which the parser's buffer grows.
	limit int
	// event is the number of bytes read since the last event, and held the part of the buffer's size that
	// is counted. The buffer doesn't shrink.
	event, held int
}

// Events returns a reader of the events in body, each of at most limit bytes. Release must be called at the end.
func (m *Reader) Events(body io.Reader, limit int) *EventStream {
	return &EventStream{reader: m, body: body, limit: limit}
}

// Read implements io.Reader. It returns ErrNoMemory if the buffers take too much memory.
func (s *EventStream) Read(b []byte) (int, error) {
	n, err := s.body.Read(b)
	s.event = min(s.event+n, s.limit) // the parser does not keep comments between events
	if grown := bufferGrowth*s.event - readStep - s.held; grown > 0 {
		s.held += grown
		if s.reader.reading.Add(int64(grown)) > maxReadBytes {
			return n, ErrNoMemory
		}
	}
	return n, err
}

// NextEvent records that the parser has returned an event.
func (s *EventStream) NextEvent() { s.event = 0 }

// Release returns the memory of the buffer.
func (s *EventStream) Release() {
	s.reader.reading.Add(-int64(s.held))
	s.held = 0
}

// readFull fills b. Unlike io.ReadFull, it returns io.EOF at the end of a body that does not fill b, so that a
// body which is cut off can be told from it.
func readFull(r io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var more int
		more, err = r.Read(b[n:])
		n += more
	}
	return n, err
}
