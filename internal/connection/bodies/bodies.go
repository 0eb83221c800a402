// Package bodies reads the bodies of responses and bounds the memory that they take together, so
// that responses without end leave memory to other requests.
package bodies

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// maxReadBytes bounds the bodies that are being read, beyond the first readStep bytes of each.
	maxReadBytes = 16 << 20
	readStep     = 64 << 10
)

// Errors of Reader.ReadAll, other than those of the body.
var (
	ErrTooLarge = eris.New("body of the response is too large")
	ErrNoMemory = eris.New("bodies of other responses take all memory set aside for bodies")
)

// Reader reads bodies. The zero value is ready for use. It is safe for concurrent use.
type Reader struct {
	// reading is the number of bytes of bodies that are being read.
	reading atomic.Int64
}

// ReadAll reads a body of at most limit bytes.
func (m *Reader) ReadAll(r io.Reader, limit int) ([]byte, error) {
	var parts [][]byte
	held := 0
	defer func() { m.reading.Add(-int64(held)) }()
	for {
		part := make([]byte, readStep)
		n, err := readFull(r, part)
		parts = append(parts, part[:n])
		held += readStep
		reading := m.reading.Add(readStep)
		switch {
		case held-readStep+n > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return bytes.Join(parts, nil), nil
		case err != nil:
			return nil, err
		case reading > maxReadBytes && held > readStep:
			return nil, ErrNoMemory
		}
	}
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
