// Package membership maintains a gateway's view of the other gateways and of the
// backend servers. The view combines gossip, the platform's host list, load reports
// and failed calls.
package membership

import "time"

// Backend is a backend server in the view of this gateway.
type Backend struct {
	Name       string
	Address    string
	DataCentre string
	// Service is the service of an application server. It is empty for an engine.
	Service string
	// Accepting is false while the server is draining, leaving, evacuated or unreachable.
	Accepting bool
	// Evacuated is set while the data centre is evacuated.
	Evacuated bool
	// MaxStarts is the number of requests that may start on the server within a second, or 0 without a
	// bound. Servers that are cold have one.
	MaxStarts int
	// ColdWait is the time for which a cold server accepts nothing from this gateway, which has no right to send
	// to it. Stopped is set if it accepts nothing for another reason.
	ColdWait time.Duration
	Stopped  bool
}

// Gateway is another gateway.
type Gateway struct {
	Name       string
	DataCentre string
	// PeerAddress is the address of its net/rpc server.
	PeerAddress string
	// Incarnation increases with each start of the gateway.
	Incarnation int64
	// MilliCores is that of Host.
	MilliCores int
	Live       bool
}
