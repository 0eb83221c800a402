package gateway

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a catalogue body that peers receive changed, and so refuse by
// its digest.
func TestFetchedBodyIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOf(rapid.Byte()).Draw(t, "body")
		packed, err := compress(body)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decompress(packed)
		if err != nil || !bytes.Equal(got, body) {
			t.Fatalf("got %v, %v", got, err)
		}
	})
}

// Guards against a peer whose answer exhausts the memory of this gateway.
func TestFetchedBodyIsBounded(t *testing.T) {
	is := is.New(t)
	packed, err := compress(make([]byte, maxFetchedBody+1))
	is.NoErr(err)
	_, err = decompress(packed)
	is.True(err != nil)
	_, err = decompress([]byte("not gzip"))
	is.True(err != nil)
}
