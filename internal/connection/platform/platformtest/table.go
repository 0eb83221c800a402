// Package platformtest provides an in-memory table with fault injection for tests.
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

// Fault is the fault that is injected into one call.
type Fault int

// The values of Fault.
const (
	// None applies the call and returns its result.
	None Fault = iota
	// Refuse doesn't apply the call and returns platform.ErrNotApplied.
	Refuse
	// LoseRequest doesn't apply the call and returns platform.ErrUnknownOutcome.
	LoseRequest
	// LoseAnswer applies the call and returns platform.ErrUnknownOutcome.
	LoseAnswer
	// LateEffect returns platform.ErrUnknownOutcome and applies the call later.
	LateEffect
)

// Plan is the fault and the delay of one call. With LateEffect, the error is returned immediately and
// the delay is the time until the call is applied.
type Plan struct {
	Fault Fault
	Delay time.Duration
}

var errInjected = errors.New("fault of the test")

// Table is an in-memory implementation of the table. The zero value is an empty table without faults.
type Table struct {
	// Next returns the Plan of the next call. It is called once for each call; nil means no
	// faults.
	Next func(write bool) Plan

	mu       sync.Mutex
	revision int64
	rows     map[string]platform.Row
	// txns and written are the numbers of applied transactions and of their operations.
	txns, written int
}

// Counts returns the number of applied transactions and the number of their operations.
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

// List returns at most limit rows whose keys begin with prefix, in key order. A limit of 0 means no
// limit.
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

// Keys returns at most limit rows whose keys begin with prefix and are greater than after, in key
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

// Txn applies each operation whose condition is met and returns a result for each, subject to the
// fault of the call.
func (t *Table) Txn(ctx context.Context, ops []platform.CondPut) ([]platform.PutResult, error) {
	const step = "table.txn"
	if err := platform.CheckTxn(ops); err != nil {
		return nil, callError(step, platform.ErrNotApplied, err)
	}
	p := t.plan(true)
	if p.Fault == LateEffect {
		time.AfterFunc(p.Delay, func() { t.apply(ops) })
		return nil, callError(step, platform.ErrUnknownOutcome, errInjected)
	}
	if err := pause.For(ctx, p.Delay); err != nil {
		return nil, callError(step, platform.ErrUnknownOutcome, err)
	}
	switch p.Fault {
	case Refuse:
		return nil, callError(step, platform.ErrNotApplied, errInjected)
	case LoseRequest:
		return nil, callError(step, platform.ErrUnknownOutcome, errInjected)
	case LoseAnswer:
		t.apply(ops)
		return nil, callError(step, platform.ErrUnknownOutcome, errInjected)
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
		return callError(step, platform.ErrNotApplied, err)
	}
	if p.Fault != None {
		return callError(step, platform.ErrNotApplied, errInjected)
	}
	return nil
}

// apply applies the operations as one transaction. It can check each condition directly before the
// write, because the keys are distinct.
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

func callError(step string, outcome, cause error) error {
	return platform.NewError(step, "platformtest", outcome, cause)
}
