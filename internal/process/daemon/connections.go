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

	// begun is set once the first bytes of a request have been read, until its head has been read.
	begun bool
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
	mu            sync.Mutex
	conns         map[net.Conn]*Connection
	headerTimeout time.Duration
}

// ConnectionCounts contains the number of open connections by state.
type ConnectionCounts struct{ New, Active, Idle int }

// Track sets the hooks of a server that has not been started. The server must not have a
// ReadTimeout, and must be run by Serve.
func (c *Connections) Track(s *http.Server) {
	c.headerTimeout = s.ReadHeaderTimeout
	s.BaseContext = func(l net.Listener) context.Context {
		if tracked, ok := l.(*trackedListener); ok {
			l = tracked.Listener
		}
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

// Serve serves the connections of a listener, as the method of the server does.
func (c *Connections) Serve(s *http.Server, l net.Listener) error {
	return s.Serve(&trackedListener{Listener: l, connections: c})
}

// trackedListener returns connections that note when a request begins.
type trackedListener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn, connections: l.connections}, nil
}

// trackedConn notes when a request begins.
type trackedConn struct {
	net.Conn
	connections *Connections
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.connections.noteRead(c, len(b))
	}
	return n, err
}

// CloseWrite is called by http.Server.
func (c *trackedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// SetLinger is the method of net.TCPConn.
func (c *trackedConn) SetLinger(sec int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return conn.SetLinger(sec)
	}
	return nil
}

// noteRead records that bytes were read into a buffer of the given size. While a request is served,
// the server reads into a buffer of one byte to notice that the caller has left: what it gets is the
// beginning of the next request.
func (c *Connections) noteRead(conn net.Conn, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked := c.conns[conn]
	if tracked == nil || tracked.begun || tracked.state == http.StateActive && size != 1 {
		return
	}
	tracked.begun = true
	if tracked.expired {
		var deadline time.Time
		if c.headerTimeout > 0 {
			deadline = time.Now().Add(c.headerTimeout)
		}
		_ = conn.SetReadDeadline(deadline) // fails only for a connection that is closed
		tracked.expired = false
	}
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
		tracked.begun = false
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

// Drain closes the connections of which no byte of a request has been read and waits until all
// others are closed, or until ctx ends. A request whose head has been read in part is served if the
// rest arrives within the server's header timeout. The server must not accept connections any more,
// and its responses must close theirs.
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
// bytes of a request. If the server has just read them, noteRead sets the deadline anew. The part
// of a head that the server has read together with the previous request is not noted.
func (c *Connections) closeUnused(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, tracked := range c.conns {
		if tracked.begun {
			continue
		}
		if tracked.state == http.StateIdle || tracked.state == http.StateNew && now.Sub(tracked.since) >= newConnectionTimeout {
			_ = conn.SetReadDeadline(expiredDeadline) // fails only for a connection that is closed
			tracked.expired = true
		}
	}
	return len(c.conns)
}
