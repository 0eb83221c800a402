package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
)

// Back-off delays before the next dial of a peer that could not be reached. With maxBackoff, a
// gateway rejoins within 3 s after a network partition has healed.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// errBackingOff is the error of calls to a peer during the back-off after a failed dial.
var errBackingOff = eris.New("waiting to redial after a failed dial")

// remote is the state of one peer: an open connection, a dial in progress or a back-off.
type remote struct {
	pool    *Pool
	address string

	mu      sync.Mutex
	closed  bool
	conn    *conn
	dialing chan struct{}
	lastErr error
	retryAt time.Time
	wait    *backoff.ExponentialBackOff
}

func newRemote(p *Pool, address string) *remote {
	w := backoff.NewExponentialBackOff()
	w.InitialInterval = initialBackoff
	w.MaxInterval = maxBackoff
	return &remote{pool: p, address: address, wait: w}
}

// connection returns the open connection, or dials and waits for it. Concurrent callers share one
// dial, which doesn't end with the context of the first caller.
func (r *remote) connection(ctx context.Context) (*conn, error) {
	r.mu.Lock()
	if r.conn != nil {
		defer r.mu.Unlock()
		return r.conn, nil
	}
	if r.closed {
		defer r.mu.Unlock()
		return nil, net.ErrClosed
	}
	if r.dialing == nil && time.Now().Before(r.retryAt) {
		defer r.mu.Unlock()
		return nil, eris.Wrap(errBackingOff, r.lastErr.Error())
	}
	if r.dialing == nil {
		r.dialing = make(chan struct{})
		dialing := r.dialing
		r.pool.wait.Go(func() { r.connect(dialing) })
	}
	done := r.dialing
	r.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn == nil {
		return nil, r.lastErr
	}
	return r.conn, nil
}

func (r *remote) connect(done chan struct{}) {
	defer close(done)
	c, err := r.open()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dialing = nil
	if err == nil && r.closed {
		_ = c.Close()
		err = net.ErrClosed
	}
	if err != nil {
		r.lastErr = err
		r.retryAt = time.Now().Add(r.wait.NextBackOff())
		return
	}
	r.wait.Reset()
	r.conn = newConn(c, r.connClosed)
	r.pool.wait.Go(r.conn.watch)
}

// open dials the peer and performs the handshake, with each of the secrets until the peer knows one.
func (r *remote) open() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(r.pool.ctx, dialTimeout)
	defer cancel()
	var failed error
	for _, secret := range r.pool.secrets.list() {
		raw, err := r.pool.dial(ctx, r.address)
		if err != nil {
			return nil, eris.Wrap(err, "dial peer")
		}
		c, err := r.handshake(ctx, raw, secret)
		if err == nil {
			return c, nil
		}
		failed = err
	}
	return nil, failed
}

// handshake performs the handshake on a new connection, and closes it on an error.
func (r *remote) handshake(ctx context.Context, raw net.Conn, secret []byte) (net.Conn, error) {
	c := countedConn{raw, &r.pool.traffic}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	deadline, _ := ctx.Deadline()
	if err := dialHandshake(c, secret, deadline); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// connClosed removes a connection that was closed after a failure or as idle, so that the next call
// dials again.
func (r *remote) connClosed(c *conn, err error) {
	r.mu.Lock()
	if r.conn == c {
		r.conn = nil
		r.lastErr = err
	}
	r.mu.Unlock()
	r.pool.removeUnused(r)
}

// resetBackoff ends the back-off after a failed dial, so that the next call dials immediately.
func (r *remote) resetBackoff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryAt = time.Time{}
	r.wait.Reset()
}

// unused reports whether there is no connection, no dial in progress and no back-off.
func (r *remote) unused() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conn == nil && r.dialing == nil && !time.Now().Before(r.retryAt)
}

func (r *remote) close() {
	r.mu.Lock()
	r.closed = true
	c := r.conn
	r.mu.Unlock()
	if c != nil {
		c.shutdown(net.ErrClosed)
	}
}
