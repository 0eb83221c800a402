package revision

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"persimmonwing/internal/version/catalogue"
)

// Holder keeps the revision in force at a gateway. The zero value is ready
// for use and holds none. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[installed]

	mu          sync.Mutex
	subscribers []func(*catalogue.Snapshot)
	// rejected is the digest of the last body that didn't validate. It keeps
	// such a body from being fetched and parsed every second.
	rejected string
}

type installed struct {
	snapshot *catalogue.Snapshot
	revision Revision
	at       time.Time
}

// Current returns the snapshot in force, or nil.
func (h *Holder) Current() *catalogue.Snapshot {
	if i := h.current.Load(); i != nil {
		return i.snapshot
	}
	return nil
}

// Number returns the revision in force, or 0.
func (h *Holder) Number() int64 {
	if s := h.Current(); s != nil {
		return s.Revision
	}
	return 0
}

// InstalledAt returns when the revision in force was installed; the zero time
// if there is none.
func (h *Holder) InstalledAt() time.Time {
	if i := h.current.Load(); i != nil {
		return i.at
	}
	return time.Time{}
}

// Subscribe adds a callback that is called with each snapshot after its
// installation, in increasing order. It must not call Install or Subscribe.
func (h *Holder) Subscribe(f func(*catalogue.Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = append(h.subscribers, f)
	if s := h.Current(); s != nil {
		f(s)
	}
}

// Install puts a snapshot in force if its revision is higher than the current one.
func (h *Holder) Install(s *catalogue.Snapshot) bool {
	return h.install(s, Revision{Number: s.Revision, Digest: s.Digest})
}

func (h *Holder) install(s *catalogue.Snapshot, r Revision) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Revision <= h.Number() {
		return false
	}
	h.current.Store(&installed{snapshot: s, revision: r, at: time.Now()})
	for _, f := range h.subscribers {
		f(s)
	}
	return true
}

// Accept verifies a body against its revision and installs it if it is higher.
func (h *Holder) Accept(r Revision, body []byte) (bool, error) {
	if got := catalogue.Digest(body); got != r.Digest {
		return false, fmt.Errorf("revision %d: %w: want %s, got %s", r.Number, ErrDigest, r.Digest, got)
	}
	c, err := catalogue.Parse(fmt.Sprintf("revision-%d", r.Number), body)
	if err != nil {
		h.reject(r.Digest)
		return false, fmt.Errorf("revision %d is not installed: %w", r.Number, err)
	}
	s := catalogue.NewSnapshot(r.Number, r.Digest, c)
	s.Body = body
	return h.install(s, r), nil
}

// Newer returns the revision in force with its body if it is higher than the
// known one. It answers the Catalogue.Fetch call of peers.
func (h *Holder) Newer(known int64) (Revision, []byte, bool) {
	i := h.current.Load()
	if i == nil || i.snapshot.Revision <= known || i.snapshot.Body == nil {
		return Revision{}, nil, false
	}
	return i.revision, i.snapshot.Body, true
}

func (h *Holder) reject(digest string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rejected = digest
}

func (h *Holder) isRejected(digest string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rejected == digest
}
