package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// writeTimeout is the maximum duration of one write. net/rpc holds a lock while it writes, so
// that a write to a frozen peer would otherwise block every later call to that peer.
const writeTimeout = 2 * time.Second

// Traffic counts the bytes that a Server or Pool sends and receives, including handshakes.
type Traffic struct {
	in, out atomic.Int64
}

// In returns the number of bytes received.
func (t *Traffic) In() int64 { return t.in.Load() }

// Out returns the number of bytes sent.
func (t *Traffic) Out() int64 { return t.out.Load() }

// countedConn is a connection that adds its bytes to traffic and applies writeTimeout.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements io.Reader.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c countedConn) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(int64(n))
	return n, err
}
