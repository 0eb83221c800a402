package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// newConnectionTimeout is the time after which a connection without a request no longer
	// delays a stop.
	newConnectionTimeout = time.Second
	// drainPollPeriod is the interval at which Drain looks at the connections.
	drainPollPeriod = 10 * time.Millisecond
)

// Kinds of connections on which requests arrive.
const (
	// ConnectionNew is a connection that carries its first request.
	ConnectionNew = "new"
	// ConnectionKept is a connection that carried another request before.
	ConnectionKept = "kept"
	// ConnectionQueued is a connection that carries its first request and was taken from
	// the queue of a listener that was closed.
	ConnectionQueued = "queued"
)

// Connection is a connection of an HTTP/1 server. Only the goroutine that serves the
// connection may use its methods, as handlers do.
type Connection struct {
	// state and since are guarded by the mutex of Connections.
	state http.ConnState
	since time.Time

	// expired is set while the read deadline is expired; see closeUnused.
	expired bool

	queued   bool
	requests int           // including the current one
	idle     time.Duration // before the current request
}

// Kind returns the kind of the connection for the current request.
func (c *Connection) Kind() string {
	switch {
	case c.requests > 1:
		return ConnectionKept
	case c.queued:
		return ConnectionQueued
	}
	return ConnectionNew
}

// RequestsBefore returns how many requests the connection carried before the current one.
func (c *Connection) RequestsBefore() int { return max(0, c.requests-1) }

// Idle returns how long the connection was idle before the head of the current request had
// been read. For the first request it is the time since the connection was accepted.
func (c *Connection) Idle() time.Duration { return c.idle }

type (
	connectionKey struct{}
	queuedKey     struct{}
)

// ConnectionOf returns the connection of a request with this context, or nil if the server
// does not use Connections.Track.
func ConnectionOf(ctx context.Context) *Connection {
	c, _ := ctx.Value(connectionKey{}).(*Connection)
	return c
}

// Connections tracks the connections of an HTTP server, to close each of them in a planned
// stop without losing a request that the server has read. Shutdown and SetKeepAlivesEnabled
// of http.Server also close a connection whose request the server has just read.
type Connections struct {
	mu    sync.Mutex
	conns map[net.Conn]*Connection
}

// ConnectionCounts contains the number of open connections by state.
type ConnectionCounts struct{ New, Active, Idle int }

// Track sets the hooks of a server that has not been started. The server must not have a
// ReadTimeout.
func (c *Connections) Track(s *http.Server) {
	s.BaseContext = func(l net.Listener) context.Context {
		if _, ok := l.(*Queue); ok {
			return context.WithValue(context.Background(), queuedKey{}, true)
		}
		return context.Background()
	}
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		queued, _ := ctx.Value(queuedKey{}).(bool)
		return context.WithValue(ctx, connectionKey{}, c.add(conn, queued))
	}
	s.ConnState = c.observe
}

func (c *Connections) add(conn net.Conn, queued bool) *Connection {
	tracked := &Connection{queued: queued, state: http.StateNew, since: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[net.Conn]*Connection{}
	}
	c.conns[conn] = tracked
	return tracked
}

// observe implements the ConnState hook of http.Server.
func (c *Connections) observe(conn net.Conn, state http.ConnState) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked := c.conns[conn]
	if tracked == nil {
		return
	}
	switch state {
	case http.StateActive:
		tracked.requests++
		tracked.idle = now.Sub(tracked.since)
		if tracked.expired {
			// The request was read before the deadline expired. The server would take the
			// expired deadline for a caller that has left.
			_ = conn.SetReadDeadline(time.Time{})
			tracked.expired = false
		}
	case http.StateHijacked, http.StateClosed:
		delete(c.conns, conn)
	}
	tracked.state, tracked.since = state, now
}

// Counts returns the number of open connections by state.
func (c *Connections) Counts() ConnectionCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var n ConnectionCounts
	for _, conn := range c.conns {
		switch conn.state {
		case http.StateNew:
			n.New++
		case http.StateActive:
			n.Active++
		case http.StateIdle:
			n.Idle++
		}
	}
	return n
}

// expiredDeadline is a read deadline in the past.
var expiredDeadline = time.Unix(1, 0)

// Drain closes the connections that carry no request and waits until all others are closed, or
// until ctx ends. The server must not accept connections any more, and its responses must close
// theirs.
//
// A caller may send its next request on a kept connection at any time until it is closed. If
// idle connections stayed open until the last response, requests would be accepted
// until the end of the grace period.
func (c *Connections) Drain(ctx context.Context) {
	poll := time.NewTicker(drainPollPeriod)
	defer poll.Stop()
	for c.closeUnused(time.Now()) > 0 {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
	}
}

// closeUnused makes the server close the connections that carry no request, and returns
// the number of open connections. An expired read deadline ends the server's wait for the first
// bytes of a request. If the server has read them already, it sets the deadline for the rest of the
// head anew and serves the request.
func (c *Connections) closeUnused(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, tracked := range c.conns {
		if tracked.state == http.StateIdle || tracked.state == http.StateNew && now.Sub(tracked.since) >= newConnectionTimeout {
			_ = conn.SetReadDeadline(expiredDeadline) // fails only for a connection that is closed
			tracked.expired = true
		}
	}
	return len(c.conns)
}
