package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
)

// The wait before the next dial of a peer that could not be reached. The upper
// bound lets a healed partition rejoin within 3 s.
const (
	backoffFirst = 100 * time.Millisecond
	backoffMost  = 500 * time.Millisecond
)

// errBackingOff fails calls to a peer whose last dial failed.
var errBackingOff = eris.New("last dial failed, not yet retried")

// remote is one peer: its connection, a dial in progress, or a back-off.
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
	w.InitialInterval = backoffFirst
	w.MaxInterval = backoffMost
	return &remote{pool: p, address: address, wait: w}
}

// connection returns the open connection or waits for a dial. A single dial
// serves all callers; it does not end with the first caller's context.
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
	r.conn = newConn(c, r.lost)
	r.pool.wait.Go(r.conn.watch)
}

// open dials and proves the secret.
func (r *remote) open() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(r.pool.ctx, dialTimeout)
	defer cancel()
	raw, err := r.pool.dial(ctx, r.address)
	if err != nil {
		return nil, eris.Wrap(err, "dial peer")
	}
	c := countedConn{raw, &r.pool.traffic}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	deadline, _ := ctx.Deadline()
	if err := dialHandshake(c, r.pool.secret, deadline); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// lost drops a connection that failed or is idle; the next call dials again.
func (r *remote) lost(c *conn, err error) {
	r.mu.Lock()
	if r.conn == c {
		r.conn = nil
		r.lastErr = err
	}
	r.mu.Unlock()
	r.pool.forget(r)
}

// retry ends the back-off after a failed dial.
func (r *remote) retry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryAt = time.Time{}
	r.wait.Reset()
}

// unused reports whether the remote holds nothing worth keeping.
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
		c.end(net.ErrClosed)
	}
}
