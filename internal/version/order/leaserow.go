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
	// DataCentre is that of the holder.
	DataCentre string `json:"data_centre,omitempty"`
	// Claimant is a controller of the lease's own data centre that asks a holder
	// of another one to stop. A renewal by that holder then fails.
	Claimant string `json:"claimant,omitempty"`
	// Fencing grows by 1 with each take-over. The holder raises it when an
	// engine has accepted a higher one.
	Fencing int64 `json:"fencing"`
	// Nonce differs with each write, so that a writer recognises its own.
	Nonce    string `json:"nonce"`
	Renewals int64  `json:"renewals"`
	// retired marks the shared row of earlier versions as out of use.
	retired bool
}

// leaseRow is the row as last read or written. One goroutine uses it.
type leaseRow struct {
	table   Table
	key     string
	timeout time.Duration
	holder  string
	// home is the data centre of this controller.
	home string

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

// freeAt returns the time from which the row may be taken over if it does not
// change until then: the holder's time and extra have passed, or there is no
// holder and extra has passed.
func (r *leaseRow) freeAt(after, extra time.Duration) time.Time {
	if r.value.Holder == "" {
		after = 0
	}
	return r.changedAt.Add(after + extra)
}

// free reports whether the row may be taken over now.
func (r *leaseRow) free(after, extra time.Duration) bool {
	return !time.Now().Before(r.freeAt(after, extra))
}

// renewed returns the next value, with a fencing number above floor.
func (r *leaseRow) renewed(floor int64) leaseValue {
	v := r.value
	v.Renewals++
	if v.Fencing <= floor {
		v.Fencing = floor + 1
	}
	return v
}

// takenOver returns a value with a fencing number above the last one and floor.
func (r *leaseRow) takenOver(floor int64) leaseValue {
	return leaseValue{Holder: r.holder, DataCentre: r.home, Fencing: max(r.value.Fencing, floor) + 1}
}

func (r *leaseRow) claimed() leaseValue {
	v := r.value
	v.Claimant = r.holder
	return v
}

func (r *leaseRow) released() leaseValue {
	v := r.value
	v.Holder, v.DataCentre = "", ""
	return v
}

// read brings the row up to date and resolves an unknown outcome.
func (r *leaseRow) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	row, err := r.table.Get(ctx, r.key)
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
		var err error
		if v, err = decodeLease(row.Value); err != nil {
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
	raw, err := encodeLease(v)
	if err != nil {
		return eris.Wrap(err, "encode lease")
	}
	if r.sent == nil {
		r.sent = map[string]time.Time{}
	}
	r.sent[v.Nonce] = time.Now()
	results, err := r.table.Txn(ctx, []platform.CondPut{{Key: r.key, Value: raw, IfRevision: r.revision}})
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

// retiredLease is the value of the shared row after it went out of use.
type retiredLease struct {
	// Fencing is a text, so that versions that use the shared row can't decode
	// it and never take it over.
	Fencing string `json:"fencing"`
	// LastFencing is the number of the last holder.
	LastFencing int64  `json:"last_fencing"`
	Nonce       string `json:"nonce"`
}

const retiredFencing = "retired"

func encodeLease(v leaseValue) ([]byte, error) {
	if v.retired {
		return json.Marshal(retiredLease{Fencing: retiredFencing, LastFencing: v.Fencing, Nonce: v.Nonce})
	}
	return json.Marshal(v)
}

func decodeLease(raw []byte) (leaseValue, error) {
	var old retiredLease
	if json.Unmarshal(raw, &old) == nil && old.Fencing == retiredFencing {
		return leaseValue{Fencing: old.LastFencing, Nonce: old.Nonce, retired: true}, nil
	}
	var v leaseValue
	err := json.Unmarshal(raw, &v)
	return v, err
}
