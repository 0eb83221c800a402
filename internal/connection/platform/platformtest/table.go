// Package platformtest holds an in-memory table with faults for tests.
package platformtest

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/request/pause"
)

// Fault is what happens to one call.
type Fault int

// The values of Fault.
const (
	// None applies the call and answers.
	None Fault = iota
	// Refuse answers that the call was not applied.
	Refuse
	// LoseRequest has no effect and reports an unknown outcome.
	LoseRequest
	// LoseAnswer applies the call and reports an unknown outcome.
	LoseAnswer
	// LateEffect reports an unknown outcome and applies the call later.
	LateEffect
)

// Plan is the fault of one call and its delay. The delay of LateEffect is
// that of the effect; the report comes at once.
type Plan struct {
	Fault Fault
	Delay time.Duration
}

var errFault = errors.New("fault of the test")

// Table implements the table in memory. The zero value is ready for use.
type Table struct {
	// Next is asked once for each call; nil means no faults.
	Next func(write bool) Plan

	mu       sync.Mutex
	revision int64
	rows     map[string]platform.Row
	// Txns and Rows count the applied transactions and their operations.
	txns, written int
}

// Counts returns the number of transactions applied and of their operations.
func (t *Table) Counts() (txns, rows int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.txns, t.written
}

// Get returns the row of a key, or platform.ErrNotFound.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := t.read(ctx, "table.get"); err != nil {
		return platform.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

// List returns at most limit rows with the prefix in key order.
func (t *Table) List(ctx context.Context, prefix string, limit int) ([]platform.Row, error) {
	if err := t.read(ctx, "table.list"); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []platform.Row{}
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) && (limit == 0 || len(rows) < limit) {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

// Keys returns at most limit rows with the prefix after the key after, in key
// order and without values.
func (t *Table) Keys(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	all, err := t.List(ctx, prefix, 0)
	if err != nil {
		return nil, err
	}
	rows := []platform.Row{}
	for _, r := range all {
		if r.Key > after && len(rows) < limit {
			rows = append(rows, platform.Row{Key: r.Key, Revision: r.Revision})
		}
	}
	return rows, nil
}

// Txn applies each operation whose condition holds.
func (t *Table) Txn(ctx context.Context, ops []platform.CondPut) ([]platform.PutResult, error) {
	const step = "table.txn"
	if err := platform.CheckTxn(ops); err != nil {
		return nil, fail(step, platform.ErrNotApplied, err)
	}
	p := t.plan(true)
	if p.Fault == LateEffect {
		time.AfterFunc(p.Delay, func() { t.apply(ops) })
		return nil, fail(step, platform.ErrUnknownOutcome, errFault)
	}
	if err := pause.For(ctx, p.Delay); err != nil {
		return nil, fail(step, platform.ErrUnknownOutcome, err)
	}
	switch p.Fault {
	case Refuse:
		return nil, fail(step, platform.ErrNotApplied, errFault)
	case LoseRequest:
		return nil, fail(step, platform.ErrUnknownOutcome, errFault)
	case LoseAnswer:
		t.apply(ops)
		return nil, fail(step, platform.ErrUnknownOutcome, errFault)
	}
	return t.apply(ops), nil
}

func (t *Table) plan(write bool) Plan {
	if t.Next == nil {
		return Plan{}
	}
	return t.Next(write)
}

func (t *Table) read(ctx context.Context, step string) error {
	p := t.plan(false)
	if err := pause.For(ctx, p.Delay); err != nil {
		return fail(step, platform.ErrNotApplied, err)
	}
	if p.Fault != None {
		return fail(step, platform.ErrNotApplied, errFault)
	}
	return nil
}

// apply compares with the rows from before the transaction; keys are distinct.
func (t *Table) apply(ops []platform.CondPut) []platform.PutResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows == nil {
		t.rows = map[string]platform.Row{}
	}
	t.txns++
	t.written += len(ops)
	t.revision++
	results := make([]platform.PutResult, 0, len(ops))
	for _, op := range ops {
		results = append(results, t.applyOne(op))
	}
	return results
}

func (t *Table) applyOne(op platform.CondPut) platform.PutResult {
	row := t.rows[op.Key]
	row.Key = op.Key
	if row.Revision != op.IfRevision {
		return platform.PutResult{Row: row}
	}
	if op.Delete {
		delete(t.rows, op.Key)
		return platform.PutResult{Applied: true, Row: platform.Row{Key: op.Key}}
	}
	row = platform.Row{Key: op.Key, Value: slices.Clone(op.Value), Revision: t.revision}
	t.rows[op.Key] = row
	return platform.PutResult{Applied: true, Row: row}
}

func fail(step string, outcome, cause error) error {
	return platform.NewError(step, "platformtest", outcome, cause)
}
