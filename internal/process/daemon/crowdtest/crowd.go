package crowdtest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// Patience is how long an ordinary caller waits for its answer.
const Patience = 30 * time.Second

// sendTimeout bounds how long a caller of a crowd tries to send. It ends the calls that the gateway neither
// reads nor closes; no result depends on it.
const sendTimeout = 10 * time.Second

// readPolls bounds how often Gather looks whether the process has read all.
const readPolls = 500

// Caller sends what one caller of a crowd has to say. head is the request line and the header, without the
// fields that frame a body and without the empty line.
type Caller func(w io.Writer, head string) error

// UnfinishedBody announces a body and stops a byte before its end.
func UnfinishedBody(size int) Caller {
	body := bytes.Repeat([]byte("x"), size-1)
	return func(w io.Writer, head string) error {
		return write(w, []byte(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, size)), body)
	}
}

// UnfinishedChunks sends a body in chunks of this size, and no last chunk.
func UnfinishedChunks(size, chunk int) Caller {
	one := append(fmt.Appendf(nil, "%x\r\n", chunk), append(bytes.Repeat([]byte("x"), chunk), "\r\n"...)...)
	body := bytes.Repeat(one, (size-1)/chunk)
	return func(w io.Writer, head string) error {
		return write(w, []byte(head+"Transfer-Encoding: chunked\r\n\r\n"), body)
	}
}

// EndlessBody sends a body until the connection fails, announced with this length or, if that is 0, in chunks.
func EndlessBody(length int64) Caller {
	part := bytes.Repeat([]byte("x"), 1<<16)
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
	if length == 0 {
		framing = "Transfer-Encoding: chunked\r\n\r\n"
		part = append([]byte("10000\r\n"), append(part, "\r\n"...)...)
	}
	return func(w io.Writer, head string) error {
		if err := write(w, []byte(head+framing)); err != nil {
			return err
		}
		for {
			if _, err := w.Write(part); err != nil {
				return err
			}
		}
	}
}

// HalfHead sends a header of this size in short fields, and no end of it.
func HalfHead(size int) Caller {
	var fields strings.Builder
	for i := 0; fields.Len() < size; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return func(w io.Writer, head string) error { return write(w, []byte(head), []byte(fields.String())) }
}

// Silent sends nothing.
func Silent(io.Writer, string) error { return nil }

func write(w io.Writer, parts ...[]byte) error {
	for _, p := range parts {
		if _, err := w.Write(p); err != nil {
			return err
		}
	}
	return nil
}

// Gather connects n callers to the process and returns when all have sent what they have to say or could
// not, and the process has read what it reads of it. Their connections stay open until the test ends.
func (p *Process) Gather(t *testing.T, n int, head string, send Caller) {
	t.Helper()
	raiseDescriptors()
	var callers sync.WaitGroup
	for range n {
		callers.Go(func() {
			c, err := net.DialTimeout("tcp", p.Callers, sendTimeout)
			if err != nil {
				return // refused, which is allowed
			}
			t.Cleanup(func() { _ = c.Close() })
			_ = c.SetDeadline(time.Now().Add(sendTimeout))
			_ = send(c, head) // fails if the gateway closes the connection, which is allowed
		})
	}
	callers.Wait()
	for range readPolls {
		if p.queued() == 0 {
			return
		}
		time.Sleep(samplePeriod)
	}
}
