package peertest

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// link is one direction of a connection. Its buffer is unbounded, so that writes never block.
type link struct {
	network  *Network
	from, to string

	mu       sync.Mutex
	data     []byte
	closed   bool
	deadline time.Time
	changed  chan struct{}
}

// wake unblocks the reader, so that it checks the link's state again.
func (l *link) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.signal()
}

func (l *link) signal() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) paused() bool {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	return l.network.blocked(l.from, l.to)
}

// tryRead copies available bytes to b. If there are none, it returns a channel that is closed at the
// next change of the link, and the read deadline.
func (l *link) tryRead(b []byte) (n int, wait <-chan struct{}, deadline time.Time, err error) {
	paused := l.paused()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.deadline.IsZero() && !time.Now().Before(l.deadline):
		return 0, nil, l.deadline, os.ErrDeadlineExceeded
	case !paused && len(l.data) > 0:
		n = copy(b, l.data)
		l.data = l.data[n:]
		return n, nil, l.deadline, nil
	case !paused && l.closed:
		return 0, nil, l.deadline, io.EOF
	}
	return 0, l.changed, l.deadline, nil
}

func (l *link) read(b []byte) (int, error) {
	for {
		n, wait, deadline, err := l.tryRead(b)
		if n > 0 || err != nil {
			return n, err
		}
		if deadline.IsZero() {
			<-wait
			continue
		}
		t := time.NewTimer(time.Until(deadline))
		select {
		case <-wait:
		case <-t.C:
		}
		t.Stop()
	}
}

func (l *link) write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, net.ErrClosed
	}
	l.data = append(l.data, b...)
	l.signal()
	return len(b), nil
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.signal()
}

func (l *link) setDeadline(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deadline = t
	l.signal()
}

// endpoint is one end of a connection. It implements net.Conn.
type endpoint struct {
	in, out *link
	once    sync.Once
	closed  chan struct{}
}

func newConnPair(n *Network, from, to string) (*endpoint, *endpoint) {
	forward := &link{network: n, from: from, to: to, changed: make(chan struct{})}
	backward := &link{network: n, from: to, to: from, changed: make(chan struct{})}
	n.mu.Lock()
	n.links = append(n.links, forward, backward)
	n.mu.Unlock()
	a := &endpoint{in: backward, out: forward, closed: make(chan struct{})}
	b := &endpoint{in: forward, out: backward, closed: make(chan struct{})}
	return a, b
}

// Read implements net.Conn.
func (e *endpoint) Read(b []byte) (int, error) {
	select {
	case <-e.closed:
		return 0, net.ErrClosed
	default:
		return e.in.read(b)
	}
}

// Write implements net.Conn.
func (e *endpoint) Write(b []byte) (int, error) { return e.out.write(b) }

// Close implements net.Conn. It sets a past deadline to unblock a pending Read of this end.
func (e *endpoint) Close() error {
	e.once.Do(func() {
		close(e.closed)
		e.out.close()
		e.in.setDeadline(time.Unix(1, 0))
	})
	return nil
}

// LocalAddr implements net.Conn.
func (e *endpoint) LocalAddr() net.Addr { return addr(e.out.from) }

// RemoteAddr implements net.Conn.
func (e *endpoint) RemoteAddr() net.Addr { return addr(e.out.to) }

// SetDeadline implements net.Conn.
func (e *endpoint) SetDeadline(t time.Time) error { return e.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (e *endpoint) SetReadDeadline(t time.Time) error {
	select {
	case <-e.closed:
	default:
		e.in.setDeadline(t)
	}
	return nil
}

// SetWriteDeadline implements net.Conn; writes never block.
func (e *endpoint) SetWriteDeadline(time.Time) error { return nil }
