package claim

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"persimmonwing/internal/connection/platform"
)

// rowPrefix is the part of the table that holds claims.
const rowPrefix = "claims/"

// maxReplayBody bounds a recorded body, in bytes. It keeps a transaction of
// many rows well below the 1.5 MiB that etcd accepts in one request.
const maxReplayBody = 8 << 10

// replayedHeaders are the headers that a recorded answer keeps.
var replayedHeaders = []string{"Content-Encoding", "Content-Language", "Content-Type", "Etag", "Location"}

// Key identifies a call.
type Key struct {
	Workspace      string
	Entry          string
	IdempotencyKey string
}

func (k Key) row() string {
	parts := []string{url.PathEscape(k.Workspace), url.PathEscape(k.Entry), url.PathEscape(k.IdempotencyKey)}
	return rowPrefix + strings.Join(parts, "/")
}

func isClaimRow(key string) bool { return strings.HasPrefix(key, rowPrefix) }

// Answer is the outcome of a call that ran.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// TooLarge tells that the body was too large to record and is absent.
	TooLarge bool `json:"too_large,omitempty"`
}

// replayable returns the part of an answer that is recorded.
func (a Answer) replayable() *Answer {
	out := &Answer{Status: a.Status, Header: http.Header{}, Body: a.Body, TooLarge: a.TooLarge}
	for _, name := range replayedHeaders {
		if v := a.Header.Values(name); len(v) > 0 {
			out.Header[name] = v
		}
	}
	if len(a.Body) > maxReplayBody {
		out.Body = nil
		out.TooLarge = true
	}
	return out
}

// state is the state of a claim row.
type state string

const (
	// stateClaimed means that the holder of the nonce may have dispatched.
	stateClaimed state = "claimed"
	// stateNotRun means that the call provably did not run under this nonce.
	stateNotRun state = "not_run"
	// stateDone means that the call ran and its answer is recorded.
	stateDone state = "done"
)

// record is the value of a claim row.
type record struct {
	Nonce      string  `json:"nonce"`
	State      state   `json:"state"`
	BodyDigest string  `json:"body_digest"`
	Answer     *Answer `json:"answer,omitempty"`
}

// encode cannot fail: all fields of a record have a JSON form.
func (r record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return b
}

func decode(row platform.Row) (record, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return record{}, fmt.Errorf("claim row %s: %w", row.Key, err)
	}
	return r, nil
}

// heldBy reports whether the row is claimed under this nonce.
func (r record) heldBy(nonce string) bool { return r.State == stateClaimed && r.Nonce == nonce }
