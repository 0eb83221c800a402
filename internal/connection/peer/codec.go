package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"

	"github.com/rotisserie/eris"
)

// maxMethods is the maximum number of method names that a server stores for one connection.
const maxMethods = 256

// errUnknownMethod closes a connection on which a request header contains an invalid method number.
var errUnknownMethod = eris.New("request header has an unknown method number")

// requestHeader precedes the arguments of each call. It replaces the header of net/rpc, whose full
// method name would be a third of the bytes, because most calls between gateways are small.
type requestHeader struct {
	Seq uint64
	// Method is the number of the method on this connection, assigned from 0 in the order of
	// first use. Name is set only in the first call of a method.
	Method int
	Name   string
}

// responseHeader precedes each reply. The client identifies the call by Seq alone.
type responseHeader struct {
	Seq   uint64
	Error string
}

// gobStream encodes and decodes gob values on a connection.
type gobStream struct {
	conn io.Closer
	out  *bufio.Writer
	enc  *gob.Encoder
	dec  *gob.Decoder
}

func newGobStream(c io.ReadWriteCloser) gobStream {
	out := bufio.NewWriter(c)
	return gobStream{conn: c, out: out, enc: gob.NewEncoder(out), dec: gob.NewDecoder(bufio.NewReader(c))}
}

func (s gobStream) write(header, body any) error {
	if err := s.enc.Encode(header); err != nil {
		return err
	}
	if err := s.enc.Encode(body); err != nil {
		return err
	}
	return s.out.Flush()
}

// Close closes the connection.
func (s gobStream) Close() error { return s.conn.Close() }

type clientCodec struct {
	gobStream
	methods map[string]int
}

// NewClientCodec returns the codec for the client's end of a connection.
func NewClientCodec(c io.ReadWriteCloser) rpc.ClientCodec {
	return &clientCodec{newGobStream(c), map[string]int{}}
}

// WriteRequest implements rpc.ClientCodec. net/rpc never calls it concurrently.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	h := requestHeader{Seq: r.Seq}
	number, known := c.methods[r.ServiceMethod]
	if !known {
		number = len(c.methods)
		c.methods[r.ServiceMethod] = number
		h.Name = r.ServiceMethod
	}
	h.Method = number
	return c.write(h, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var h responseHeader
	err := c.dec.Decode(&h)
	r.Seq, r.Error = h.Seq, h.Error
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error { return c.dec.Decode(body) }

type serverCodec struct {
	gobStream
	methods []string
}

// NewServerCodec returns the codec for the server's end of a connection.
func NewServerCodec(c io.ReadWriteCloser) rpc.ServerCodec {
	return &serverCodec{gobStream: newGobStream(c)}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var h requestHeader
	if err := c.dec.Decode(&h); err != nil {
		return err
	}
	if h.Name != "" && h.Method == len(c.methods) && h.Method < maxMethods {
		c.methods = append(c.methods, h.Name)
	}
	if h.Method < 0 || h.Method >= len(c.methods) {
		return errUnknownMethod
	}
	r.Seq, r.ServiceMethod = h.Seq, c.methods[h.Method]
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// WriteResponse implements rpc.ServerCodec. If the reply can't be encoded, it closes the
// connection, because a part of the reply may have been written.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.write(responseHeader{r.Seq, r.Error}, body)
	if err != nil {
		_ = c.Close()
	}
	return err
}
