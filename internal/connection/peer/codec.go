package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"

	"github.com/rotisserie/eris"
)

// maxMethods bounds the method names of one connection, which a server keeps.
const maxMethods = 256

// errMethod ends a connection whose header names a method wrongly.
var errMethod = eris.New("request header has an unknown method number")

// requestHeader precedes each argument. Most calls between gateways are small,
// so that the header of net/rpc with the full method name would be a third of them.
type requestHeader struct {
	Seq uint64
	// Method counts the method names of the connection from 0. Name is set with
	// the first call of a method only.
	Method int
	Name   string
}

// responseHeader precedes each answer. The client finds the call by Seq alone.
type responseHeader struct {
	Seq   uint64
	Error string
}

// gobStream encodes both directions of a connection.
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

// NewClientCodec returns the client's side of a connection.
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

// NewServerCodec returns the server's side of a connection.
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
		return errMethod
	}
	r.Seq, r.ServiceMethod = h.Seq, c.methods[h.Method]
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// WriteResponse implements rpc.ServerCodec. An answer that cannot be encoded
// ends the connection, because the stream has half of it.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.write(responseHeader{r.Seq, r.Error}, body)
	if err != nil {
		_ = c.Close()
	}
	return err
}
