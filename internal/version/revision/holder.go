package revision

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"persimmonwing/internal/version/catalogue"
)

// Holder stores the current revision of a gateway. The zero value is ready for use and
// contains no revision. A Holder is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[installed]

	mu          sync.Mutex
	subscribers []func(*catalogue.Snapshot)
	// rejected is the digest of the last body that failed validation. It prevents such
	// a body from being fetched and parsed every second.
	rejected string
}

// installed is the current revision with its snapshot and installation time.
type installed struct {
	snapshot *catalogue.Snapshot
	revision Revision
	at       time.Time
}

// Current returns the current snapshot, or nil if there is none.
func (h *Holder) Current() *catalogue.Snapshot {
	if i := h.current.Load(); i != nil {
		return i.snapshot
	}
	return nil
}

// Number returns the current revision, or 0 if there is none.
func (h *Holder) Number() int64 {
	if s := h.Current(); s != nil {
		return s.Revision
	}
	return 0
}

// InstalledAt returns the time at which the current revision was installed, or the
// zero time if there is none.
func (h *Holder) InstalledAt() time.Time {
	if i := h.current.Load(); i != nil {
		return i.at
	}
	return time.Time{}
}

// Subscribe registers a callback that is called with each snapshot after its
// installation, in increasing order of revision. If there is a current snapshot, the
// callback is called with it at once. It must not call Accept, Install or Subscribe.
func (h *Holder) Subscribe(f func(*catalogue.Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = append(h.subscribers, f)
	if s := h.Current(); s != nil {
		f(s)
	}
}

// Install makes s the current snapshot if its revision is higher than the current one,
// and reports whether it did.
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

// Accept verifies body against r and installs it if r is higher than the current
// revision. It reports whether the body was installed.
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

// Newer returns the current revision with its body if it is higher than known, and
// false otherwise. It serves the Catalogue.Fetch call of peers.
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
