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
	// Deadly is a path whose requests crash the server when it begins to run them, or empty.
	Deadly string
	// Work is how long a request takes, and Answer the body of its answer.
	Work   time.Duration
	Answer []byte

	w      *World
	born   int64
	server *http.Server
	slots  chan struct{}
	mu     sync.Mutex
	seq    int
	ran    map[string]int // by attempt id
	// leaving is set once the server leaves, and down after a crash. arrivals holds the times at which requests reached it.
	leaving  bool
	down     bool
	arrivals map[string]time.Time
	running  map[string]bool
	crashes  []time.Time
}

// AddApps starts application servers, one for each zone given.
func (w *World) AddApps(zones ...string) []*App {
	var out []*App
	for i, zone := range zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			w.Fail("application server: %v", err)
		}
		a := &App{ID: fmt.Sprintf("i-02d9e6b%d", i), Zone: zone, Address: l.Addr().String(), Work: 60 * time.Millisecond, Answer: make([]byte, 800), w: w, born: time.Now().UnixMilli(), slots: make(chan struct{}, 6), ran: map[string]int{}, arrivals: map[string]time.Time{}, running: map[string]bool{}}
		a.serve(l)
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
	defer a.mu.Unlock()
	if a.leaving || a.down {
		return
	}
	a.seq++
	seq := a.seq
	a.w.Store.Put("servers", a.ID, map[string]any{
		"service": AppService, "addr": a.Address, "zone": a.Zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": seq, "born": a.born,
	})
}

// Leave removes the server's entry without a report that it drains. The server goes on serving. It
// returns the time of the acknowledgement.
func (a *App) Leave() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.w.Store.Remove("servers", a.ID)
	a.w.Log("entry of %s removed, acknowledged", a.ID)
	return time.Now()
}

// crash ends the server without notice. It is back after a time.
func (a *App) crash(id string) {
	a.mu.Lock()
	if a.down {
		a.mu.Unlock()
		return
	}
	a.down = true
	a.crashes = append(a.crashes, time.Now())
	a.mu.Unlock()
	a.w.Log("%s crashes on %s", a.ID, id)
	a.End()
	time.AfterFunc(crashTime, a.Return)
}

// crashTime is the time after which a server that has crashed is back.
const crashTime = 3 * time.Second

// Crashes returns the times of the crashes.
func (a *App) Crashes() []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]time.Time(nil), a.crashes...)
}

// End ends the server, whatever it runs.
func (a *App) End() {
	a.mu.Lock()
	server := a.server
	for id, running := range a.running {
		if running {
			a.w.Log("%s ends while it runs %s", a.ID, id)
		}
	}
	a.mu.Unlock()
	_ = server.Close()
	a.w.Log("%s ends", a.ID)
}

// Return starts the server again, as a new incarnation under its id and at a new address.
func (a *App) Return() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		a.w.Fail("application server: %v", err)
	}
	a.mu.Lock()
	a.Address = l.Addr().String()
	a.leaving, a.down, a.born, a.seq = false, false, time.Now().UnixMilli(), 0
	a.running = map[string]bool{}
	a.mu.Unlock()
	a.serve(l)
	a.beat()
}

func (a *App) serve(l net.Listener) {
	server := &http.Server{Handler: a}
	a.mu.Lock()
	a.server = server
	a.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

// Arrivals returns the times at which requests reached the server, by attempt id.
func (a *App) Arrivals() map[string]time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]time.Time{}
	for id, t := range a.arrivals {
		out[id] = t
	}
	return out
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
	a.mu.Lock()
	a.arrivals[id] = time.Now()
	if a.leaving {
		h.Set("Server-Leaving", "1")
	}
	a.mu.Unlock()
	select {
	case a.slots <- struct{}{}:
		defer func() { <-a.slots }()
	case <-r.Context().Done():
		return
	}
	a.mu.Lock()
	a.ran[id]++
	a.running[id] = true
	work, answer := a.Work, a.Answer
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.running, id)
		a.mu.Unlock()
	}()
	a.w.Log("%s runs %s, body of %d bytes, checksum %08x", a.ID, id, n, hash.Sum32())
	if a.Deadly != "" && r.URL.Path == a.Deadly {
		a.crash(id)
		return
	}
	if !sleep(r.Context(), work) {
		a.w.Log("%s: connection of %s closed", a.ID, id)
		return
	}
	h.Set("X-Persimmonwing-Replica-Seal", "3e1b.07."+a.ID)
	h.Set("X-Persimmonwing-Replica-Load", fmt.Sprintf("%d,0,6", len(a.slots)))
	h.Set("Content-Length", fmt.Sprint(len(answer)))
	if _, err := w.Write(answer); err != nil {
		return
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
