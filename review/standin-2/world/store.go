// Package world holds stand-ins of the platform's store, of application servers, of model servers and
// of clients, as the users' pages describe them. It starts the gateways as processes of their own.
package world

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// txTime is the time that a transaction takes (tx_ms).
const txTime = 5 * time.Millisecond

// row is a row of the store's tables.
type row struct {
	Table    string `json:"table"`
	Part     string `json:"part"`
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	// Tombstone marks a row that was removed.
	Tombstone bool `json:"tombstone,omitempty"`
}

// Store is a stand-in of the platform's store. It keeps its whole history.
type Store struct {
	Address string

	mu       sync.Mutex
	rows     map[string]row
	revision int64
	changed  chan struct{}
	began    time.Time
}

// NewStore starts a store on a free port.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), rows: map[string]row{}, changed: make(chan struct{}), began: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// Put writes a row as the operator or a server does.
func (s *Store) Put(table, key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: raw})
	return nil
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Tombstone: true})
}

func (s *Store) write(r row) {
	s.revision++
	r.Revision = s.revision
	s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) find(table string, keep func(row) bool) []row {
	out := []row{}
	for _, r := range s.rows {
		if r.Table == table && keep(r) {
			out = append(out, r)
		}
	}
	return out
}

func (s *Store) reply(w http.ResponseWriter, status int, rows []row) {
	w.Header().Set("Content-Type", "application/json")
	body, _ := json.Marshal(map[string]any{"rows": rows, "more_pages": false, "revision": s.revision, "now_ms": time.Since(s.began).Milliseconds()})
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.find(q.Get("table"), func(r row) bool {
		return !r.Tombstone && r.Part == q.Get("part") && r.Key >= q.Get("from") && (q.Get("to") == "" || r.Key < q.Get("to"))
	})
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.reply(w, http.StatusOK, rows)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseInt(q.Get("since_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		rows := s.find(q.Get("table"), func(r row) bool { return r.Revision > since })
		if len(rows) > 0 {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Revision < rows[j].Revision })
			s.reply(w, http.StatusOK, rows)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
			s.mu.Lock()
		case <-end:
			s.mu.Lock()
			s.reply(w, http.StatusOK, nil)
			return
		case <-r.Context().Done():
			s.mu.Lock()
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectRev, Puts, Remove []row
	}
	raw := map[string]json.RawMessage{}
	if json.NewDecoder(r.Body).Decode(&raw) != nil || json.Unmarshal(raw["expect_rev"], &t.ExpectRev) != nil ||
		json.Unmarshal(raw["puts"], &t.Puts) != nil || json.Unmarshal(raw["remove"], &t.Remove) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.ExpectRev {
		now := s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key]
		if now.Tombstone {
			now.Revision = 0
		}
		if now.Revision != e.Revision {
			var current []row
			for _, e := range t.ExpectRev {
				if c, ok := s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key]; ok && !c.Tombstone {
					current = append(current, c)
				}
			}
			s.reply(w, http.StatusPreconditionFailed, current)
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
	s.reply(w, http.StatusOK, nil)
}
