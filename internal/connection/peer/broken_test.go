package peer_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/rpc"
	"strings"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/peer"
	"persimmonwing/internal/connection/responsecheck/responsechecktest"
)

// recorder is a connection that records what is written to it.
type recorder struct {
	io.ReadWriteCloser
	written bytes.Buffer
}

func (r *recorder) Write(b []byte) (int, error) {
	r.written.Write(b)
	return r.ReadWriteCloser.Write(b)
}

// length is a service whose replies are much shorter than its calls.
type length struct{}

func (length) Of(in *string, out *int) error { *out = len(*in); return nil }

// Guards against a reply that is cut at any byte and taken as whole, also if the connection is reset while
// the call is still being written.
func TestCutReplies(t *testing.T) {
	is := is.New(t)
	call := func(c net.Conn) (reply int, err error) {
		client := rpc.NewClientWithCodec(peer.NewClientCodec(c))
		defer client.Close()
		in := strings.Repeat("x", 4<<20)
		err = client.Call("Length.Of", &in, &reply)
		return reply, err
	}
	server := rpc.NewServer()
	is.NoErr(server.RegisterName("Length", length{}))
	near, far := net.Pipe()
	sent := &recorder{ReadWriteCloser: far}
	go server.ServeCodec(peer.NewServerCodec(sent))
	reply, err := call(near)
	is.NoErr(err)
	is.Equal(reply, 4<<20)

	for n := range sent.written.Len() {
		address := responsechecktest.Serve(t, func(c *net.TCPConn, r *bufio.Reader) {
			if _, err := r.ReadByte(); err == nil {
				_, _ = c.Write(sent.written.Bytes()[:n])
				responsechecktest.Reset(c)
			}
		})
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		if reply, err := call(c); err == nil {
			t.Errorf("a reply cut to %d of %d bytes is whole: %d", n, sent.written.Len(), reply)
		}
	}
}
