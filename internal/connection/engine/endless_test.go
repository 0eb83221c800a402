package engine

import (
	"context"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

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
			heap := func() uint64 {
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return m.HeapAlloc
			}
			runtime.GC()
			idle, most := heap(), uint64(0)
			done := make(chan struct{})
			go func() {
				defer close(done)
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
			}()
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(2 * time.Millisecond):
					most = max(most, heap())
				}
			}
			t.Logf("%.1f MB more on the heap", float64(most-min(idle, most))/1e6)
			if most > idle+limit {
				t.Errorf("%.1f MB more on the heap", float64(most-idle)/1e6)
			}
		})
	}
}
