package world

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a script notes what was sent, answered and run.
type Record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	// sent and runs count, by attempt id, the requests that clients sent and that servers ran.
	sent map[string]int
	runs map[string][]string
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: f, sent: map[string]int{}, runs: map[string][]string{}}, nil
}

// Line notes an event with its time since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *Record) line(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Sent notes that a client sends a request.
func (r *Record) Sent(id, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id]++
	r.line("client sends %s: %s", id, what)
}

// Ran notes that a server begins to work on a request.
func (r *Record) Ran(id, server, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], server)
	r.line("server %s runs %s: %s", server, id, what)
}

// Runs returns the servers that ran a request.
func (r *Record) Runs(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[id]...)
}

// Unasked returns the ids that servers ran and no client sent.
func (r *Record) Unasked() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for id := range r.runs {
		if r.sent[id] == 0 {
			out = append(out, id)
		}
	}
	return out
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
