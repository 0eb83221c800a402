package peertest

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// link carries bytes one way. Its buffer is unbounded, so writes never block.
type link struct {
	network  *Network
	from, to string

	mu       sync.Mutex
	data     []byte
	closed   bool
	deadline time.Time
	changed  chan struct{}
}

// wake makes the reader look at the link again.
func (l *link) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.signal()
}

func (l *link) signal() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) held() bool {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	return l.network.blocked(l.from, l.to)
}

// take copies available bytes, or returns the channel to wait on.
func (l *link) take(b []byte) (n int, wait <-chan struct{}, deadline time.Time, err error) {
	held := l.held()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.deadline.IsZero() && !time.Now().Before(l.deadline):
		return 0, nil, l.deadline, os.ErrDeadlineExceeded
	case !held && len(l.data) > 0:
		n = copy(b, l.data)
		l.data = l.data[n:]
		return n, nil, l.deadline, nil
	case !held && l.closed:
		return 0, nil, l.deadline, io.EOF
	}
	return 0, l.changed, l.deadline, nil
}

func (l *link) read(b []byte) (int, error) {
	for {
		n, wait, deadline, err := l.take(b)
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

// end is one end of a connection.
type end struct {
	in, out *link
	once    sync.Once
	closed  chan struct{}
}

func newLink(n *Network, from, to string) (*end, *end) {
	there := &link{network: n, from: from, to: to, changed: make(chan struct{})}
	back := &link{network: n, from: to, to: from, changed: make(chan struct{})}
	n.mu.Lock()
	n.links = append(n.links, there, back)
	n.mu.Unlock()
	a := &end{in: back, out: there, closed: make(chan struct{})}
	b := &end{in: there, out: back, closed: make(chan struct{})}
	return a, b
}

// Read implements net.Conn.
func (e *end) Read(b []byte) (int, error) {
	select {
	case <-e.closed:
		return 0, net.ErrClosed
	default:
		return e.in.read(b)
	}
}

// Write implements net.Conn.
func (e *end) Write(b []byte) (int, error) { return e.out.write(b) }

// Close implements net.Conn. A reader of this end is woken by a passed deadline.
func (e *end) Close() error {
	e.once.Do(func() {
		close(e.closed)
		e.out.close()
		e.in.setDeadline(time.Unix(1, 0))
	})
	return nil
}

// LocalAddr implements net.Conn.
func (e *end) LocalAddr() net.Addr { return addr(e.out.from) }

// RemoteAddr implements net.Conn.
func (e *end) RemoteAddr() net.Addr { return addr(e.out.to) }

// SetDeadline implements net.Conn.
func (e *end) SetDeadline(t time.Time) error { return e.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (e *end) SetReadDeadline(t time.Time) error {
	select {
	case <-e.closed:
	default:
		e.in.setDeadline(t)
	}
	return nil
}

// SetWriteDeadline implements net.Conn; writes never block.
func (e *end) SetWriteDeadline(time.Time) error { return nil }
