package platform

import (
	"context"
	"errors"
	"net/http"
	"time"

	"persimmonwing/internal/connection/platform/etcdjson"
)

// Steps of the table in errors.
const (
	stepGet  = "table.get"
	stepList = "table.list"
	stepTxn  = "table.txn"
)

// MaxTxnRows is the largest number of rows in one transaction: etcd's default
// limit of operations.
const MaxTxnRows = 128

var errShape = errors.New("answer does not match the request")

// Table is the client of a table service with etcd's JSON mapping. It is safe
// for concurrent use.
type Table struct{ caller caller }

// NewTable returns a client for the service at the base URL. Each call is
// bounded by timeout.
func NewTable(base string, c *http.Client, timeout time.Duration) *Table {
	return &Table{caller: newCaller(base, c, timeout)}
}

// Get returns the row of a key, or ErrNotFound.
func (t *Table) Get(ctx context.Context, key string) (Row, error) {
	req := etcdjson.RangeRequest{Key: []byte(key)}
	var resp etcdjson.RangeResponse
	if err := t.caller.doJSON(ctx, call{step: stepGet, path: etcdjson.PathRange}, req, &resp); err != nil {
		return Row{}, err
	}
	if len(resp.Kvs) == 0 {
		return Row{}, ErrNotFound
	}
	return toRow(resp.Kvs[0]), nil
}

// List returns at most limit rows whose keys begin with prefix, in key order;
// a limit of 0 returns all of them.
func (t *Table) List(ctx context.Context, prefix string, limit int) ([]Row, error) {
	req := etcdjson.RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Limit: int64(limit)}
	if prefix == "" {
		req.Key = []byte{0}
	}
	return t.list(ctx, req)
}

// Keys returns rows without values, in key order: at most limit of those whose
// keys begin with prefix and come after the key after.
func (t *Table) Keys(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	first := max(prefix, after+"\x00")
	return t.list(ctx, etcdjson.RangeRequest{Key: []byte(first), RangeEnd: prefixEnd(prefix), Limit: int64(limit), KeysOnly: true})
}

func (t *Table) list(ctx context.Context, req etcdjson.RangeRequest) ([]Row, error) {
	var resp etcdjson.RangeResponse
	if err := t.caller.doJSON(ctx, call{step: stepList, path: etcdjson.PathRange}, req, &resp); err != nil {
		return nil, err
	}
	rows := make([]Row, 0, len(resp.Kvs))
	for _, kv := range resp.Kvs {
		rows = append(rows, toRow(kv))
	}
	return rows, nil
}

// prefixEnd is the first key after all keys with the prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// Txn applies each operation whose condition holds, in one transaction, and
// returns a result for each in the same order. No key may occur twice.
func (t *Table) Txn(ctx context.Context, ops []CondPut) ([]PutResult, error) {
	if err := CheckTxn(ops); err != nil {
		return nil, NewError(stepTxn, t.caller.base, ErrNotApplied, err)
	}
	var req etcdjson.TxnRequest
	for _, op := range ops {
		req.Success = append(req.Success, etcdjson.RequestOp{Txn: nested(op)})
	}
	var resp etcdjson.TxnResponse
	if err := t.caller.doJSON(ctx, call{step: stepTxn, path: etcdjson.PathTxn, write: true}, req, &resp); err != nil {
		return nil, err
	}
	results, err := toResults(ops, &resp)
	if err != nil {
		return nil, NewError(stepTxn, t.caller.base, ErrUnknownOutcome, err)
	}
	return results, nil
}

// CheckTxn returns an error for operations that the table does not accept.
func CheckTxn(ops []CondPut) error {
	if len(ops) == 0 || len(ops) > MaxTxnRows {
		return errors.New("platform: a transaction has 1 to 128 rows")
	}
	seen := make(map[string]bool, len(ops))
	for _, op := range ops {
		if seen[op.Key] {
			return ErrDuplicateKey
		}
		seen[op.Key] = true
	}
	return nil
}

// nested is the inner transaction of one operation, which makes its condition
// independent of the other operations.
func nested(op CondPut) *etcdjson.TxnRequest {
	key := []byte(op.Key)
	compare := etcdjson.Compare{Result: etcdjson.Equal, Target: etcdjson.Mod, Key: key, ModRevision: op.IfRevision}
	if op.IfRevision == 0 {
		compare = etcdjson.Compare{Result: etcdjson.Equal, Target: etcdjson.Create, Key: key}
	}
	write := etcdjson.RequestOp{Put: &etcdjson.PutRequest{Key: key, Value: op.Value}}
	if op.Delete {
		write = etcdjson.RequestOp{DeleteRange: &etcdjson.DeleteRangeRequest{Key: key}}
	}
	return &etcdjson.TxnRequest{
		Compare: []etcdjson.Compare{compare},
		Success: []etcdjson.RequestOp{write},
		Failure: []etcdjson.RequestOp{{Range: &etcdjson.RangeRequest{Key: key}}},
	}
}

func toResults(ops []CondPut, resp *etcdjson.TxnResponse) ([]PutResult, error) {
	if len(resp.Responses) != len(ops) || resp.Header == nil {
		return nil, errShape
	}
	results := make([]PutResult, 0, len(ops))
	for i, op := range ops {
		inner := resp.Responses[i].Txn
		if inner == nil {
			return nil, errShape
		}
		r, err := toResult(op, inner, resp.Header.Revision)
		if err != nil {
			return nil, err
		}
		results = append(results, r)
	}
	return results, nil
}

// toResult uses that all rows of a transaction get its revision.
func toResult(op CondPut, inner *etcdjson.TxnResponse, revision int64) (PutResult, error) {
	none := Row{Key: op.Key}
	if inner.Succeeded {
		if op.Delete {
			return PutResult{Applied: true, Row: none}, nil
		}
		return PutResult{Applied: true, Row: Row{Key: op.Key, Value: op.Value, Revision: revision}}, nil
	}
	if len(inner.Responses) != 1 || inner.Responses[0].Range == nil {
		return PutResult{}, errShape
	}
	if kvs := inner.Responses[0].Range.Kvs; len(kvs) > 0 {
		return PutResult{Row: toRow(kvs[0])}, nil
	}
	return PutResult{Row: none}, nil
}

func toRow(kv etcdjson.KeyValue) Row {
	return Row{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}
