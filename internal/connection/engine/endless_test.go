package engine

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"persimmonwing/internal/connection/bodies/bodiestest"
	"persimmonwing/internal/request/api"
)

// Guards against a faulty engine whose error bodies, JSON responses or events have no end, which many requests at once
// keep until the process has no memory left.
func TestMemoryOfResponsesWithoutEnd(t *testing.T) {
	const requests, limit = 100, 64 << 20
	for name, c := range map[string]struct {
		status      int
		contentType string
	}{
		"error body": {http.StatusServiceUnavailable, "application/json"},
		"response":   {http.StatusOK, "application/json"},
		"event":      {http.StatusOK, "text/event-stream"},
	} {
		t.Run(name, func(t *testing.T) {
			chunk := make([]byte, 64<<10)
			for i := range chunk {
				chunk[i] = ' '
			}
			client, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", c.contentType)
				w.WriteHeader(c.status)
				for {
					if _, err := w.Write(chunk); err != nil {
						return
					}
				}
			})
			grown := bodiestest.PeakHeap(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				var work sync.WaitGroup
				for i := range requests {
					work.Go(func() {
						if i%2 == 0 {
							_ = client.Cancel(ctx, "e", address, "id")
							return
						}
						if s, err := client.Create(ctx, "e", address, api.CreateRequest{Stream: true}); err == nil {
							_, _ = s.Next()
							s.Close()
						}
					})
				}
				work.Wait()
				if ctx.Err() != nil {
					t.Error("responses were read until the deadline")
				}
			})
			t.Logf("%.1f MB more on the heap", float64(grown)/1e6)
			if grown > limit {
				t.Errorf("%.1f MB more on the heap", float64(grown)/1e6)
			}
		})
	}
}

// Guards against a faulty engine that begins a large event in each of many streams, and doesn't go on: each is within
// the size of one event, but the buffers of all fill the memory.
func TestMemoryOfEventsThatStall(t *testing.T) {
	const streams, limit = 400, 64 << 20
	var sent atomic.Int64
	var sound atomic.Bool
	begun := "data: " + strings.Repeat("t", maxEventBytes*9/10)
	client, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if sound.Load() {
			_, _ = io.WriteString(w, createdEvent)
			return
		}
		_, _ = io.WriteString(w, begun)
		_ = http.NewResponseController(w).Flush()
		sent.Add(1)
		<-r.Context().Done()
	})
	idle := bodiestest.Heap()
	ctx, cancel := context.WithCancel(t.Context())
	var work sync.WaitGroup
	for range streams {
		work.Go(func() {
			if s, err := client.Create(ctx, "e", address, api.CreateRequest{}); err == nil {
				_, _ = s.Next()
				s.Close()
			}
		})
	}
	for began := time.Now(); sent.Load() < streams && time.Since(began) < 5*time.Second; {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	held := bodiestest.Heap()
	grown := held - min(idle, held)
	sound.Store(true)
	if s, err := client.Create(t.Context(), "e", address, api.CreateRequest{}); err != nil {
		t.Error(err)
	} else if _, err := s.Next(); err != nil {
		t.Error(err)
	} else {
		s.Close()
	}
	cancel()
	work.Wait()
	t.Logf("%.1f MB more on the heap", float64(grown)/1e6)
	if grown > limit {
		t.Errorf("%.1f MB more on the heap", float64(grown)/1e6)
	}
}

// Guards against a stream of which the engine has sent many comments between two events, and that fails as if the
// parser had to keep them.
func TestCommentsTakeNoMemory(t *testing.T) {
	comments := strings.Repeat(": ping\n\n", 1<<20)
	client, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for range 3 {
			_, _ = io.WriteString(w, comments)
		}
		_, _ = io.WriteString(w, completedEvent)
	})
	s, err := client.Create(t.Context(), "e", address, api.CreateRequest{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := s.Next(); err != nil {
		t.Error(err)
	}
}

// Guards against sound streams that fail because their last events, which hold the whole output, take the memory that
// bounds events without end, or don't give it back.
func TestLargeEventsOfManyStreams(t *testing.T) {
	const streams, rounds = 50, 4
	event := `data: {"type":"response.completed","sequence_number":1,"text":"` + strings.Repeat("t", 150<<10) + "\"}\n\n"
	client, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		half := len(event) * 3 / 4
		_, _ = io.WriteString(w, event[:half])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(w, event[half:])
	})
	for range rounds {
		var work sync.WaitGroup
		for range streams {
			work.Go(func() {
				s, err := client.Create(t.Context(), "e", address, api.CreateRequest{})
				if err != nil {
					t.Error(err)
					return
				}
				defer s.Close()
				if _, err := s.Next(); err != nil {
					t.Error(err)
				}
			})
		}
		work.Wait()
	}
}
