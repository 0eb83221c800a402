// Package ports reserves loopback ports for processes that are started, stopped and
// started again at the same address.
package ports

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	// firstPort and lastPort lie below 32768, where the ports begin that Linux gives
	// to outgoing connections; such a connection could take a port while its process
	// is down.
	firstPort = 16384
	lastPort  = 32767
	// blockSize is the number of ports of a block. The first is held open for as
	// long as the block is reserved, so that two reservations cannot share a block.
	blockSize = 64
)

// Reservation is a set of addresses that no other Reservation of this host has.
type Reservation struct {
	Addresses []string
	guards    []net.Listener
}

// Reserve reserves n loopback addresses.
func Reserve(n int) (*Reservation, error) {
	r := &Reservation{}
	for _, block := range rand.Perm((lastPort + 1 - firstPort) / blockSize) {
		if len(r.Addresses) >= n {
			break
		}
		first := firstPort + block*blockSize
		guard, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue // the block is taken
		}
		r.guards = append(r.guards, guard)
		for port := first + 1; port < first+blockSize && len(r.Addresses) < n; port++ {
			if l, err := net.Listen("tcp", loopback(port)); err == nil { // else another program has the port
				_ = l.Close()
				r.Addresses = append(r.Addresses, loopback(port))
			}
		}
	}
	if len(r.Addresses) < n {
		return nil, errors.Join(eris.Errorf("%d loopback ports are free, %d are needed", len(r.Addresses), n), r.Release())
	}
	return r, nil
}

// Release gives the addresses back.
func (r *Reservation) Release() error {
	var errs []error
	for _, g := range r.guards {
		errs = append(errs, g.Close())
	}
	return errors.Join(errs...)
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
