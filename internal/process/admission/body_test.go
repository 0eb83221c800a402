package admission

import (
	"errors"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func ignore(string) {}

// Guards against bodies that take more memory than is set aside for callers, in whichever order they come
// and however they end, and against memory that is never released.
func TestMemoryOfBodiesIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(Limits{Bytes: 400 << 10, Connections: 100})
		var held []*Connection
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			if len(held) > 0 && rapid.Bool().Draw(t, "one ends") {
				held[0].Close()
				held = held[1:]
			}
			size := rapid.IntRange(0, 600<<10).Draw(t, "size")
			length := int64(size)
			if rapid.Bool().Draw(t, "chunked") {
				length = -1
			}
			var r io.Reader = strings.NewReader(strings.Repeat("x", size))
			broken := rapid.Bool().Draw(t, "breaks")
			if broken {
				r = io.MultiReader(io.LimitReader(r, int64(size/2)), &failingReader{})
			}
			c := b.Open(ignore, nil)
			c.Serve()
			body, err := c.ReadBody(r, length, 1, nil)
			switch {
			case errors.Is(err, ErrFull) && len(held) == 0:
				t.Fatal("a body alone was refused")
			case err == nil && (broken && size > 0 || len(body) != size):
				t.Fatalf("%d of %d bytes", len(body), size)
			case err == nil && int64(cap(body)) > c.body:
				t.Fatalf("a body of %d bytes holds %d", cap(body), c.body)
			case err != nil || c.body == 0:
				c.Close()
				continue
			}
			held = append(held, c)
			if u := b.Usage(); u.Bytes > 400<<10 && len(held) > 1 {
				t.Fatalf("%d bodies hold %+v", len(held), u)
			}
		}
		for _, c := range held {
			c.Rest()
		}
		if u := b.Usage(); u.Bodies != 0 || u.Bytes != int64(len(held))*connectionCost || b.arriving != 0 || b.leaving != 0 {
			t.Fatalf("%+v is never released, %d bytes of requests being read, %d leaving", u, b.arriving, b.leaving)
		}
	})
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
