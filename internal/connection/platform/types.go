// Package platform holds the clients of the platform's services: transactional
// table, object store, weight store and host list. Each client is one file, so
// that another wire protocol costs one new file.
package platform

import "errors"

// ErrNotFound is returned for a key or object that does not exist.
var ErrNotFound = errors.New("platform: not found")

// ErrExists is returned by a conditional put of an object that exists.
var ErrExists = errors.New("platform: object exists")

// Row is a row of the table.
type Row struct {
	Key   string
	Value []byte
	// Revision is the table's revision of the last write of this row; it is
	// never 0 for a row that exists.
	Revision int64
}

// CondPut writes a row if its current revision is IfRevision.
type CondPut struct {
	Key   string
	Value []byte
	// IfRevision is the expected revision; 0 means that the row must not exist.
	IfRevision int64
	// Delete removes the row instead of writing it.
	Delete bool
}

// PutResult is the outcome of one CondPut.
type PutResult struct {
	Applied bool
	// Row is the row after the transaction: the written one when Applied, else
	// the one that stood in the way (with Revision 0 if there is none).
	Row Row
}

// HostState is the state of a host in the platform's list.
type HostState string

// The values of HostState.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostKind tells what runs on a host.
type HostKind string

// The values of HostKind.
const (
	KindEngine HostKind = "engine"
	KindApp    HostKind = "app"
)

// Host is one row of the host list.
type Host struct {
	Name       string
	Kind       HostKind
	Address    string
	DataCentre string
	State      HostState
	// Service is set for application servers.
	Service string
}
