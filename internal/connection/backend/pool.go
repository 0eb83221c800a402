// Package backend sends requests to backend servers over kept connections. Every
// send is counted by its caller: unlike http.Transport, it never repeats one.
package backend

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a new connection. Data centres are a few milliseconds
	// apart, so that a lost packet is noticed before the caller's target.
	dialTimeout = 400 * time.Millisecond
	// userTimeout ends a connection whose sent bytes nobody acknowledges: a host
	// without power or behind a partition does not answer at all.
	userTimeout = 3 * time.Second
	// keepAliveIdle and keepAliveInterval find silent connections that only wait.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxIdleAge is the time for which an unused connection is kept. A server may
	// close one without notice.
	maxIdleAge = 4 * time.Second
	// maxIdle bounds the unused connections to one address.
	maxIdle = 8
)

// Pool keeps unused connections by address. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
	dials  func()
}

// NewPool returns an empty pool. Dialled is called for each new connection; it
// may be nil.
func NewPool(dialled func()) *Pool {
	if dialled == nil {
		dialled = func() {}
	}
	return &Pool{idle: map[string][]*conn{}, dials: dialled}
}

// get returns an unused connection that has been idle for at most maxAge, or a
// new one.
func (p *Pool) get(ctx context.Context, address string, maxAge time.Duration) (*conn, error) {
	for c := p.takeIdle(address); c != nil; c = p.takeIdle(address) {
		if time.Since(c.idleSince) <= min(maxAge, c.keepFor) && c.quiet() {
			c.reused = true
			return c, nil
		}
		c.close()
	}
	p.dials()
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	n, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "dial")
	}
	return newConn(n, address), nil
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection whose last answer was read to its end.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.address]) >= maxIdle {
		c.close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Prune closes the connections that have been unused for too long, and all to
// addresses that keep reports false for.
func (p *Pool) Prune(now time.Time, keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(address) && now.Sub(c.idleSince) <= min(maxIdleAge, c.keepFor) {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Close closes all unused connections; those in use are closed when they end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, list := range p.idle {
		for _, c := range list {
			c.close()
		}
		delete(p.idle, address)
	}
}
