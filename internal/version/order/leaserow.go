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

// leaseValue is the JSON value of a lease row.
type leaseValue struct {
	// Holder is empty after a release.
	Holder string `json:"holder"`
	// DataCentre is the data centre of the holder.
	DataCentre string `json:"data_centre,omitempty"`
	// Claimant is a controller of the lease's own data centre that claims the lease
	// from a holder of another data centre. The claim makes the next renewal of that
	// holder fail.
	Claimant string `json:"claimant,omitempty"`
	// Fencing increases by 1 with each takeover. The holder raises it if an engine has
	// accepted a higher number.
	Fencing int64 `json:"fencing"`
	// Nonce is different in each write, so that a writer recognizes its own writes.
	Nonce    string `json:"nonce"`
	Renewals int64  `json:"renewals"`
	// retired marks the shared row of earlier versions as no longer in use.
	retired bool
}

// leaseRow is a lease row as last read or written. Only one goroutine may use it.
type leaseRow struct {
	table   Table
	key     string
	timeout time.Duration
	holder  string
	// home is the data centre of this controller.
	home string

	value    leaseValue
	revision int64
	// changedAt is the time after the call that first returned this revision, or zero
	// before the first successful call.
	changedAt time.Time
	// sentAt is the time before the write of this revision was sent, or zero if this
	// process did not write it.
	sentAt time.Time
	// unresolved is set while the outcome of the last write is unknown.
	unresolved bool
	// pendingWrites maps the nonce of each of our writes whose outcome was unknown to
	// the time before it was sent. Such a write may still take effect until the
	// revision of the row differs from the one with which the write was compared.
	pendingWrites map[string]time.Time
}

func (r *leaseRow) unknown() bool { return r.unresolved || r.changedAt.IsZero() }

// heldBySelf reports whether this process was the last to write the row and is its
// holder.
func (r *leaseRow) heldBySelf() bool { return !r.sentAt.IsZero() && r.value.Holder == r.holder }

// freeAt returns the time from which the row may be taken over if it does not change
// before: ttl and extra after the last change, or extra alone if there is no holder.
func (r *leaseRow) freeAt(ttl, extra time.Duration) time.Time {
	if r.value.Holder == "" {
		ttl = 0
	}
	return r.changedAt.Add(ttl + extra)
}

// free reports whether the row may be taken over now.
func (r *leaseRow) free(ttl, extra time.Duration) bool {
	return !time.Now().Before(r.freeAt(ttl, extra))
}

// renewed returns the value of the next renewal, with a fencing number above floor.
func (r *leaseRow) renewed(floor int64) leaseValue {
	v := r.value
	v.Renewals++
	if v.Fencing <= floor {
		v.Fencing = floor + 1
	}
	return v
}

// takenOver returns the value of a takeover, with a fencing number above the last one
// and above floor.
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

// read updates the row from the table and resolves an unknown outcome.
func (r *leaseRow) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	row, err := r.table.Get(ctx, r.key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return eris.Wrap(err, "read lease")
	}
	r.unresolved = false
	return r.observe(row)
}

// observe records a row that a call returned. changedAt is a time after the call,
// because a successor may count only from a time at which the holder's write had
// certainly been sent.
func (r *leaseRow) observe(row platform.Row) error {
	now := time.Now()
	if !r.changedAt.IsZero() && row.Revision == r.revision {
		return nil
	}
	// If the row was deleted, its last value is kept, because the fencing number must
	// not decrease and the holder may still send orders.
	v := r.value
	if row.Revision != 0 {
		var err error
		if v, err = decodeLease(row.Value); err != nil {
			return eris.Wrap(err, "decode lease")
		}
	}
	r.value, r.revision, r.changedAt = v, row.Revision, now
	// Our pending writes were compared with the former revision and can no longer take
	// effect, but one of them may have written this row.
	r.sentAt = r.pendingWrites[v.Nonce]
	r.pendingWrites = nil
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
	if r.pendingWrites == nil {
		r.pendingWrites = map[string]time.Time{}
	}
	r.pendingWrites[v.Nonce] = time.Now()
	results, err := r.table.Txn(ctx, []platform.CondPut{{Key: r.key, Value: raw, IfRevision: r.revision}})
	if err == nil {
		return r.observe(results[0].Row)
	}
	if errors.Is(err, platform.ErrNotApplied) {
		delete(r.pendingWrites, v.Nonce)
		return eris.Wrap(err, "write lease")
	}
	r.unresolved = true
	if readErr := r.read(context.WithoutCancel(ctx)); readErr != nil {
		return eris.Wrap(errors.Join(err, readErr), "write lease")
	}
	if _, pending := r.pendingWrites[v.Nonce]; pending {
		return eris.Wrap(err, "write lease")
	}
	return nil
}

// retiredLease is the value of the shared row after it was retired.
type retiredLease struct {
	// Fencing is a string, so that versions that use the shared row cannot decode the
	// value and never take the row over.
	Fencing string `json:"fencing"`
	// LastFencing is the fencing number of the last holder.
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
