package peertest

import (
	"bytes"
	"errors"
	"io"
	"net/rpc"
	"sync"

	"persimmonwing/internal/connection/peer"
)

// Wire joins the codecs of both sides of a connection in memory and tells the
// size of each call.
type Wire struct {
	mu                sync.Mutex
	seq               uint64
	requests, answers bytes.Buffer
	client            rpc.ClientCodec
	server            rpc.ServerCodec
}

// side is one end of a Wire.
type side struct {
	io.Reader
	io.Writer
}

// Close does nothing.
func (side) Close() error { return nil }

// NewWire returns a connection that has carried many calls.
func NewWire() *Wire {
	w := &Wire{seq: 1 << 15}
	w.client = peer.NewClientCodec(side{&w.answers, &w.requests})
	w.server = peer.NewServerCodec(side{&w.requests, &w.answers})
	return w
}

// Call decodes args into in, runs serve, which sets out, and decodes out into
// reply. It returns the bytes of request and answer. Type descriptions are part
// of the first call of a type.
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
