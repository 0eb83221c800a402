// Package etcdjson defines the messages of the published JSON mapping of etcd v3 that are used by
// package platform and the stand-in server. Keys and values are encoded as base64 and 64-bit integers
// as strings. Fields with zero values are omitted.
package etcdjson

// Paths of the calls.
const (
	PathRange = "/v3/kv/range"
	PathTxn   = "/v3/kv/txn"
)

// Header is part of every response.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one stored row.
type KeyValue struct {
	Key            []byte `json:"key"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
}

// RangeRequest reads the row of Key, or, if RangeEnd is set, the rows with keys from Key
// (inclusive) to RangeEnd (exclusive). A RangeEnd of one zero byte means no upper bound.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// Limit is the maximum number of rows; 0 means no limit.
	Limit int64 `json:"limit,string,omitempty"`
	// KeysOnly omits the values from the response.
	KeysOnly bool `json:"keys_only,omitempty"`
}

// RangeResponse contains rows in key order.
type RangeResponse struct {
	Header *Header    `json:"header,omitempty"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// PutRequest writes one row.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
}

// PutResponse is the response to a PutRequest. It contains only the header.
type PutResponse struct {
	Header *Header `json:"header,omitempty"`
}

// DeleteRangeRequest deletes one row or a range of rows, selected as in RangeRequest.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteRangeResponse contains the number of deleted rows.
type DeleteRangeResponse struct {
	Header  *Header `json:"header,omitempty"`
	Deleted int64   `json:"deleted,string,omitempty"`
}

// CompareResult is the relational operator of a Compare.
type CompareResult string

// The values of CompareResult. An omitted value means Equal.
const (
	Equal    CompareResult = "EQUAL"
	Greater  CompareResult = "GREATER"
	Less     CompareResult = "LESS"
	NotEqual CompareResult = "NOT_EQUAL"
)

// CompareTarget selects the revision that a Compare checks.
type CompareTarget string

// The values of CompareTarget that are used.
const (
	Create CompareTarget = "CREATE"
	Mod    CompareTarget = "MOD"
)

// Compare is one condition of a transaction. Both revisions of a key that doesn't exist are 0.
type Compare struct {
	Result         CompareResult `json:"result,omitempty"`
	Target         CompareTarget `json:"target"`
	Key            []byte        `json:"key"`
	CreateRevision int64         `json:"create_revision,string,omitempty"`
	ModRevision    int64         `json:"mod_revision,string,omitempty"`
}

// RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
	Txn         *TxnRequest         `json:"request_txn,omitempty"`
}

// ResponseOp is the response to the RequestOp at the same index.
type ResponseOp struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
	Txn         *TxnResponse         `json:"response_txn,omitempty"`
}

// TxnRequest runs the operations in Success if all conditions in Compare are met, otherwise those in
// Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse states which branch ran (Succeeded is true for Success) and contains the responses to
// its operations.
type TxnResponse struct {
	Header    *Header      `json:"header,omitempty"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// Status is the body of an error response.
type Status struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}
