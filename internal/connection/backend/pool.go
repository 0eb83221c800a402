// Package backend sends HTTP/1.1 requests to backend servers over pooled connections. Unlike
// http.Transport, it never repeats a request, because the caller counts each send.
package backend

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is the maximum time to establish a connection. Data centres are a few
	// milliseconds apart, so that a lost packet is detected within the caller's
	// latency target.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is the TCP user timeout. It closes a connection whose sent bytes are not
	// acknowledged, because a host without power or behind a network partition doesn't
	// respond at all.
	userTimeout = 3 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive. It detects
	// dead connections that wait for a response and have no unacknowledged bytes.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxIdleAge is the maximum time for which an idle connection is kept, because a server may
	// close it without notice.
	maxIdleAge = 4 * time.Second
	// maxIdlePerAddress is the maximum number of idle connections to one address.
	maxIdlePerAddress = 8
)

// Pool holds the idle connections to each address, those for control calls separately. It is safe for concurrent use.
type Pool struct {
	mu         sync.Mutex
	idle       map[connKey][]*conn
	closed     bool
	notifyDial func()
}

// NewPool returns an empty pool. If onDial is not nil, it is called before each attempt to open
// a new connection.
func NewPool(onDial func()) *Pool {
	if onDial == nil {
		onDial = func() {}
	}
	return &Pool{idle: map[connKey][]*conn{}, notifyDial: onDial}
}

// get returns a connection that may carry the request: an idle one, or a new one.
func (p *Pool) get(ctx context.Context, key connKey, r Request) (*conn, error) {
	for c := p.popIdle(key); c != nil; c = p.popIdle(key) {
		if time.Since(c.idleSince) <= min(r.MaxIdle, c.idleTimeout) && (r.ID == "" || r.ID != c.lastID) && c.reusable() {
			c.reused = true
			return c, nil
		}
		c.close()
	}
	n, err := p.dial(ctx, key.address)
	if err != nil {
		return nil, eris.Wrapf(err, "dial")
	}
	return newConn(n, key), nil
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	p.notifyDial()
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Refuses reports whether nothing listens at an address, which proves that the process that did
// has ended. It sends nothing. It dials only if no idle connection to the address is open, and keeps that
// connection, so that frequent checks of one server don't take new connections each. broken states that
// a connection has just been closed: an ending process closes them one by one, so that it dials then.
func (p *Pool) Refuses(ctx context.Context, address string, broken bool) bool {
	if !broken && p.hasOpenIdle(address) {
		return false
	}
	n, err := p.dial(ctx, address)
	if err == nil {
		p.put(newConn(n, connKey{address, true}))
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// hasOpenIdle reports whether an idle connection to an address is open.
func (p *Pool) hasOpenIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, control := range []bool{false, true} {
		if slices.ContainsFunc(p.idle[connKey{address, control}], (*conn).reusable) {
			return true
		}
	}
	return false
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

func (p *Pool) popIdle(key connKey) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[key] = list[:len(list)-1]
	return c
}

// put adds a connection whose last response was read completely to the idle connections. It
// closes the connection if the pool is closed or has enough for that address.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.key]) >= maxIdlePerAddress {
		c.close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// Prune closes the connections that have been idle for too long, and all idle connections to
// addresses for which keep returns false.
func (p *Pool) Prune(now time.Time, keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(key.address) && now.Sub(c.idleSince) <= min(maxIdleAge, c.idleTimeout) {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
}

// Close closes all idle connections. Connections in use are closed when their request ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for key, list := range p.idle {
		for _, c := range list {
			c.close()
		}
		delete(p.idle, key)
	}
}
