// Package responsecheck provides client connections on which a broken HTTP response can't be read as a complete one.
// It detects what net/http does not: a reset that is reported to a write only, statuses that no server may send, and
// names of header fields with blanks.
package responsecheck

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Conn is a client's connection to a server. The heads of responses are checked after ExpectResponse.
type Conn struct {
	net.Conn
	// reading protects head.
	reading sync.Mutex
	head    head
	// writing is held during a write.
	writing sync.Mutex
	// lost is the error of a write which shows that the connection broke. It is protected by writing.
	lost error
}

// New returns a connection that reads from c and writes to it.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dialer opens connections.
type Dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// Wrap returns a dialer whose connections are of type *Conn.
func Wrap(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
}

// ExpectResponse states that a response begins, whose head is checked as it is read. buffered are bytes of it that
// were read from the connection before; an error states that they are invalid.
func (c *Conn) ExpectResponse(buffered []byte) error {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.head.expect()
	return c.head.check(buffered)
}

// ExpectResponse is like the method of Conn for a connection that wraps one, such as in the trace hook GotConn
// of net/http. It does nothing for other connections.
func ExpectResponse(c net.Conn) {
	for c != nil {
		if checked, ok := c.(*Conn); ok {
			_ = checked.ExpectResponse(nil)
			return
		}
		wrapper, ok := c.(interface{ Unwrap() net.Conn })
		if !ok {
			return
		}
		c = wrapper.Unwrap()
	}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && showsLoss(err) {
		c.lost = err
	}
	return n, err
}

// showsLoss reports whether the error of a write shows that the connection broke before the server ended
// its direction. EPIPE shows the opposite: the kernel reports it for a reset that follows the server's FIN.
func showsLoss(err error) bool {
	return !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read implements net.Conn. It returns io.EOF only if the server has ended its direction of the connection, and
// an error for the head of a response that is invalid.
//
// The kernel reports the loss of a connection to one system call only. If that is a write of the request,
// reads return io.EOF afterwards, and a response that ends with its connection would look complete.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.checkHead(nil); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if invalid := c.checkHead(b[:n]); invalid != nil {
		return 0, invalid
	}
	if errors.Is(err, io.EOF) {
		if lost := c.stopWriting(); lost != nil {
			return n, eris.Wrap(lost, "connection broke during a write")
		}
	}
	return n, err
}

// checkHead checks the next bytes of a response. It returns an error also if bytes before them were invalid.
func (c *Conn) checkHead(b []byte) error {
	c.reading.Lock()
	defer c.reading.Unlock()
	return c.head.check(b)
}

// stopWriting ends a write in progress, which can't change the response any more, and all later ones. It
// returns the error of the write that the loss of the connection was reported to.
func (c *Conn) stopWriting() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // in the past
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.lost
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.Errorf("connection of type %T has no file descriptor", c.Conn)
	}
	return raw.SyscallConn()
}
