package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"persimmonwing/internal/connection/responsecheck"
)

// readBufferSize is the size of a connection's read buffer in bytes. One stream event has a few
// hundred bytes.
const readBufferSize = 2 << 10

// conn is a connection to a backend server. It carries one request at a time.
type conn struct {
	*responsecheck.Conn
	key    connKey
	limit  *limitedReader
	reader *bufio.Reader
	// reused is true if the connection has carried an earlier request.
	reused bool
	// lastID is the Request.ID of the last request.
	lastID    string
	idleSince time.Time
	// idleTimeout is the time for which the connection may be idle before it is no longer
	// reused.
	idleTimeout time.Duration
}

// connKey identifies the connections that may carry a request.
type connKey struct {
	address string
	control bool
}

func newConn(n net.Conn, key connKey) *conn {
	checked := responsecheck.New(n)
	limit := &limitedReader{r: checked}
	return &conn{Conn: checked, key: key, limit: limit, reader: bufio.NewReaderSize(limit, readBufferSize), idleTimeout: maxIdleAge}
}

// limitedReader limits the bytes that are read from a connection between begin and end.
type limitedReader struct {
	r       io.Reader
	limited bool
	left    int
}

func (l *limitedReader) begin(limit int) { l.limited, l.left = true, limit }
func (l *limitedReader) end()            { l.limited = false }

// add changes the number of bytes that may still be read.
func (l *limitedReader) add(n int) { l.left += n }

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if !l.limited {
		return l.r.Read(b)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.r.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

// expectResponse states that the next bytes to be parsed begin a response.
func (c *conn) expectResponse() error {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	return c.ExpectResponse(buffered)
}

func (c *conn) close() { _ = c.Close() }

// reusable reports whether an idle connection is still open and has no unread bytes. Bytes
// received after a complete response belong to no request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = peekErr == unix.EAGAIN || peekErr == unix.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// updateIdleTimeout sets idleTimeout from the Keep-Alive header of a response, which states how
// long the server keeps an idle connection open.
func (c *conn) updateIdleTimeout(h http.Header) {
	const margin = time.Second // the header has whole seconds only, and a close arrives with network delay
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleTimeout = min(maxIdleAge, max(0, time.Duration(seconds)*time.Second-margin))
		}
	}
}
