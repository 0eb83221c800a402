// Package platform provides clients for the platform's services: transactional table, object
// store, weight store and host list. Each client is in one file, so that support for another wire
// protocol needs one new file.
package platform

import "errors"

// ErrNotFound is returned if a key or object doesn't exist.
var ErrNotFound = errors.New("platform: not found")

// ErrExists is returned by a put of an object that already exists.
var ErrExists = errors.New("platform: object exists")

// Row is a row of the table.
type Row struct {
	Key   string
	Value []byte
	// Revision is the table's revision at the last write of this row. It is never 0 for a row
	// that exists.
	Revision int64
}

// CondPut is a conditional write: it takes effect only if the row's current revision is
// IfRevision.
type CondPut struct {
	Key   string
	Value []byte
	// IfRevision is the expected revision of the row; 0 means that the row must not exist.
	IfRevision int64
	// Delete is true if the row is to be deleted instead of written.
	Delete bool
}

// PutResult is the outcome of one CondPut.
type PutResult struct {
	Applied bool
	// Row is the row after the transaction: the written row if Applied is true, otherwise the
	// existing row whose revision didn't match. Its Revision is 0 if there is no row.
	Row Row
}

// HostState is the state of a host in the platform's list.
type HostState string

// The values of HostState.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostKind is the kind of server that runs on a host.
type HostKind string

// The values of HostKind.
const (
	KindEngine HostKind = "engine"
	KindApp    HostKind = "app"
)

// Host is one entry of the host list.
type Host struct {
	Name       string
	Kind       HostKind
	Address    string
	DataCentre string
	State      HostState
	// Service is the name of the service. It is set for application servers only.
	Service string
}
