package world

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Store is the platform's store.
type Store struct {
	Address string

	w        *World
	mu       sync.Mutex
	rows     map[string]row // by table/key
	revision int64
	changed  chan struct{}
}

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value"`
	Revision  int64  `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func newStore(w *World) *Store {
	s := &Store{w: w, rows: map[string]row{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.Fail("store: %v", err)
	}
	s.Address = l.Addr().String()
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	w.AtEnd(func() { _ = server.Close() })
	return s
}

// Put writes a row as the operator or a server does. It returns the time of the acknowledgement.
func (s *Store) Put(table, key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		s.w.Fail("row: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(raw)})
	return time.Now()
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Tombstone: true})
}

func (s *Store) write(r row) {
	s.revision++
	r.Revision = s.revision
	s.rows[r.Table+"/"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the rows of a table that changed after a revision, in order.
func (s *Store) since(table string, revision int64, tombstones bool) []row {
	out := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Revision > revision && (tombstones || !r.Tombstone) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Revision < out[j].Revision })
	return out
}

// ServeHTTP implements the calls about rows.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := func(status int, v map[string]any) {
		v["revision"], v["now_ms"] = s.revision, time.Since(s.w.start).Milliseconds()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(v)
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/v1/rows-get":
		rows := s.since(q.Get("table"), -1, false)
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
		reply(200, map[string]any{"rows": rows, "more_pages": false})
	case "/v1/rows-feed":
		since, _ := strconv.ParseInt(q.Get("since_rev"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		timeout := time.After(time.Duration(wait) * time.Millisecond)
		for done := false; !done && len(s.since(q.Get("table"), since, true)) == 0; {
			changed := s.changed
			s.mu.Unlock()
			select {
			case <-changed:
			case <-timeout:
				done = true
			case <-r.Context().Done():
				done = true
			}
			s.mu.Lock()
		}
		reply(200, map[string]any{"rows": s.since(q.Get("table"), since, true)})
	case "/v1/rows-tx":
		s.transact(body, reply)
	default:
		reply(404, map[string]any{})
	}
}

func (s *Store) transact(body []byte, reply func(int, map[string]any)) {
	var t struct {
		ExpectRev, Puts, Remove []row
	}
	var wire struct {
		ExpectRev []row `json:"expect_rev"`
		Puts      []row `json:"puts"`
		Remove    []row `json:"remove"`
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		reply(400, map[string]any{})
		return
	}
	t.ExpectRev, t.Puts, t.Remove = wire.ExpectRev, wire.Puts, wire.Remove
	for _, e := range t.ExpectRev {
		current := int64(0)
		if old, ok := s.rows[e.Table+"/"+e.Key]; ok && !old.Tombstone {
			current = old.Revision
		}
		if current != e.Revision {
			reply(412, map[string]any{"rows": s.since(e.Table, -1, false)})
			return
		}
	}
	for _, p := range t.Puts {
		s.write(p)
	}
	for _, p := range t.Remove {
		p.Tombstone = true
		s.write(p)
	}
	reply(200, map[string]any{})
}
