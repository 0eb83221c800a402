package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"persimmonwing/internal/process/daemon"
)

const (
	// idlePollInterval is the interval at which waitIdle checks the open connections.
	idlePollInterval = 20 * time.Millisecond
	// acceptQueueTime is how long the connections in the listener's queue are accepted after
	// new ones are ignored.
	acceptQueueTime = 100 * time.Millisecond
)

// connections tracks the open connections of callers.
type connections struct {
	daemon.Connections
	// lastRequest is the start time of the latest request, in Unix nanoseconds.
	lastRequest atomic.Int64
}

// waitIdle returns when no connection is open or no new request has arrived for the
// linger time. It does not wait for requests in progress.
func (c *connections) waitIdle(linger time.Duration) {
	c.lastRequest.Store(time.Now().UnixNano())
	for c.Counts() != (daemon.ConnectionCounts{}) && time.Since(time.Unix(0, c.lastRequest.Load())) < linger {
		time.Sleep(idlePollInterval)
	}
}

// closeOnce is a listener whose Close may be called more than once, as both drain and
// the server close it.
type closeOnce struct {
	net.Listener
	once sync.Once
	err  error
}

// SyscallConn implements syscall.Conn.
func (l *closeOnce) SyscallConn() (syscall.RawConn, error) {
	c, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, eris.Errorf("listener of type %T has no socket", l.Listener)
	}
	return c.SyscallConn()
}

// Close implements net.Listener.
func (l *closeOnce) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// drain shuts the caller server down gracefully: it fails the readiness check, waits
// DrainDelay for the load balancer to notice, closes the listener and waits for all
// requests in progress. Responses during the drain close their connection, so that
// callers reconnect to other gateways.
func (g *Gateway) drain(server *http.Server, callers net.Listener) error {
	g.stopping.Store(true)
	_ = level.Info(g.logger).Log("msg", "stopping", "in_progress", g.inProgress.Load(), "delay", g.opts.DrainDelay)
	time.Sleep(g.opts.DrainDelay)
	if err := daemon.RefuseNewConnections(callers); err == nil {
		time.Sleep(acceptQueueTime)
	}
	if _, err := daemon.CloseListener(func(l net.Listener) error { return g.connections.Serve(server, l) }, callers); err != nil {
		_ = level.Warn(g.logger).Log("msg", "closing the listener failed", "err", err)
	}
	g.connections.waitIdle(g.opts.IdleLinger)
	g.connections.Drain(context.Background())
	err := server.Shutdown(context.Background())
	_ = level.Info(g.logger).Log("msg", "stopped")
	return err
}
