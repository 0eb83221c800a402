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
	// maxStrayAnswers bounds the answers of earlier requests that are skipped.
	maxStrayAnswers = 3
	// maxStrayBytes bounds the body of a skipped answer.
	maxStrayBytes = 64 << 10
)

// Request is one request as it goes over the wire.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the longest time for which a reused connection may have been
	// unused; 0 asks for a new one.
	MaxIdle time.Duration
	// Accept reports whether an answer with this header belongs to the request;
	// nil accepts every answer.
	Accept func(http.Header) bool
}

// SendError is the error of a request without an answer.
type SendError struct {
	// Sent is set when the server may have received the request.
	Sent  bool
	cause error
}

// Error implements error.
func (e *SendError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.cause }

// Answer is an answer whose body has not been read yet.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if the header does not state it.
	Length int64
	// Framed is false for a body that ends with its connection.
	Framed bool

	body    io.ReadCloser
	conn    *conn
	pool    *Pool
	written *bodyWrite
	release func() bool
	keep    bool
	whole   bool
	closed  bool
}

// bodyWrite is the write of a request's body, which a server need not read
// before it answers.
type bodyWrite struct {
	done atomic.Bool
	err  error
	end  chan struct{}
}

// Send sends a request once. The connection is closed when ctx ends before the
// answer was read. Its error is a *SendError.
func (p *Pool) Send(ctx context.Context, address string, r Request) (*Answer, error) {
	c, err := p.get(ctx, address, r.MaxIdle)
	if err != nil {
		return nil, &SendError{cause: err}
	}
	release := context.AfterFunc(ctx, c.close)
	w := startWrite(c, r)
	resp, err := readAnswer(c, r)
	if err != nil {
		release()
		c.close()
		<-w.end
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &SendError{Sent: true, cause: eris.Wrap(err, "read answer")}
	}
	c.noteKeepAlive(resp.Header)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framed: framed,
		body: resp.Body, conn: c, pool: p, written: w, release: release, keep: framed && !resp.Close,
	}, nil
}

// startWrite writes the request. A body that does not fit the connection's
// window is written while the answer is awaited.
func startWrite(c *conn, r Request) *bodyWrite {
	w := &bodyWrite{end: make(chan struct{})}
	head := appendHead(nil, r)
	write := func() {
		defer close(w.end)
		_, w.err = c.Write(append(head, r.Body...))
		w.done.Store(w.err == nil)
	}
	const inline = 32 << 10 // fits the smallest window of a new connection
	if len(head)+len(r.Body) <= inline {
		write()
	} else {
		go write()
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

// errStray is returned when more answers of other requests come than expected.
var errStray = eris.New("answers on this connection belong to other requests")

// readAnswer reads the first final answer that belongs to the request. Late
// answers of earlier requests are skipped.
func readAnswer(c *conn, r Request) (*http.Response, error) {
	for stray := 0; stray <= maxStrayAnswers; {
		if err := boundHeader(c.reader); err != nil {
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
			return nil, errStray
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
		if err != nil || n == maxStrayBytes {
			return nil, errStray
		}
		stray++
	}
	return nil, errStray
}

// boundHeader waits for the first byte of an answer.
func boundHeader(r *bufio.Reader) error {
	_, err := r.Peek(1)
	return err
}

// Read reads the body. It returns io.EOF only at the end of a whole body; a body
// that its connection cut off ends with another error.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Close ends the use of the connection, which is kept only if the request was
// written and the answer read to the end with nothing behind it.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	alive := a.release()
	if a.keep && a.whole && alive && a.written.done.Load() && a.conn.quiet() {
		a.pool.put(a.conn)
		return
	}
	a.conn.close()
	<-a.written.end
}
