package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
)

// lingerPoll is the time between two looks at the connections.
const lingerPoll = 20 * time.Millisecond

// connections counts the open connections of callers.
type connections struct {
	open atomic.Int64
	// lastRequest is the time of the last new request in Unix nanoseconds.
	lastRequest atomic.Int64
}

// observe is a ConnState hook.
func (c *connections) observe(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		c.open.Add(1)
	case http.StateActive:
		c.lastRequest.Store(time.Now().UnixNano())
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// awaitQuiet returns when no connection is open or no request has come for the
// linger. Requests in progress do not count.
func (c *connections) awaitQuiet(linger time.Duration) {
	c.lastRequest.Store(time.Now().UnixNano())
	for c.open.Load() > 0 && time.Since(time.Unix(0, c.lastRequest.Load())) < linger {
		time.Sleep(lingerPoll)
	}
}

// closeOnce lets both the drain and the server close a listener.
type closeOnce struct {
	net.Listener
	once sync.Once
	err  error
}

// Close implements net.Listener.
func (l *closeOnce) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// drain fails readiness, waits for the balancer to notice, takes no new
// connection, and then lets all requests in progress end. Each answer since the
// start of the drain has closed its connection, so that callers leave.
func (g *Gateway) drain(server *http.Server, callers net.Listener) error {
	g.stopping.Store(true)
	_ = level.Info(g.logger).Log("msg", "stopping", "in_progress", g.inProgress.Load(), "delay", g.opts.DrainDelay)
	time.Sleep(g.opts.DrainDelay)
	_ = callers.Close()
	g.connections.awaitQuiet(g.opts.IdleLinger)
	err := server.Shutdown(context.Background())
	_ = level.Info(g.logger).Log("msg", "stopped")
	return err
}
