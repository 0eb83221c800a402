package peertest

import (
	"bytes"
	"errors"
	"io"
	"net/rpc"
	"sync"

	"persimmonwing/internal/connection/peer"
)

// Wire connects a client codec and a server codec in memory and measures the size of each call. It is
// safe for concurrent use.
type Wire struct {
	mu                sync.Mutex
	seq               uint64
	requests, answers bytes.Buffer
	client            rpc.ClientCodec
	server            rpc.ServerCodec
}

// codecConn is one end of a Wire, in the form that the codecs require.
type codecConn struct {
	io.Reader
	io.Writer
}

// Close does nothing.
func (codecConn) Close() error { return nil }

// NewWire returns a Wire whose sequence numbers have the size that they have after many calls on a
// connection.
func NewWire() *Wire {
	w := &Wire{seq: 1 << 15}
	w.client = peer.NewClientCodec(codecConn{&w.answers, &w.requests})
	w.server = peer.NewServerCodec(codecConn{&w.requests, &w.answers})
	return w
}

// Call sends args and decodes them into in, runs serve, which sets out, then sends out and decodes it
// into reply. It returns the number of bytes of request and reply. The first call with a type also
// includes its gob type description.
func (w *Wire) Call(method string, args, in, out, reply any, serve func() error) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	if err := w.client.WriteRequest(&rpc.Request{ServiceMethod: method, Seq: w.seq}, args); err != nil {
		return 0, err
	}
	size := w.requests.Len()
	var request rpc.Request
	if err := errors.Join(w.server.ReadRequestHeader(&request), w.server.ReadRequestBody(in), serve()); err != nil {
		return 0, err
	}
	if err := w.server.WriteResponse(&rpc.Response{ServiceMethod: method, Seq: w.seq}, out); err != nil {
		return 0, err
	}
	size += w.answers.Len()
	var response rpc.Response
	return size, errors.Join(w.client.ReadResponseHeader(&response), w.client.ReadResponseBody(reply))
}
