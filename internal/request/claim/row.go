package claim

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"persimmonwing/internal/connection/platform"
)

// rowPrefix is the key prefix of claim rows.
const rowPrefix = "claims/"

// maxReplayBody is the maximum size of a recorded body in bytes. It keeps a
// transaction of many rows well below the 1.5 MiB that etcd accepts in one request.
const maxReplayBody = 8 << 10

// replayedHeaders lists the headers that are recorded with an answer.
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

// Answer is the recorded answer of a call that ran.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// TooLarge is set if the body is missing because it was too large to record.
	TooLarge bool `json:"too_large,omitempty"`
}

// replayable returns a copy of the answer with only the parts that are recorded.
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
	// stateClaimed means that the owner of the nonce may have dispatched the call.
	stateClaimed state = "claimed"
	// stateNotRun means that the call certainly did not run under this nonce.
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

// encode returns the JSON form of a record. It cannot fail, because every field can be
// encoded as JSON.
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

// claimedBy reports whether the row is in state claimed under this nonce.
func (r record) claimedBy(nonce string) bool { return r.State == stateClaimed && r.Nonce == nonce }
