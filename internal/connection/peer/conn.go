package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// While calls are pending, a ping is sent every pingInterval. If a ping gets no reply within
// pingTimeout, the connection is closed. The duration of a call can't be used to detect a frozen
// peer, because calls that wait for a grant may take long.
const (
	pingInterval = 500 * time.Millisecond
	pingTimeout  = time.Second
)

const pingServiceName = "Peer"

// pingService is the RPC service that replies to pings.
type pingService struct{}

// Ping returns an empty reply.
func (pingService) Ping(*struct{}, *struct{}) error { return nil }

// errPingTimeout is the error of all pending calls on a connection whose peer doesn't reply to
// pings.
var errPingTimeout = eris.New("peer did not reply to a ping within the time-out")

// conn is an open connection to a peer.
type conn struct {
	client  *rpc.Client
	onClose func(*conn, error)
	pending atomic.Int64
	lastUse atomic.Int64 // Unix nanoseconds
	// pingDue is set if a call was abandoned before its reply, so that the next tick of watch
	// sends a ping even if no other call is pending.
	pingDue   atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
	closeErr  error
}

// newConn returns a connection over c, on which the handshake has been completed. The caller must
// run its method watch. onClose is called once when the connection is closed.
func newConn(c net.Conn, onClose func(*conn, error)) *conn {
	n := &conn{client: rpc.NewClientWithCodec(NewClientCodec(c)), onClose: onClose, closed: make(chan struct{})}
	n.touch()
	return n
}

func (c *conn) touch() { c.lastUse.Store(time.Now().UnixNano()) }

// shutdown closes the connection with the given error. Only the first call has an effect.
func (c *conn) shutdown(err error) {
	c.closeOnce.Do(func() {
		c.closeErr = err
		close(c.closed)
		c.onClose(c, err)
		_ = c.client.Close()
	})
}

// startCall sends a call in a new goroutine, so that a full socket buffer doesn't block the caller.
func (c *conn) startCall(method string, args, reply any) <-chan error {
	done := make(chan error, 1)
	go func() { done <- c.client.Call(method, args, reply) }()
	return done
}

// call sends a call and waits for its reply, the end of the connection or the end of ctx.
func (c *conn) call(ctx context.Context, method string, args, reply any) error {
	c.pending.Add(1)
	defer c.pending.Add(-1)
	c.touch()
	select {
	case err := <-c.startCall(method, args, reply):
		if _, answered := errors.AsType[rpc.ServerError](err); err != nil && !answered {
			c.shutdown(err)
		}
		return err
	case <-c.closed:
		return c.closeErr
	case <-ctx.Done():
		c.pingDue.Store(true)
		return ctx.Err()
	}
}

// watch pings the peer while calls are pending and closes the connection after idleTimeout without
// calls. It returns when the connection is closed.
func (c *conn) watch() {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-c.closed:
			return
		}
		switch {
		case c.pending.Load() > 0, c.pingDue.Swap(false):
			c.ping()
		case time.Since(time.Unix(0, c.lastUse.Load())) > idleTimeout:
			c.shutdown(eris.New("connection closed after the idle time-out"))
		}
	}
}

func (c *conn) ping() {
	timeout := time.NewTimer(pingTimeout)
	defer timeout.Stop()
	select {
	case err := <-c.startCall(pingServiceName+".Ping", &struct{}{}, &struct{}{}):
		if err != nil {
			c.shutdown(err)
		}
	case <-timeout.C:
		c.shutdown(errPingTimeout)
	case <-c.closed:
	}
}
