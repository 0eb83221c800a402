package admission

import (
	"errors"
	"io"
	"time"
)

// firstBodyBuffer is the size of the first buffer for a body of unknown length, in bytes.
const firstBodyBuffer = 4 << 10

// BodyTime returns the time that a body of size bytes may take at the slowest pace, in bytes per second, after
// the time base that any body may take.
func BodyTime(base time.Duration, size, pace int64) time.Duration {
	return base + time.Duration(float64(size)/float64(pace)*float64(time.Second))
}

// ReadBody reads a body of the given length in bytes, or of an unknown one if it is negative. Each byte counts
// copies times in the budget, until ReleaseBody. more, if it is not nil, is called when a body of unknown length may
// become longer than before, with the length that it may reach.
func (c *Connection) ReadBody(r io.Reader, length, copies int64, more func(size int64)) ([]byte, error) {
	c.beginBody()
	body, err := c.readBody(&progressReader{r, c}, length, copies, more)
	c.endBody(err)
	if err != nil {
		return nil, err
	}
	return body, nil
}

func (c *Connection) readBody(r io.Reader, length, copies int64, more func(size int64)) ([]byte, error) {
	if length >= 0 {
		if err := c.reserveBody(copies * length); err != nil {
			return nil, err
		}
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(firstBodyBuffer, 2*cap(body))
			if err := c.reserveBody(copies * int64(size-cap(body))); err != nil {
				return nil, err
			}
			if more != nil {
				more(int64(size))
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// progressReader notes the progress of a body.
type progressReader struct {
	io.Reader
	connection *Connection
}

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.connection.progress(n)
	return n, err
}

func (c *Connection) beginBody() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.setPhase(readingBody)
}

// endBody ends the reading of a body. A connection that was about to give way stays if the body is whole; otherwise its
// memory is free for others.
func (c *Connection) endBody(err error) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.setPhase(serving)
	if err == nil {
		c.stay()
		return
	}
	c.releaseBody()
}

func (c *Connection) reserveBody(n int64) error {
	if c == nil {
		return nil
	}
	return c.reserve(n, &c.body)
}
