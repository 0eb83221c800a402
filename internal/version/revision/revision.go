// Package revision keeps the accepted revisions of the catalogue: operators
// edit the head by compare-and-set, and gateways follow it from the platform
// and from each other.
package revision

import (
	"encoding/json"
	"fmt"
	"time"
)

// Revision describes one accepted revision. It is the value of the head row
// and of the history row with its number.
type Revision struct {
	// Number grows by 1 with each accepted edit, starting at 1.
	Number int64 `json:"revision"`
	// Digest names the body in the object store.
	Digest  string `json:"digest"`
	Author  string `json:"author"`
	Message string `json:"message"`
	// Nonce identifies the edit, so that its author can find out whether it was
	// accepted when the answer is lost.
	Nonce string `json:"nonce"`
	// At is the author's wall clock. It is shown to operators and decides nothing.
	At time.Time `json:"at"`
}

// Places of the catalogue at the platform.
const (
	HeadKey       = "catalogue/head"
	historyPrefix = "catalogue/history/"
	Bucket        = "catalogue"
)

// HistoryKey returns the key of a history row. The number is padded to the
// digits of the largest int64, so that keys sort by number.
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
