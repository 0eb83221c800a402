// Package sendcheck decides at the last moment whether a request may be sent: when its connection is open and its
// first byte is about to be written.
// Load pattern: connections to a server that has just started take long to open, and what allowed the request to be
// sent may have ended by then.
package sendcheck

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// Check returns an error if a request may not be sent. It is called before the first byte is written, and again if the
// request moves to another connection.
type Check func() error

// conn is a connection whose next write is checked.
type conn struct {
	net.Conn
	check atomic.Pointer[Check]
}

// Unwrap returns the connection without the check.
func (c *conn) Unwrap() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if check := c.check.Swap(nil); check != nil {
		if err := (*check)(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// Dialer opens connections.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Wrap returns a dialer whose connections can be checked.
func Wrap(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// Refusal is the error of a check that refused to send. The request was not sent.
type Refusal struct{ err atomic.Pointer[error] }

// Err returns the error, or nil if the request was not refused.
func (r *Refusal) Err() error {
	if err := r.err.Load(); err != nil {
		return *err
	}
	return nil
}

// With returns a context whose request is checked before it is sent by a transport that dials with Wrap. If the check refuses, the
// request ends, and nothing of it was sent. The caller must call the returned function once after the request.
func With(ctx context.Context, check Check) (context.Context, *Refusal, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	refusal := &Refusal{}
	once := Check(func() error {
		err := check()
		if err != nil {
			refusal.err.Store(&err)
			cancel()
		}
		return err
	})
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.check.Store(&once)
		}
	}}
	return httptrace.WithClientTrace(ctx, trace), refusal, cancel
}
