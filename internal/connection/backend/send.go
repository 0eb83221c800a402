package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxStrayResponses is the maximum number of responses to earlier requests that are
	// skipped.
	maxStrayResponses = 3
	// maxStrayBytes is the limit for the body of a skipped response.
	maxStrayBytes = 64 << 10
	// maxHeadBytes is the limit for the status lines and headers that are read before the body
	// of one response, those of interim and skipped responses included. A faulty server may
	// send a head without end: without a limit, one such server filled 300 to 540 MB in 3 s.
	maxHeadBytes = 16 << 10
)

// Request is an HTTP request in the form in which it is sent.
type Request struct {
	Method string
	// Target is the request target, unchanged from the caller's request.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the maximum time for which a reused connection may have been idle; 0 requires
	// a new connection.
	MaxIdle time.Duration
	// ID is the id that the server echoes in its responses, or empty. A connection whose last
	// request had the same id is not reused: a second response to that request would be taken
	// as the response to this one.
	ID string
	// Accept reports whether a response with this header belongs to the request. If it is nil,
	// every response is accepted.
	Accept func(http.Header) bool
	// Control selects connections that carry only control calls. A late copy of a response to
	// a control call has no id, so that a request on the same connection could take it as its
	// own.
	Control bool
	// Admit is called once the connection is open. If it returns an error, nothing is sent.
	Admit func() error
}

// SendError is the error of a request for which no response was received.
type SendError struct {
	// Sent is true if the server may have received the request.
	Sent  bool
	cause error
}

// Error implements error.
func (e *SendError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.cause }

// Response is a response whose body has not been read yet. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if the header doesn't state it.
	Length int64
	// Framed is false if the end of the body is marked only by the end of the connection.
	Framed bool
	// Reused is true if the connection has carried an earlier request, to which a response
	// without an id may belong.
	Reused bool

	body       io.ReadCloser
	conn       *conn
	pool       *Pool
	written    *requestWrite
	stopCancel func() bool
	keepAlive  bool
	complete   bool
	closed     bool
}

// requestWrite is the write of a request, which may still be in progress when the response
// arrives, because a server may respond before it has read the body.
type requestWrite struct {
	succeeded atomic.Bool
	err       error
	finished  chan struct{}
}

// Send sends a request once and returns the response after its header was received. If ctx ends
// before Response.Close, the connection is closed. The error is a *SendError.
func (p *Pool) Send(ctx context.Context, address string, r Request) (*Response, error) {
	c, err := p.get(ctx, connKey{address, r.Control}, r)
	if err != nil {
		return nil, &SendError{cause: err}
	}
	if r.Admit != nil {
		if err := r.Admit(); err != nil {
			c.close()
			return nil, &SendError{cause: err}
		}
	}
	c.lastID = r.ID
	stopCancel := context.AfterFunc(ctx, c.close)
	w := startWrite(c, r)
	resp, err := readResponse(c, r)
	if err != nil {
		stopCancel()
		c.close()
		<-w.finished
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &SendError{Sent: true, cause: eris.Wrap(err, "read answer")}
	}
	c.updateIdleTimeout(resp.Header)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framed: framed, Reused: c.reused,
		body: resp.Body, conn: c, pool: p, written: w, stopCancel: stopCancel, keepAlive: framed && !resp.Close,
	}, nil
}

// startWrite writes the request. A request that may not fit the connection's window is written
// by a goroutine, so that the caller can read the response at the same time.
func startWrite(c *conn, r Request) *requestWrite {
	w := &requestWrite{finished: make(chan struct{})}
	head := appendHead(nil, r)
	write := func(parts ...[]byte) {
		defer close(w.finished)
		for _, b := range parts {
			if _, w.err = c.Write(b); w.err != nil {
				return
			}
		}
		w.succeeded.Store(true)
	}
	const maxInlineBytes = 32 << 10 // fits into the smallest window of a new connection
	if len(head)+len(r.Body) <= maxInlineBytes {
		write(append(head, r.Body...))
	} else {
		// A large body is not copied.
		go write(head, r.Body)
	}
	return w
}

// appendHead encodes the request line and the header.
func appendHead(b []byte, r Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return append(b, "\r\n"...)
}

// errHeadTooLarge is returned for a response whose head exceeds maxHeadBytes.
var errHeadTooLarge = eris.New("head of the response is too large")

// errStrayResponses is returned if too many responses to other requests arrive, or one that is too
// long to skip.
var errStrayResponses = eris.New("responses on this connection belong to other requests")

// readResponse reads the first final response that belongs to the request. It skips late
// responses to earlier requests.
func readResponse(c *conn, r Request) (*http.Response, error) {
	c.limit.begin(maxHeadBytes)
	defer c.limit.end()
	if err := c.expectResponse(); err != nil {
		return nil, err
	}
	for stray := 0; stray <= maxStrayResponses; {
		if err := awaitResponse(c.reader); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Accept == nil || r.Accept(resp.Header) {
			return resp, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errStrayResponses
		}
		c.limit.add(maxStrayBytes)
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
		c.limit.add(-maxStrayBytes)
		if err != nil || n == maxStrayBytes {
			return nil, errStrayResponses
		}
		if err := c.expectResponse(); err != nil {
			return nil, err
		}
		stray++
	}
	return nil, errStrayResponses
}

// awaitResponse waits for the first byte of a response.
func awaitResponse(r *bufio.Reader) error {
	_, err := r.Peek(1)
	return err
}

// Read reads the body. It returns io.EOF only at the end of a complete body. If the connection
// breaks before that, it returns another error. If Framed is false, the server may also have ended the
// connection early, which can't be detected.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// Close releases the connection. It returns it to the pool only if the request was written
// completely, the response was read to its end and no further bytes have arrived; otherwise it
// closes it.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	alive := r.stopCancel()
	if r.keepAlive && r.complete && alive && r.written.succeeded.Load() && r.conn.reusable() {
		r.pool.put(r.conn)
		return
	}
	r.conn.close()
	<-r.written.finished
}
