// Package revision stores and distributes the accepted revisions of the catalogue.
// Operators change the head by compare-and-set. Gateways follow it by polling the
// platform and by fetching from each other.
package revision

import (
	"encoding/json"
	"fmt"
	"time"
)

// Revision describes one accepted revision. It is the JSON value of the head row and of
// the history row with its revision number.
type Revision struct {
	// Number starts at 1 and increases by 1 with each accepted edit.
	Number int64 `json:"revision"`
	// Digest is the key of the body in the object store.
	Digest  string `json:"digest"`
	Author  string `json:"author"`
	Message string `json:"message"`
	// Nonce identifies the edit. If the response to an edit is lost, its author
	// compares the nonce to find out whether the edit was accepted.
	Nonce string `json:"nonce"`
	// At is the author's wall-clock time. It is only shown to operators; no decision
	// depends on it.
	At time.Time `json:"at"`
}

// Row keys and object bucket of the catalogue on the platform.
const (
	HeadKey       = "catalogue/head"
	historyPrefix = "catalogue/history/"
	Bucket        = "catalogue"
)

// HistoryKey returns the key of a history row. The number is zero-padded to the length
// of the largest int64, so that keys sort by number.
func HistoryKey(number int64) string { return fmt.Sprintf("%s%019d", historyPrefix, number) }

func (r Revision) encode() ([]byte, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode revision %d: %w", r.Number, err)
	}
	return raw, nil
}

func decode(key string, raw []byte) (Revision, error) {
	var r Revision
	if err := json.Unmarshal(raw, &r); err != nil {
		return Revision{}, fmt.Errorf("decode row %s: %w", key, err)
	}
	if r.Number < 1 || r.Digest == "" {
		return Revision{}, fmt.Errorf("decode row %s: revision %d with digest %q is not valid", key, r.Number, r.Digest)
	}
	return r, nil
}
