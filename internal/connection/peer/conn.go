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

// While calls are pending, a ping is sent every pingInterval and the
// connection is dropped when one is not answered within pingTimeout. Calls that
// wait for a grant may last long, so their length does not show a frozen peer.
const (
	pingInterval = 500 * time.Millisecond
	pingTimeout  = time.Second
)

const pingName = "Peer"

// pingService answers pings.
type pingService struct{}

// Ping does nothing.
func (pingService) Ping(*struct{}, *struct{}) error { return nil }

// errStalled fails the calls of a connection whose peer does not answer pings.
var errStalled = eris.New("peer does not answer")

// conn is an open connection.
type conn struct {
	client  *rpc.Client
	lost    func(*conn, error)
	pending atomic.Int64
	lastUse atomic.Int64 // Unix nanoseconds
	// doubted is set when a call ended without an answer.
	doubted atomic.Bool
	once    sync.Once
	ended   chan struct{}
	cause   error
}

// newConn returns a connection whose watch the caller starts.
func newConn(c net.Conn, lost func(*conn, error)) *conn {
	n := &conn{client: rpc.NewClientWithCodec(NewClientCodec(c)), lost: lost, ended: make(chan struct{})}
	n.touch()
	return n
}

func (c *conn) touch() { c.lastUse.Store(time.Now().UnixNano()) }

// end closes the connection once.
func (c *conn) end(err error) {
	c.once.Do(func() {
		c.cause = err
		close(c.ended)
		c.lost(c, err)
		_ = c.client.Close()
	})
}

// start sends a call without blocking the caller on a full socket.
func (c *conn) start(method string, args, reply any) <-chan error {
	done := make(chan error, 1)
	go func() { done <- c.client.Call(method, args, reply) }()
	return done
}

// call waits for the answer, the end of the connection or the end of ctx.
func (c *conn) call(ctx context.Context, method string, args, reply any) error {
	c.pending.Add(1)
	defer c.pending.Add(-1)
	c.touch()
	select {
	case err := <-c.start(method, args, reply):
		if _, answered := errors.AsType[rpc.ServerError](err); err != nil && !answered {
			c.end(err)
		}
		return err
	case <-c.ended:
		return c.cause
	case <-ctx.Done():
		c.doubted.Store(true)
		return ctx.Err()
	}
}

// watch pings the peer while calls are pending and ends an idle connection.
func (c *conn) watch() {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-c.ended:
			return
		}
		switch {
		case c.pending.Load() > 0, c.doubted.Swap(false):
			c.ping()
		case time.Since(time.Unix(0, c.lastUse.Load())) > idleTimeout:
			c.end(eris.New("idle"))
		}
	}
}

func (c *conn) ping() {
	timeout := time.NewTimer(pingTimeout)
	defer timeout.Stop()
	select {
	case err := <-c.start(pingName+".Ping", &struct{}{}, &struct{}{}):
		if err != nil {
			c.end(err)
		}
	case <-timeout.C:
		c.end(errStalled)
	case <-c.ended:
	}
}
