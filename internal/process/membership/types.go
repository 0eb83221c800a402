// Package membership keeps what a gateway knows of other gateways and of
// backend servers, from gossip, the platform's host list, load reports and failures.
package membership

// Backend is a backend server as a gateway sees it.
type Backend struct {
	Name       string
	Address    string
	DataCentre string
	// Service is set for application servers.
	Service string
	// Accepting is false while the server is draining, leaving or unreachable.
	Accepting bool
}

// Gateway is another gateway.
type Gateway struct {
	Name       string
	DataCentre string
	// PeerAddress is the address of its net/rpc server.
	PeerAddress string
	// Incarnation grows with each start of the gateway.
	Incarnation int64
	Live        bool
}
