package daemon

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// operatorConnections is the number of connections that each listener for operators accepts at once. They are not
	// part of what callers may take.
	operatorConnections = 64
	// operatorTimeout bounds the reading of a request and the writing of its answer, and operatorIdle the time
	// between two requests.
	operatorTimeout = 15 * time.Second
	operatorIdle    = time.Minute
	operatorHeader  = 8 << 10
)

// OperatorServer returns a server for operators and the checks of a platform, whose requests have no bodies.
func OperatorServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadTimeout: operatorTimeout, WriteTimeout: operatorTimeout, IdleTimeout: operatorIdle, MaxHeaderBytes: operatorHeader}
}

// BoundConnections returns a listener that accepts a connection only while fewer than operatorConnections are open.
func BoundConnections(l net.Listener) net.Listener {
	return &boundListener{Listener: l, slots: make(chan struct{}, operatorConnections), closed: make(chan struct{})}
}

type boundListener struct {
	net.Listener
	slots   chan struct{}
	closing sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *boundListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &boundConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close implements net.Listener.
func (l *boundListener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type boundConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *boundConn) Close() error {
	c.release()
	return c.Conn.Close()
}
