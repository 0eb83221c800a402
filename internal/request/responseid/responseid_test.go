package responseid

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	now  = time.Unix(1_700_000_000, 0).UTC()
	keyA = Key{ID: "a", Secret: "0123456789abcdef"}
	keyB = Key{ID: "b", Secret: "fedcba9876543210"}
)

func mustCodec(t interface{ Fatal(...any) }, keys ...Key) *Codec {
	c, err := NewCodec(keys)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against decoding an altered id, which would let a caller read another
// workspace's response.
func TestAlteredIDIsRefused(t *testing.T) {
	c := mustCodec(t, keyA, keyB)
	rapid.Check(t, func(t *rapid.T) {
		ref := Ref{Backend: rapid.String().Draw(t, "backend"), Workspace: rapid.String().Draw(t, "ws"), Expires: now}
		id, err := c.Encode(ref)
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.Decode(id, now)
		if err != nil || got.Workspace != ref.Workspace || got.Backend != ref.Backend {
			t.Fatalf("decode: %v %v", got, err)
		}
		altered := []byte(id)
		at := rapid.IntRange(0, len(altered)-1).Draw(t, "at")
		to := rapid.SampledFrom([]byte("abcdefgh0123456789-_.")).Draw(t, "to")
		if altered[at] == to {
			return
		}
		altered[at] = to
		if _, err := c.Decode(string(altered), now); !errors.Is(err, ErrInvalid) {
			t.Fatalf("altered id at byte %d was accepted: %v", at, err)
		}
	})
}

// Guards against a key rotation that invalidates ids in use, and against accepting ids
// of a removed key or past their expiry.
func TestRotationAndExpiry(t *testing.T) {
	is := is.New(t)
	old := mustCodec(t, keyA)
	id, err := old.Encode(Ref{Workspace: "w", Expires: now.Add(time.Minute)})
	is.NoErr(err)
	_, err = mustCodec(t, keyB, keyA).Decode(id, now)
	is.NoErr(err)
	_, err = mustCodec(t, keyB).Decode(id, now)
	is.True(errors.Is(err, ErrInvalid))
	_, err = old.Decode(id, now.Add(time.Hour))
	is.True(errors.Is(err, ErrExpired))
}

// Guards against accepting weak or ambiguous key settings.
func TestBadKeys(t *testing.T) {
	is := is.New(t)
	for _, keys := range [][]Key{nil, {{ID: "a", Secret: "short"}}, {{ID: "a.b", Secret: keyA.Secret}}, {keyA, keyA}} {
		_, err := NewCodec(keys)
		is.True(err != nil)
	}
}
