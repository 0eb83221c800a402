package world

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var ids atomic.Uint64

// NewID returns a new attempt id.
func NewID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+ids.Add(1)) }

// Client is a client's kept connection to a gateway.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a connection.
func Dial(address string) (*Client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{c, bufio.NewReader(c)}, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Request is a request of a client.
type Request struct {
	Method, Path, ID string
	DeadlineMS       int
	Body             string
	Header           map[string]string
}

// Send writes a request and returns the head of the answer. The body has to be read to its end.
func (c *Client) Send(r Request) (*http.Response, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Persimmonwing-Attempt-Id: %s\r\nX-Persimmonwing-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		r.Method, r.Path, Host, r.ID, r.DeadlineMS, Key)
	for k, v := range r.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if r.Method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.WriteString(r.Body)
	_ = c.conn.SetDeadline(time.Now().Add(time.Duration(r.DeadlineMS)*time.Millisecond + time.Second))
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, &http.Request{Method: r.Method})
}
