package backend

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBuffer is the size of a connection's read buffer in bytes; an event of a
// stream is some hundred bytes long.
const readBuffer = 2 << 10

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// reused is set once a connection carries a second request.
	reused    bool
	idleSince time.Time
	// keepFor is how long the server keeps the connection open when it is unused.
	keepFor time.Duration
}

func newConn(n net.Conn, address string) *conn {
	return &conn{Conn: n, address: address, reader: bufio.NewReaderSize(n, readBuffer), keepFor: maxIdleAge}
}

func (c *conn) close() { _ = c.Close() }

// quiet reports whether an unused connection is open and holds no bytes. Bytes
// that came after a complete answer belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
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

// noteKeepAlive takes over how long the server keeps an unused connection.
func (c *conn) noteKeepAlive(h http.Header) {
	const margin = time.Second // the statement is in whole seconds, and closing takes a trip
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.keepFor = min(maxIdleAge, max(0, time.Duration(seconds)*time.Second-margin))
		}
	}
}
