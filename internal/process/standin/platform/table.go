package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"

	"persimmonwing/internal/connection/platform/etcdjson"
	"persimmonwing/internal/process/standin/serve"
)

// maxTxnOps is etcd's default limit of operations in one branch of a
// transaction.
const maxTxnOps = 128

// codeInvalidArgument is the published gRPC status code for an invalid request.
const codeInvalidArgument = 3

var (
	errDuplicateKey  = errors.New("etcdserver: duplicate key given in txn request")
	errTooManyOps    = errors.New("etcdserver: too many operations in txn request")
	errUnsupportedOp = errors.New("etcdserver: operation or compare not supported")
)

// table stores rows with one revision number for the whole table, as etcd does.
type table struct {
	mu       sync.Mutex
	revision int64
	rows     map[string]etcdjson.KeyValue
}

// newTable returns an empty table. As in etcd, its first revision is 1.
func newTable() *table { return &table{revision: 1, rows: map[string]etcdjson.KeyValue{}} }

func (t *table) serveRange(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.RangeRequest
	if !readRequest(w, r, &req) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	resp := t.rangeRows(&req)
	resp.Header = &etcdjson.Header{Revision: t.revision}
	serve.WriteJSON(w, http.StatusOK, resp)
}

func (t *table) serveTxn(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.TxnRequest
	if !readRequest(w, r, &req) {
		return
	}
	if _, err := checkTxn(&req); err != nil {
		writeInvalid(w, err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, t.execute(&req))
}

func readRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		writeInvalid(w, err)
		return false
	}
	return true
}

func writeInvalid(w http.ResponseWriter, err error) {
	s := etcdjson.Status{Error: err.Error(), Code: codeInvalidArgument, Message: err.Error()}
	serve.WriteJSON(w, http.StatusBadRequest, s)
}

// rangeRows returns the rows of a range sorted by key. The caller must hold mu.
func (t *table) rangeRows(r *etcdjson.RangeRequest) *etcdjson.RangeResponse {
	keys := t.matchingKeys(r.Key, r.RangeEnd)
	resp := &etcdjson.RangeResponse{Count: int64(len(keys))}
	if r.Limit > 0 && int64(len(keys)) > r.Limit {
		keys = keys[:r.Limit]
		resp.More = true
	}
	for _, k := range keys {
		kv := t.rows[k]
		if r.KeysOnly {
			kv.Value = nil
		}
		resp.Kvs = append(resp.Kvs, kv)
	}
	return resp
}

func (t *table) matchingKeys(key, end []byte) []string {
	if len(end) == 0 {
		if _, ok := t.rows[string(key)]; ok {
			return []string{string(key)}
		}
		return nil
	}
	unbounded := bytes.Equal(end, []byte{0})
	var keys []string
	for k := range maps.Keys(t.rows) {
		if k >= string(key) && (unbounded || k < string(end)) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// execute applies a valid transaction. All rows that it writes get the same
// revision, and all compares are evaluated on the rows before the transaction.
// The caller must hold mu.
func (t *table) execute(r *etcdjson.TxnRequest) *etcdjson.TxnResponse {
	branches := map[*etcdjson.TxnRequest]bool{}
	t.evaluate(r, branches)
	next := t.revision + 1
	wrote := false
	resp := t.apply(r, branches, next, &wrote)
	if wrote {
		t.revision = next
	}
	resp.Header = &etcdjson.Header{Revision: t.revision}
	return resp
}

func (t *table) evaluate(r *etcdjson.TxnRequest, branches map[*etcdjson.TxnRequest]bool) {
	ok := true
	for _, c := range r.Compare {
		ok = ok && t.satisfied(c)
	}
	branches[r] = ok
	for _, op := range selectBranch(r, ok) {
		if op.Txn != nil {
			t.evaluate(op.Txn, branches)
		}
	}
}

func selectBranch(r *etcdjson.TxnRequest, ok bool) []etcdjson.RequestOp {
	if ok {
		return r.Success
	}
	return r.Failure
}

func (t *table) satisfied(c etcdjson.Compare) bool {
	kv := t.rows[string(c.Key)]
	have, want := kv.ModRevision, c.ModRevision
	if c.Target == etcdjson.Create {
		have, want = kv.CreateRevision, c.CreateRevision
	}
	switch c.Result {
	case etcdjson.Greater:
		return have > want
	case etcdjson.Less:
		return have < want
	case etcdjson.NotEqual:
		return have != want
	default:
		return have == want
	}
}

func (t *table) apply(r *etcdjson.TxnRequest, branches map[*etcdjson.TxnRequest]bool, rev int64, wrote *bool) *etcdjson.TxnResponse {
	resp := &etcdjson.TxnResponse{Succeeded: branches[r]}
	for _, op := range selectBranch(r, branches[r]) {
		var out etcdjson.ResponseOp
		switch {
		case op.Range != nil:
			out.Range = t.rangeRows(op.Range)
		case op.Put != nil:
			t.put(op.Put, rev)
			out.Put = &etcdjson.PutResponse{}
			*wrote = true
		case op.DeleteRange != nil:
			n := t.remove(op.DeleteRange)
			out.DeleteRange = &etcdjson.DeleteRangeResponse{Deleted: n}
			*wrote = *wrote || n > 0
		case op.Txn != nil:
			out.Txn = t.apply(op.Txn, branches, rev, wrote)
		}
		resp.Responses = append(resp.Responses, out)
	}
	return resp
}

func (t *table) put(p *etcdjson.PutRequest, rev int64) {
	kv, ok := t.rows[string(p.Key)]
	if !ok {
		kv = etcdjson.KeyValue{Key: p.Key, CreateRevision: rev}
	}
	kv.Value = p.Value
	kv.ModRevision = rev
	kv.Version++
	t.rows[string(p.Key)] = kv
}

func (t *table) remove(d *etcdjson.DeleteRangeRequest) int64 {
	keys := t.matchingKeys(d.Key, d.RangeEnd)
	for _, k := range keys {
		delete(t.rows, k)
	}
	return int64(len(keys))
}

// checkTxn returns the keys that r may write. Like etcd, it returns an error if
// two writes to one key may both run or if there are too many operations. It also
// does so for operations and compares that the table does not support.
func checkTxn(r *etcdjson.TxnRequest) (map[string]bool, error) {
	if max(len(r.Compare), len(r.Success), len(r.Failure)) > maxTxnOps {
		return nil, errTooManyOps
	}
	for _, c := range r.Compare {
		if c.Target != etcdjson.Create && c.Target != etcdjson.Mod {
			return nil, errUnsupportedOp
		}
	}
	written, err := checkBranch(r.Success)
	if err != nil {
		return nil, err
	}
	other, err := checkBranch(r.Failure)
	if err != nil {
		return nil, err
	}
	maps.Copy(written, other)
	return written, nil
}

func checkBranch(ops []etcdjson.RequestOp) (map[string]bool, error) {
	written := map[string]bool{}
	for _, op := range ops {
		keys, err := keysWrittenBy(op)
		if err != nil {
			return nil, err
		}
		for k := range keys {
			if written[k] {
				return nil, errDuplicateKey
			}
			written[k] = true
		}
	}
	return written, nil
}

// keysWrittenBy returns the keys that op may write. For a deletion it returns only
// the first key of the range, so that overlaps with the rest are not detected.
func keysWrittenBy(op etcdjson.RequestOp) (map[string]bool, error) {
	switch {
	case op.Put != nil:
		return map[string]bool{string(op.Put.Key): true}, nil
	case op.DeleteRange != nil:
		return map[string]bool{string(op.DeleteRange.Key): true}, nil
	case op.Txn != nil:
		return checkTxn(op.Txn)
	case op.Range != nil:
		return nil, nil
	default:
		return nil, errUnsupportedOp
	}
}
