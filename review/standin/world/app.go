package world

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// App is an application server.
type App struct {
	ID, Zone, Address string
	// Work is how long a request takes, and Answer the body of its answer.
	Work   time.Duration
	Answer []byte
	// Pause is the time between two pieces of pieceBytes of an answer.
	Pause time.Duration

	w      *World
	born   int64
	server *http.Server
	slots  chan struct{}
	mu     sync.Mutex
	seq    int
	ran    map[string]int // by attempt id
}

const pieceBytes = 16 << 10

// AddApps starts application servers, one for each zone given.
func (w *World) AddApps(zones ...string) []*App {
	var out []*App
	for i, zone := range zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			w.Fail("application server: %v", err)
		}
		a := &App{ID: fmt.Sprintf("i-02d9e6b%d", i), Zone: zone, Address: l.Addr().String(), Work: 60 * time.Millisecond, Answer: make([]byte, 800), w: w, born: time.Now().UnixMilli(), slots: make(chan struct{}, 6), ran: map[string]int{}}
		a.server = &http.Server{Handler: a}
		go func() { _ = a.server.Serve(l) }()
		w.AtEnd(func() { _ = a.server.Close() })
		a.beat()
		go func() {
			for {
				time.Sleep(BeatMS * time.Millisecond)
				a.beat()
			}
		}()
		out = append(out, a)
	}
	return out
}

func (a *App) beat() {
	a.mu.Lock()
	a.seq++
	seq := a.seq
	a.mu.Unlock()
	a.w.Store.Put("servers", a.ID, map[string]any{
		"service": AppService, "addr": a.Address, "zone": a.Zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": seq, "born": a.born,
	})
}

// SetPause changes Pause.
func (a *App) SetPause(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Pause = d
}

// Ran returns how often a request ran.
func (a *App) Ran(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ran[id]
}

// ServeHTTP runs a request.
func (a *App) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	hash := crc32.NewIEEE()
	n, err := io.Copy(hash, r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	id := r.Header.Get("X-Persimmonwing-Attempt-Id")
	h.Set("X-Persimmonwing-Attempt-Id", id)
	if r.Header.Get("X-Persimmonwing-Expect-Replica") != a.ID {
		h.Set("X-Persimmonwing-Replica-Id", a.ID)
		h.Set("X-Persimmonwing-Not-Executed", "1")
		w.WriteHeader(421)
		return
	}
	select {
	case a.slots <- struct{}{}:
		defer func() { <-a.slots }()
	case <-r.Context().Done():
		return
	}
	a.mu.Lock()
	a.ran[id]++
	pause, work, answer := a.Pause, a.Work, a.Answer
	a.mu.Unlock()
	a.w.Log("%s runs %s, body of %d bytes, checksum %08x", a.ID, id, n, hash.Sum32())
	if !sleep(r.Context(), work) {
		a.w.Log("%s: connection of %s closed", a.ID, id)
		return
	}
	h.Set("X-Persimmonwing-Replica-Seal", "3e1b.07."+a.ID)
	h.Set("X-Persimmonwing-Replica-Load", fmt.Sprintf("%d,0,6", len(a.slots)))
	h.Set("Content-Length", fmt.Sprint(len(answer)))
	for len(answer) > 0 {
		piece := answer[:min(len(answer), pieceBytes)]
		answer = answer[len(piece):]
		if _, err := w.Write(piece); err != nil {
			a.w.Log("%s: connection of %s closed with %d bytes left", a.ID, id, len(answer))
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		if len(answer) > 0 && pause > 0 && !sleep(r.Context(), pause) {
			a.w.Log("%s: connection of %s closed with %d bytes left", a.ID, id, len(answer))
			return
		}
	}
	a.w.Log("%s answered %s", a.ID, id)
}

// sleep reports whether the time passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
