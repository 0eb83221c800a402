// Package ports reserves loopback ports for processes that are stopped and restarted
// at the same address.
package ports

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	// firstPort and lastPort are below 32768, the start of Linux's range of ephemeral
	// ports. An outgoing connection could otherwise use a port while its process is
	// down.
	firstPort = 16384
	lastPort  = 32767
	// blockSize is the number of ports in a block. A listener is open at the first one
	// while the block is reserved, so that two reservations can't share a block.
	blockSize = 64
)

// Reservation is a set of loopback addresses that no other Reservation on this host
// contains.
type Reservation struct {
	Addresses []string
	guards    []net.Listener
}

// Reserve reserves n loopback addresses, or returns an error if fewer are free.
func Reserve(n int) (*Reservation, error) {
	r := &Reservation{}
	for _, block := range rand.Perm((lastPort + 1 - firstPort) / blockSize) {
		if len(r.Addresses) >= n {
			break
		}
		first := firstPort + block*blockSize
		guard, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue // the block is already reserved
		}
		r.guards = append(r.guards, guard)
		for port := first + 1; port < first+blockSize && len(r.Addresses) < n; port++ {
			if l, err := net.Listen("tcp", loopback(port)); err == nil { // else another program uses the port
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

// Release ends the reservation.
func (r *Reservation) Release() error {
	var errs []error
	for _, g := range r.guards {
		errs = append(errs, g.Close())
	}
	return errors.Join(errs...)
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
