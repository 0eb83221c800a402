package daemon

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"persimmonwing/internal/process/admission"
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
	// held is what the connection makes the process hold, or nil if callers have no budget.
	held *admission.Connection

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

// Held returns what the connection makes the process hold, or nil if callers have no budget.
func (c *Connection) Held() *admission.Connection {
	if c == nil {
		return nil
	}
	return c.held
}

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
	// Budget bounds what all connections make the process hold. It is set before Serve, and may be nil.
	Budget *admission.Budget

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
	if c.Budget != nil {
		boundSocketMemory(l)
	}
	return s.Serve(&trackedListener{Listener: l, connections: c, closed: make(chan struct{})})
}

// trackedListener returns connections that note when a request begins.
type trackedListener struct {
	net.Listener
	connections *Connections
	closing     sync.Once
	closed      chan struct{}
}

// Accept implements net.Listener. It waits until callers may hold one more connection.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, connections: l.connections}
	budget := l.connections.Budget
	if budget == nil {
		return tracked, nil
	}
	if _, queued := l.Listener.(*Queue); queued {
		tracked.held = budget.Add(tracked.giveWay) // a stop doesn't wait for room
		return tracked, nil
	}
	if tracked.held = budget.Open(tracked.giveWay, l.closed); tracked.held == nil {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	return tracked, nil
}

// Close implements net.Listener.
func (l *trackedListener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// trackedConn notes when a request begins.
type trackedConn struct {
	net.Conn
	connections *Connections
	held        *admission.Connection
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if inHead := c.connections.noteRead(c, len(b)); inHead && c.held != nil {
		if full := c.held.Arrived(n, bytes.Count(b[:n], []byte{'\n'})); full != nil {
			return 0, os.ErrDeadlineExceeded // after any other error net/http refuses the request for good, with 400
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.held.Close()
	return c.Conn.Close()
}

// giveWay ends the server's wait for a caller that other callers need the memory of. It fails if the connection is
// closed.
func (c *trackedConn) giveWay(during string) {
	if during == admission.DuringBody {
		_ = c.Conn.SetReadDeadline(expiredDeadline)
		return
	}
	c.connections.mu.Lock()
	defer c.connections.mu.Unlock()
	tracked := c.connections.conns[c]
	if tracked == nil || tracked.state == http.StateActive {
		return // the request has been read meanwhile
	}
	_ = c.Conn.SetReadDeadline(expiredDeadline)
	tracked.expired = true
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
//
// It reports whether the bytes are part of a head.
func (c *Connections) noteRead(conn *trackedConn, size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked := c.conns[conn]
	if tracked == nil {
		return false
	}
	inHead := tracked.state != http.StateActive
	if tracked.begun || tracked.state == http.StateActive && size != 1 {
		return inHead
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
	return inHead
}

func (c *Connections) add(conn net.Conn, queued bool) *Connection {
	tracked := &Connection{queued: queued, state: http.StateNew, since: time.Now()}
	if wrapped, ok := conn.(*trackedConn); ok {
		tracked.held = wrapped.held
	}
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
	held := c.change(conn, state)
	switch state {
	case http.StateActive:
		held.Serve()
	case http.StateIdle:
		held.Rest()
	case http.StateHijacked, http.StateClosed:
		held.Close()
	}
}

// change records the state of a connection and returns what it holds. The budget is called without the lock,
// because the budget calls giveWay with its own.
func (c *Connections) change(conn net.Conn, state http.ConnState) *admission.Connection {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked := c.conns[conn]
	if tracked == nil {
		return nil
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
	case http.StateIdle:
		// The deadline of the last response does not bind the next one.
		_ = conn.SetWriteDeadline(time.Time{})
	case http.StateHijacked, http.StateClosed:
		delete(c.conns, conn)
	}
	tracked.state, tracked.since = state, now
	return tracked.held
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
