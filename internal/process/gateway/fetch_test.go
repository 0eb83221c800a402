package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/process/settings"
)

// Guards against gateways that do not relay confirmations of the catalogue head, so
// that each polls the platform itself.
func TestConfirmationsGoWithGossip(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	make := func(i int, listen string) *process {
		o := DefaultOptions()
		is.NoErr(settings.Parse([]byte(settingsWith(fmt.Sprint("name: gateway-", i))), "test.yaml", o))
		o.PeerListen, o.Peers = listen, []string{listener.Addr().String()}
		p, err := newProcess(o, log.NewNopLogger())
		is.NoErr(err)
		t.Cleanup(p.pool.Close)
		return p
	}
	polled, other := make(1, listener.Addr().String()), make(2, "127.0.0.1:1")
	go func() { _ = polled.server.Serve(listener) }()
	t.Cleanup(polled.server.Close)
	at := time.Now()
	polled.syncer.ObserveConfirmation(0, at)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	go func() { _ = other.gossiper.Run(ctx) }()
	for {
		least := time.Since(at)
		if _, age, ok := other.syncer.Confirmed(); ok {
			is.True(age >= least)
			return
		}
		if ctx.Err() != nil {
			t.Fatal("the confirmation did not arrive")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against compression that alters a catalogue body: peers would reject it,
// because its digest would not match.
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

// Guards against a reply of a peer that exhausts the memory of this gateway.
func TestFetchedBodyIsBounded(t *testing.T) {
	is := is.New(t)
	packed, err := compress(make([]byte, maxFetchedBody+1))
	is.NoErr(err)
	_, err = decompress(packed)
	is.True(err != nil)
	_, err = decompress([]byte("not gzip"))
	is.True(err != nil)
}
