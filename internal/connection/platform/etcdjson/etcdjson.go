// Package etcdjson holds the messages of the published JSON mapping of etcd v3
// that the project uses. Keys and values are base64, 64-bit integers are
// strings, and fields with zero values are left out.
package etcdjson

// Paths of the calls.
const (
	PathRange = "/v3/kv/range"
	PathTxn   = "/v3/kv/txn"
)

// Header is part of every answer.
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

// RangeRequest reads one key, or the keys from Key up to RangeEnd, which is
// excluded. A RangeEnd of one zero byte means no upper bound.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// Limit is 0 for no limit.
	Limit int64 `json:"limit,string,omitempty"`
	// KeysOnly leaves out the values.
	KeysOnly bool `json:"keys_only,omitempty"`
}

// RangeResponse lists rows in key order.
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

// PutResponse is empty but for the header.
type PutResponse struct {
	Header *Header `json:"header,omitempty"`
}

// DeleteRangeRequest removes one key or a range as in RangeRequest.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteRangeResponse gives the number of removed rows.
type DeleteRangeResponse struct {
	Header  *Header `json:"header,omitempty"`
	Deleted int64   `json:"deleted,string,omitempty"`
}

// CompareResult is the relation that a Compare requires.
type CompareResult string

// The values of CompareResult. An absent one means Equal.
const (
	Equal    CompareResult = "EQUAL"
	Greater  CompareResult = "GREATER"
	Less     CompareResult = "LESS"
	NotEqual CompareResult = "NOT_EQUAL"
)

// CompareTarget is the revision that a Compare looks at.
type CompareTarget string

// The values of CompareTarget that the project uses.
const (
	Create CompareTarget = "CREATE"
	Mod    CompareTarget = "MOD"
)

// Compare is one condition; a key that does not exist has revisions of 0.
type Compare struct {
	Result         CompareResult `json:"result,omitempty"`
	Target         CompareTarget `json:"target"`
	Key            []byte        `json:"key"`
	CreateRevision int64         `json:"create_revision,string,omitempty"`
	ModRevision    int64         `json:"mod_revision,string,omitempty"`
}

// RequestOp has exactly one field set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
	Txn         *TxnRequest         `json:"request_txn,omitempty"`
}

// ResponseOp answers the RequestOp at the same place.
type ResponseOp struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
	Txn         *TxnResponse         `json:"response_txn,omitempty"`
}

// TxnRequest runs Success when all of Compare hold, else Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse tells which branch ran and the answers of its operations.
type TxnResponse struct {
	Header    *Header      `json:"header,omitempty"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// Status is the body of an error answer.
type Status struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}
