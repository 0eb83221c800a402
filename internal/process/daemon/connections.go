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

// Connections tracks the connections of an HTTP server that carry a request or are about
// to. http.Server.Shutdown closes a connection whose request it has just read without an
// answer, so a server must have none of them when Shutdown is called.
type Connections struct {
	mu    sync.Mutex
	conns map[net.Conn]*Connection
}

// ConnectionCounts contains the number of open connections by state.
type ConnectionCounts struct{ New, Active, Idle int }

// Track sets the hooks of a server that has not been started.
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

// Drain waits until no connection carries a request or is about to, or until ctx ends. The
// server must not accept connections any more, and its responses must close theirs.
func (c *Connections) Drain(ctx context.Context) {
	poll := time.NewTicker(drainPollPeriod)
	defer poll.Stop()
	for c.busy(time.Now()) {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Connections) busy(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		if conn.state == http.StateActive || conn.state == http.StateNew && now.Sub(conn.since) < newConnectionTimeout {
			return true
		}
	}
	return false
}
