package responsecheck_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/responsecheck"
	"persimmonwing/internal/connection/responsecheck/responsechecktest"
)

// dial opens a connection to a server that calls end at once.
func dial(t *testing.T, end func(*net.TCPConn)) net.Conn {
	address := responsechecktest.Serve(t, func(c *net.TCPConn, _ *bufio.Reader) { end(c) })
	c, err := responsecheck.Wrap(new(net.Dialer).DialContext)(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// writeUntilError writes single bytes until that fails.
func writeUntilError(c net.Conn) error {
	for {
		if _, err := c.Write([]byte{'x'}); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a reset that only a write sees, so that the end of the connection looks regular.
func TestResetSeenByAWrite(t *testing.T) {
	is := is.New(t)
	c := dial(t, responsechecktest.Reset)
	is.True(errors.Is(writeUntilError(c), syscall.ECONNRESET))
	for range 2 {
		_, err := c.Read(make([]byte, 1))
		is.True(errors.Is(err, syscall.ECONNRESET))
	}
}

// Guards against a regular end that counts as a reset because the server resets the connection after it, as it does
// when bytes arrive at a closed connection.
func TestResetAfterTheEnd(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	c := dial(t, func(c *net.TCPConn) {
		_ = c.Close()
		close(closed)
	})
	<-closed // bytes that the server had not read would make it reset the connection at once
	is.True(errors.Is(writeUntilError(c), syscall.EPIPE))
	_, err := c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// Guards against an end that is not seen until the server has read what is being written, which it may never do.
func TestEndDuringAWrite(t *testing.T) {
	is := is.New(t)
	stopped := make(chan struct{})
	defer close(stopped)
	c := dial(t, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		<-stopped
	})
	const endlessBytes = 64 << 20 // the buffers of both sockets are smaller
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, endlessBytes))
		written <- err
	}()
	_, err := c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(<-written != nil)
}
