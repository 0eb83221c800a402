package world

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Names of headers on the users' pages.
const (
	HeaderAttempt  = "X-Persimmonwing-Attempt-Id"
	HeaderDeadline = "X-Persimmonwing-Deadline-Ms"
	HeaderSeal     = "X-Persimmonwing-Replica-Seal"
	headerExpect   = "X-Persimmonwing-Expect-Replica"
	headerServer   = "X-Persimmonwing-Replica-Id"
	headerLoad     = "X-Persimmonwing-Replica-Load"
	headerNotRun   = "X-Persimmonwing-Not-Executed"
)

// beatTime is the time between two writes of a server's entry (beat_ms).
const beatTime = 1200 * time.Millisecond

// queueLength is the number of requests that wait at a server before it rejects further ones.
const queueLength = 24

// Server is a stand-in of an application server or, if Stream is set, of a model server.
type Server struct {
	ID, Service, Zone string
	Slots             int
	// Stream is set for a model server.
	Stream bool
	// Work answers a request that has begun to run. The headers of the answer that every answer
	// has are set.
	Work func(w http.ResponseWriter, r *http.Request, body []byte)

	store    *Store
	record   *Record
	http     *http.Server
	beats    *time.Ticker
	address  string
	born     int64
	slots    chan struct{}
	mu       sync.Mutex
	waiting  int
	running  int
	sequence int64
	// leaving is set once the server leaves, and left once it has ended. late is how much later than it was sent
	// the next write of the entry takes effect.
	leaving, left bool
	late          time.Duration
}

// Start starts the server on a free port and registers it in the store.
func (s *Server) Start(store *Store, record *Record) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.store, s.record, s.address = store, record, l.Addr().String()
	s.born, s.slots = time.Now().UnixMilli(), make(chan struct{}, s.Slots)
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	if err := s.beat(); err != nil {
		return err
	}
	s.beats = time.NewTicker(beatTime)
	go func() {
		for range s.beats.C {
			_ = s.beat()
		}
	}()
	return nil
}

// WriteLate makes the server write its entry now. The store performs that later, and the server gets no answer.
func (s *Server) WriteLate(by time.Duration) error {
	s.mu.Lock()
	s.late = by
	s.mu.Unlock()
	s.beats.Reset(beatTime)
	return s.beat()
}

// Leave makes the server report that it is draining. It goes on serving, and says so in all its answers.
func (s *Server) Leave() error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.beats.Reset(beatTime)
	return s.beat()
}

// End ends the server and removes its entry.
func (s *Server) End() {
	s.mu.Lock()
	s.left = true
	s.mu.Unlock()
	s.record.Line("server %s ends", s.ID)
	_ = s.http.Close()
	s.store.Remove("servers", s.ID)
}

func (s *Server) beat() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left {
		return nil
	}
	s.sequence++
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	entry := map[string]any{
		"service": s.Service, "addr": s.address, "zone": s.Zone, "version": "v1", "slots": s.Slots,
		"state": state, "cold_left_ms": 0, "seq": s.sequence, "born": s.born,
	}
	if s.Stream {
		entry["stage"], entry["models"] = "mixed", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	if late := s.late; late > 0 {
		s.late = 0
		s.record.Line("server %s writes its entry %d, %s, to no answer", s.ID, s.sequence, state)
		time.AfterFunc(late, func() {
			s.record.Line("the store performs the write %d of %s, %v late", entry["seq"], s.ID, late)
			_ = s.store.Put("servers", s.ID, entry)
		})
		return nil
	}
	return s.store.Put("servers", s.ID, entry)
}

// ServeHTTP serves the calls of the gateways.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderAttempt)
	if s.Stream && r.URL.Path == "/v1/report" {
		s.report(w)
		return
	}
	if id != "" {
		w.Header().Set(HeaderAttempt, id)
	}
	w.Header().Set(headerServer, s.ID)
	if s.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	if expect := r.Header.Get(headerExpect); expect != "" && expect != s.ID {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.acquire(r.Context()) {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	w.Header().Set(headerLoad, s.load())
	if r.URL.Path == "/healthz" {
		return
	}
	if id == "" {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.record.Line("server %s has not received the body of %s: %v", s.ID, id, err)
		return
	}
	s.record.Ran(id, s.ID, fmt.Sprintf("%s %s, body of %d bytes", r.Method, r.RequestURI, len(body)))
	w.Header().Set(HeaderSeal, "seal."+s.ID+"."+id)
	s.Work(w, r, body)
}

// acquire waits for a slot. It returns false if too many requests wait or the connection ends.
func (s *Server) acquire(ctx context.Context) bool {
	s.mu.Lock()
	if s.waiting >= queueLength {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	got := false
	select {
	case s.slots <- struct{}{}:
		got = true
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.waiting--
	if got {
		s.running++
	}
	s.mu.Unlock()
	return got
}

func (s *Server) release() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	<-s.slots
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *Server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.Slots)
}

func (s *Server) report(w http.ResponseWriter) {
	s.mu.Lock()
	running, waiting := s.running, s.waiting
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"stage":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":%d,"running":%d,"kv_used":%d,"kv_total":%d,"handles":0,"born":%d}`,
		waiting, running, running*tokensPerRun, KVCapacity, s.born)
}

const (
	// KVCapacity is the memory of a model server in tokens, and tokensPerRun what one request takes of it.
	KVCapacity   = 34266
	tokensPerRun = 1400
)

// Whole answers after a time with a body of a stated length.
func Whole(after time.Duration, size int) func(http.ResponseWriter, *http.Request, []byte) {
	return func(w http.ResponseWriter, r *http.Request, _ []byte) {
		select {
		case <-time.After(after):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(Pattern(size))
	}
}

// Events answers with a stream of events.
func Events(n int, gap time.Duration) func(http.ResponseWriter, *http.Request, []byte) {
	return func(w http.ResponseWriter, r *http.Request, _ []byte) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= n; i++ {
			select {
			case <-time.After(gap):
			case <-r.Context().Done():
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: tokens %d\n\n", i, i)
			w.(http.Flusher).Flush()
		}
	}
}

// Pattern returns the body of an answer, of which each byte depends on its position.
func Pattern(size int) []byte {
	b := make([]byte, size)
	for i := range b {
		b[i] = byte('a' + (i/251+i)%26)
	}
	return b
}

// Unframed answers with a body of size bytes that has no length and ends with its connection. It is sent in pieces,
// one each gap.
func Unframed(size, pieces int, gap time.Duration) func(http.ResponseWriter, *http.Request, []byte) {
	return func(w http.ResponseWriter, r *http.Request, _ []byte) {
		head := "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n"
		for name, values := range w.Header() {
			head += name + ": " + values[0] + "\r\n"
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		body := Pattern(size)
		if _, err := io.WriteString(c, head+"\r\n"); err != nil {
			return
		}
		for i := range pieces {
			if _, err := c.Write(body[i*size/pieces : (i+1)*size/pieces]); err != nil {
				return
			}
			time.Sleep(gap)
		}
	}
}

// Pieces answers with a body of a stated length, sent in pieces, one each gap.
func Pieces(size, pieces int, gap time.Duration) func(http.ResponseWriter, *http.Request, []byte) {
	return func(w http.ResponseWriter, r *http.Request, _ []byte) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		body := Pattern(size)
		for i := range pieces {
			if _, err := w.Write(body[i*size/pieces : (i+1)*size/pieces]); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-time.After(gap):
			case <-r.Context().Done():
				return
			}
		}
	}
}
