package order

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"persimmonwing/internal/connection/platform"
)

// leaseValue is the JSON value of the row.
type leaseValue struct {
	// Holder is empty after a release.
	Holder string `json:"holder"`
	// Fencing grows by 1 with each take-over.
	Fencing int64 `json:"fencing"`
	// Nonce differs with each write, so that a writer recognises its own.
	Nonce    string `json:"nonce"`
	Renewals int64  `json:"renewals"`
}

// leaseRow is the row as last read or written. One goroutine uses it.
type leaseRow struct {
	table   Table
	timeout time.Duration
	holder  string

	value    leaseValue
	revision int64
	// changedAt is the time after the call that first showed this revision; it
	// is zero before the first successful call.
	changedAt time.Time
	// sentAt is the time before the row's write was sent, if it was ours.
	sentAt time.Time
	// unresolved tells that the outcome of the last write is not known.
	unresolved bool
	// sent holds our writes whose outcome was unknown: any may still take
	// effect until the row has another revision than the one they compare with.
	sent map[string]time.Time
}

func (r *leaseRow) unknown() bool { return r.unresolved || r.changedAt.IsZero() }

// mine reports whether the row was last written by this process and is held.
func (r *leaseRow) mine() bool { return !r.sentAt.IsZero() && r.value.Holder == r.holder }

// free reports whether the row may be taken over: there is no holder, or the
// row has not changed for the given time.
func (r *leaseRow) free(after time.Duration) bool {
	return r.value.Holder == "" || time.Since(r.changedAt) >= after
}

func (r *leaseRow) renewed() leaseValue {
	v := r.value
	v.Renewals++
	return v
}

func (r *leaseRow) takenOver() leaseValue {
	return leaseValue{Holder: r.holder, Fencing: r.value.Fencing + 1}
}

func (r *leaseRow) released() leaseValue {
	v := r.value
	v.Holder = ""
	return v
}

// read brings the row up to date and resolves an unknown outcome.
func (r *leaseRow) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	row, err := r.table.Get(ctx, LeaseKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return eris.Wrap(err, "read lease")
	}
	r.unresolved = false
	return r.see(row)
}

// see records a row. Its time is taken after the call: a successor may count
// only from a time at which the holder's write was surely sent.
func (r *leaseRow) see(row platform.Row) error {
	now := time.Now()
	if !r.changedAt.IsZero() && row.Revision == r.revision {
		return nil
	}
	// A row that was deleted keeps its last value here: the fencing number must
	// not go back, and its holder may still act.
	v := r.value
	if row.Revision != 0 {
		v = leaseValue{}
		if err := json.Unmarshal(row.Value, &v); err != nil {
			return eris.Wrap(err, "decode lease")
		}
	}
	r.value, r.revision, r.changedAt = v, row.Revision, now
	// Our pending writes compared with the former revision and can no longer
	// take effect, but the row may be one of them.
	r.sentAt = r.sent[v.Nonce]
	r.sent = nil
	return nil
}

// write replaces the row if it is unchanged. An unknown outcome is resolved by
// reading the row back and comparing the nonce.
func (r *leaseRow) write(ctx context.Context, v leaseValue) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	v.Nonce = ulid.Make().String()
	raw, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "encode lease")
	}
	if r.sent == nil {
		r.sent = map[string]time.Time{}
	}
	r.sent[v.Nonce] = time.Now()
	results, err := r.table.Txn(ctx, []platform.CondPut{{Key: LeaseKey, Value: raw, IfRevision: r.revision}})
	if err == nil {
		return r.see(results[0].Row)
	}
	if errors.Is(err, platform.ErrNotApplied) {
		delete(r.sent, v.Nonce)
		return eris.Wrap(err, "write lease")
	}
	r.unresolved = true
	if readErr := r.read(context.WithoutCancel(ctx)); readErr != nil {
		return eris.Wrap(errors.Join(err, readErr), "write lease")
	}
	if _, pending := r.sent[v.Nonce]; pending {
		return eris.Wrap(err, "write lease")
	}
	return nil
}
