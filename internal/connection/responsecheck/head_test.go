package responsecheck

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"persimmonwing/internal/connection/responsecheck/responsechecktest"
)

// checkParts checks a response that arrives in parts of the given size.
func checkParts(raw string, size int) error {
	var h head
	h.expect()
	for len(raw) > 0 {
		n := min(size, len(raw))
		if err := h.check([]byte(raw[:n])); err != nil {
			return err
		}
		raw = raw[n:]
	}
	return nil
}

// requireChecked requires that responses are invalid, or that they are valid, however they are split.
func requireChecked(t *testing.T, responses map[string]string, valid bool) {
	t.Helper()
	for name, raw := range responses {
		for size := 1; size <= len(raw); size++ {
			if err := checkParts(raw, size); (err == nil) != valid {
				t.Errorf("%s in parts of %d bytes: %v", name, size, err)
				break
			}
		}
	}
}

// Guards against a check that depends on how a response is split into reads.
func TestInvalidStatusInParts(t *testing.T) {
	requireChecked(t, responsechecktest.InvalidStatuses("Name: value\r\n", responsechecktest.Whole("", "next")), false)
}

// Guards against a check that depends on how a response is split into reads.
func TestInvalidNamesInParts(t *testing.T) {
	requireChecked(t, responsechecktest.InvalidNames("200 OK", "Name: value\r\n", "own"), false)
}

// Guards against a valid response that is refused, and against a body that is checked as a head.
func TestValidResponsesInParts(t *testing.T) {
	requireChecked(t, map[string]string{
		"whole":                   responsechecktest.Whole("Name: value\r\n", "body"),
		"bare line feeds":         "HTTP/1.1 200 OK\nName: value\n\nbody",
		"no reason":               "HTTP/1.1 200\r\n\r\n",
		"several blanks":          "HTTP/1.1   200 OK\r\n\r\n",
		"long reason":             "HTTP/1.1 200 " + strings.Repeat("OK ", 2*maxStatusLine) + "\r\n\r\n",
		"no header":               "HTTP/1.1 200 OK\r\n\r\nbody",
		"interim responses":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody",
		"folded value":            "HTTP/1.1 200 OK\r\nLink: x\r\n  y\r\n\r\n",
		"colons in a value":       "HTTP/1.1 200 OK\r\nDate: 10:00:00\r\nEmpty:\r\n\r\n",
		"blanks in a value":       "HTTP/1.1 200 OK\r\nName:\t a b \r\nOther:x\r\n\r\n",
		"body that looks invalid": "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 Error\r\n na me : x\r\n\r\n",
		"rare status":             "HTTP/1.1 999 Other\r\n\r\n",
	}, true)
}

// readHeads parses the heads of a response as a client of net/http does: those of interim responses and the final one,
// which is the last.
func readHeads(r io.Reader) ([]*http.Response, error) {
	var heads []*http.Response
	buffer := bufio.NewReader(r)
	for {
		resp, err := http.ReadResponse(buffer, nil)
		if err != nil {
			return nil, err
		}
		heads = append(heads, resp)
		if resp.StatusCode >= http.StatusOK {
			return heads, nil
		}
	}
}

// partsConn is a connection of which each read returns at most size bytes of data.
type partsConn struct {
	net.Conn
	data *strings.Reader
	size int
}

func (c *partsConn) Read(b []byte) (int, error)       { return c.data.Read(b[:min(len(b), c.size)]) }
func (c *partsConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against an invalid head whose error net/http ignores, so that the head goes on without the invalid part.
func TestInvalidNamesThroughNetHTTP(t *testing.T) {
	for name, raw := range responsechecktest.InvalidNames("200 OK", "Name: value\r\n", "own") {
		for size := 1; size <= len(raw); size++ {
			c := New(&partsConn{data: strings.NewReader(raw), size: size})
			if err := c.ExpectResponse(nil); err != nil {
				t.Fatal(err)
			}
			if heads, err := readHeads(c); err == nil {
				t.Errorf("%s in parts of %d bytes: header %q", name, size, heads[len(heads)-1].Header)
			}
		}
	}
}

// Guards against a response that net/http and this package read differently: if it passes the check and can be parsed,
// each of its heads has a valid status and no blank in a name. The check doesn't depend on how the response is split.
func FuzzHead(f *testing.F) {
	for _, raw := range responsechecktest.InvalidStatuses("Name: value\r\n", responsechecktest.Whole("", "next")) {
		f.Add(raw)
	}
	for _, raw := range responsechecktest.InvalidNames("200 OK", "Name: value\r\n", "own") {
		f.Add(raw)
	}
	f.Add("HTTP/1.1 103 Early Hints\nLink: x\n  y\n\nHTTP/1.1 200\nEmpty:\n\nbody")
	f.Fuzz(func(t *testing.T, raw string) {
		whole, parts := checkParts(raw, max(1, len(raw))), checkParts(raw, 1)
		if (whole == nil) != (parts == nil) {
			t.Fatalf("at once: %v, byte by byte: %v", whole, parts)
		}
		if whole != nil {
			return
		}
		heads, err := readHeads(strings.NewReader(raw))
		if err != nil {
			return
		}
		for _, h := range heads {
			if h.StatusCode < http.StatusContinue || h.StatusCode == http.StatusSwitchingProtocols {
				t.Errorf("a head has the status %d", h.StatusCode)
			}
			for name := range h.Header {
				if strings.ContainsAny(name, " \t") {
					t.Errorf("a field has the name %q", name)
				}
			}
		}
	})
}
