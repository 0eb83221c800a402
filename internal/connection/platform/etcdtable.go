package platform

import (
	"context"
	"errors"
	"net/http"
	"time"

	"persimmonwing/internal/connection/platform/etcdjson"
)

// Values of Error.Step for calls of the table.
const (
	stepGet  = "table.get"
	stepList = "table.list"
	stepTxn  = "table.txn"
)

// MaxTxnRows is the maximum number of rows in one transaction. It is etcd's default limit of
// operations.
const MaxTxnRows = 128

var errResponseMismatch = errors.New("response does not match the request")

// Table is a client for a table service that implements etcd's JSON mapping. It is safe for
// concurrent use.
type Table struct{ caller caller }

// NewTable returns a client for the service at the base URL. Each call ends after timeout at the
// latest.
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

// List returns at most limit rows whose keys begin with prefix, in key order. A limit of 0 means no
// limit.
func (t *Table) List(ctx context.Context, prefix string, limit int) ([]Row, error) {
	req := etcdjson.RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Limit: int64(limit)}
	if prefix == "" {
		req.Key = []byte{0}
	}
	return t.list(ctx, req)
}

// Keys returns at most limit rows whose keys begin with prefix and are greater than after, in key
// order and without values.
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

// prefixEnd returns the first key after all keys with the prefix, as the end of a range. If there is
// no such key, it returns one zero byte, which means no upper bound.
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

// Txn applies, in one transaction, each operation whose condition is met. It returns a result for
// each operation in the same order. No key may occur twice.
func (t *Table) Txn(ctx context.Context, ops []CondPut) ([]PutResult, error) {
	if err := CheckTxn(ops); err != nil {
		return nil, NewError(stepTxn, t.caller.base, ErrNotApplied, err)
	}
	var req etcdjson.TxnRequest
	for _, op := range ops {
		req.Success = append(req.Success, etcdjson.RequestOp{Txn: nestedTxn(op)})
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

// CheckTxn returns an error if the table doesn't accept the operations in one transaction: the
// number of operations is not allowed or a key occurs twice.
func CheckTxn(ops []CondPut) error {
	if len(ops) == 0 || len(ops) > MaxTxnRows {
		return errors.New("platform: a transaction must have 1 to 128 rows")
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

// nestedTxn returns the nested transaction for one operation. The nesting makes its condition
// independent of those of the other operations.
func nestedTxn(op CondPut) *etcdjson.TxnRequest {
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
		return nil, errResponseMismatch
	}
	results := make([]PutResult, 0, len(ops))
	for i, op := range ops {
		inner := resp.Responses[i].Txn
		if inner == nil {
			return nil, errResponseMismatch
		}
		r, err := toResult(op, inner, resp.Header.Revision)
		if err != nil {
			return nil, err
		}
		results = append(results, r)
	}
	return results, nil
}

// toResult converts the response to one nested transaction. It sets the revision of a written row to
// that of the transaction, because all rows of a transaction get the same revision.
func toResult(op CondPut, inner *etcdjson.TxnResponse, revision int64) (PutResult, error) {
	none := Row{Key: op.Key}
	if inner.Succeeded {
		if op.Delete {
			return PutResult{Applied: true, Row: none}, nil
		}
		return PutResult{Applied: true, Row: Row{Key: op.Key, Value: op.Value, Revision: revision}}, nil
	}
	if len(inner.Responses) != 1 || inner.Responses[0].Range == nil {
		return PutResult{}, errResponseMismatch
	}
	if kvs := inner.Responses[0].Range.Kvs; len(kvs) > 0 {
		return PutResult{Row: toRow(kvs[0])}, nil
	}
	return PutResult{Row: none}, nil
}

func toRow(kv etcdjson.KeyValue) Row {
	return Row{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}
