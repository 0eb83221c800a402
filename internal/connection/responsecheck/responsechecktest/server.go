// Package responsechecktest provides servers that send broken HTTP responses.
package responsechecktest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// readTime is the time that a client needs to read what a server has written, on loopback.
const readTime = 50 * time.Millisecond

// UploadBytes is the size of a request's body that does not fit into the buffers of a connection on loopback, so that its
// write is in progress when an early response arrives.
const UploadBytes = 6 << 20

// Script serves one connection, which is closed when it returns. r reads from c.
type Script func(c *net.TCPConn, r *bufio.Reader)

// Serve starts a server that runs a script for each connection. It returns its address.
func Serve(t testing.TB, script Script) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(c.(*net.TCPConn), bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// Early returns a script that reads the header of a request but not its body, writes the response that
// answer returns, and calls end.
func Early(answer func(*http.Request) string, end func(*net.TCPConn)) Script {
	return func(c *net.TCPConn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(q))
		end(c)
	}
}

// Late returns a script that reads each request to its end and then writes the response that answer
// returns, without closing the connection.
func Late(answer func(*http.Request) string) Script {
	return func(c *net.TCPConn, r *bufio.Reader) {
		for respond(c, r, answer) {
		}
	}
}

// Once returns a script that is like Late, but closes the connection after the first response.
func Once(answer func(*http.Request) string) Script {
	return func(c *net.TCPConn, r *bufio.Reader) { respond(c, r, answer) }
}

func respond(c *net.TCPConn, r *bufio.Reader, answer func(*http.Request) string) bool {
	q, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return false
	}
	_, err = io.WriteString(c, answer(q))
	return err == nil
}

// Always returns an answer that is the same for all requests.
func Always(raw string) func(*http.Request) string {
	return func(*http.Request) string { return raw }
}

// Reset resets a connection once the client has read what was written.
func Reset(c *net.TCPConn) {
	time.Sleep(readTime)
	_ = c.SetLinger(0)
	_ = c.Close()
}

// HalfClose ends the server's direction of a connection and reads on.
func HalfClose(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// Stop ends the server's direction of a connection, reads nothing and closes the connection later.
func Stop(c *net.TCPConn) {
	_ = c.CloseWrite()
	time.Sleep(10 * readTime)
}

// Whole returns a complete response with the given header lines, each with its CR and LF.
func Whole(header, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

// InvalidStatuses returns responses whose status no server may send, with the given header lines, each with
// its CR and LF. Some are followed by next, which looks like another response.
func InvalidStatuses(header, next string) map[string]string {
	out := map[string]string{}
	for _, status := range []string{"000 ", "000", "000 Error", "001 OK", "042 OK", "099 OK", "+20 OK", "-00 OK", "101 Switching Protocols"} {
		head := "HTTP/1.1 " + status + "\r\n" + header
		out[status+", with a length"] = head + "Content-Length: 3\r\n\r\nown"
		out[status+", with chunks"] = head + "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n"
		out[status+", without a body"] = head + "\r\n"
		out[status+", before another"] = head + "\r\n" + next
		out[status+", without a header, before another"] = "HTTP/1.1 " + status + "\r\n\r\n" + next
		out[status+", after an interim response"] = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "\r\n" + next
	}
	return out
}

// InvalidNames returns responses with the given status, header lines, each with its CR and LF, and body. In the head of
// each the name of a field holds a blank or a control byte.
func InvalidNames(status, header, body string) map[string]string {
	out := map[string]string{}
	for _, line := range []string{
		"Na me: x", "Name : x", " : x", " Name: x", "Content-Length : 1", "Content Length: 1", " Content-Length: 1",
		"Transfer-Encoding : chunked", " Transfer-Encoding: chunked", "\t: x", "\tName: x", "Na\tme: x", "Name\t: x",
		"\x00: x", "Na\x01me: x", "Na\rme: x", "Name\x7f: x",
	} {
		for framing, end := range map[string]string{
			"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
			"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
			"none":   "\r\n" + body,
		} {
			head := "HTTP/1.1 " + status + "\r\n"
			out[fmt.Sprintf("%q first, framing: %s", line, framing)] = head + line + "\r\n" + header + end
			out[fmt.Sprintf("%q last, framing: %s", line, framing)] = head + header + "Other: y\r\n" + line + "\r\n" + end
		}
		out[fmt.Sprintf("%q alone", line)] = "HTTP/1.1 " + status + "\r\n" + line + "\r\n\r\n" + body
		out[fmt.Sprintf("%q in an interim response", line)] = "HTTP/1.1 103 Early Hints\r\nLink: y\r\n" + line + "\r\n\r\nHTTP/1.1 " + status + "\r\n" + header + "\r\n" + body
	}
	return out
}
