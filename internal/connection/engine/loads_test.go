package engine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/peer/peertest"
)

// Guards against the loss of fields that an event doesn't contain, against a stalled stream that
// hides a lost engine, and against streams that stay open although Load is no longer called.
func TestLoadsFollowTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var polls, open atomic.Int64
		var stalled, gone atomic.Bool
		n := peertest.NewNetwork()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("every") == "" {
				polls.Add(1)
				if gone.Load() {
					w.WriteHeader(http.StatusInternalServerError)
				}
				fmt.Fprint(w, `{"name":"e","models":["m"],"running":1}`)
				return
			}
			open.Add(1)
			defer open.Add(-1)
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "data:{\"name\":\"e\",\"models\":[\"m\"],\"running\":2}\n\n")
			for running := 3; r.Context().Err() == nil && http.NewResponseController(w).Flush() == nil; running++ {
				time.Sleep(loadStreamInterval)
				for stalled.Load() && r.Context().Err() == nil {
					time.Sleep(loadStreamInterval)
				}
				fmt.Fprintf(w, "data:{\"running\":%d}\n\n", running)
			}
		})}
		listener := n.Listen("e")
		go func() { _ = server.Serve(listener) }()
		dial := n.Dialer("gateway")
		transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return dial(ctx, "e") }}
		loads := NewLoads(New(&http.Client{Transport: transport}))
		defer func() {
			loads.Close()
			transport.CloseIdleConnections()
			_ = server.Close()
		}()
		load := func() int {
			r, err := loads.Load(t.Context(), "e", "e")
			is.NoErr(err)
			is.Equal(r.Models, []string{"m"})
			time.Sleep(loadStreamInterval)
			return r.Running
		}
		for range 4 {
			load()
		}
		is.Equal(polls.Load(), int64(2))  // the second call within loadStreamInterval opens the stream
		time.Sleep(10 * time.Millisecond) // avoid the instant of an event
		before := load()
		is.True(load() > before)
		is.Equal(polls.Load(), int64(2))
		stalled.Store(true)
		time.Sleep(maxLoadAge)
		is.Equal(load(), 1) // polled
		gone.Store(true)
		_, err := loads.Load(t.Context(), "e", "e")
		is.True(err != nil)
		gone.Store(false)
		stalled.Store(false)
		time.Sleep(loadStreamTimeout + loadStreamRetryDelay)
		for range 4 {
			load()
		}
		is.Equal(open.Load(), int64(1))
		time.Sleep(loadStreamTimeout + time.Second)
		is.Equal(open.Load(), int64(0)) // Load was not called
	})
}

// Guards against an engine without streams that is treated as lost, or that gets a request for a
// stream with each poll.
func TestLoadsPollAnEngineWithoutStreams(t *testing.T) {
	var streamRequests, polls atomic.Int64
	client, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			streamRequests.Add(1)
		} else {
			polls.Add(1)
		}
		respondWith(200, "application/json", `{"name":"e","running":1}`)(w, r)
	})
	is := is.New(t)
	loads := NewLoads(client)
	for range 20 {
		r, err := loads.Load(t.Context(), "e", address)
		is.NoErr(err)
		is.Equal(r.Running, 1)
	}
	loads.Close()
	is.Equal(polls.Load(), int64(20))
	is.True(streamRequests.Load() <= 1)
}
