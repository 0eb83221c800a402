package eventstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against events whose bytes are changed, merged or lost, however the stream is
// split into reads.
func TestEventsKeepTheirBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []string
		for i := range rapid.IntRange(0, 20).Draw(t, "events") {
			data := strings.Repeat("ab :", rapid.IntRange(0, 1500).Draw(t, "length"))
			end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
			want = append(want, fmt.Sprintf("id: %d%sdata: %s%s%s", i, end, data, end, end))
		}
		r := NewReader(&chunks{data: []byte(strings.Join(want, "")), size: rapid.IntRange(1, 700).Draw(t, "read size")})
		for i, w := range want {
			e, err := r.Next()
			if err != nil {
				t.Fatalf("event %d: %v", i, err)
			}
			if string(e.Raw) != w || !e.HasID || e.ID != int64(i) {
				t.Fatalf("event %d is %q with id %d", i, e.Raw, e.ID)
			}
		}
		if _, err := r.Next(); !errors.Is(err, io.EOF) {
			t.Fatalf("end: %v", err)
		}
	})
}

type chunks struct {
	data []byte
	size int
}

func (c *chunks) Read(b []byte) (int, error) {
	if len(c.data) == 0 {
		return 0, io.EOF
	}
	n := copy(b, c.data[:min(c.size, len(c.data))])
	c.data = c.data[n:]
	return n, nil
}

// Guards against returning an incomplete event, and against unlimited memory use.
func TestBadStreams(t *testing.T) {
	for name, c := range map[string]struct {
		in   []byte
		want error
	}{
		"cut in a line":       {[]byte("id: 1\ndata: x"), ErrTruncated},
		"cut after a line":    {[]byte("id: 1\ndata: x\n"), ErrTruncated},
		"one event too large": {bytes.Repeat([]byte("data: x\n"), MaxEventBytes/4), ErrTooLarge},
		"empty":               {nil, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewReader(bytes.NewReader(c.in)).Next()
			if !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against an id that is read from another field or is not a number.
func TestIDs(t *testing.T) {
	is := is.New(t)
	e, err := NewReader(strings.NewReader("x-persimmon-version: 3\nid:7\nevent: id: 9\ndata: id: 8\n\n")).Next()
	is.NoErr(err)
	is.Equal(e.ID, int64(7))
	e, err = NewReader(strings.NewReader("id: seven\ndata: x\n\n")).Next()
	is.NoErr(err)
	is.True(!e.HasID && !e.Comment)
	e, err = NewReader(strings.NewReader(": data: x\r\n:\n\n")).Next()
	is.NoErr(err)
	is.True(!e.HasID && e.Comment)
}
