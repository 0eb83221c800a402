package ports

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against a port that is in two reservations, and against a port that an
// outgoing connection may use while its process is down. Both made gateways fail to
// start with "address already in use".
func TestReservationsAreDisjoint(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for range 20 {
		r, err := Reserve(blockSize + 6)
		is.NoErr(err)
		defer func() { is.NoErr(r.Release()) }()
		is.Equal(len(r.Addresses), blockSize+6)
		for _, a := range r.Addresses {
			is.True(!seen[a])
			seen[a] = true
			address, err := net.ResolveTCPAddr("tcp", a)
			is.NoErr(err)
			is.True(address.Port < 32768)
		}
	}
}

// Guards against a partial reservation, and against blocks that stay reserved after a
// failed one.
func TestReserveFailsWhole(t *testing.T) {
	is := is.New(t)
	_, err := Reserve(lastPort)
	is.True(err != nil)
	r, err := Reserve(10)
	is.NoErr(err)
	is.NoErr(r.Release())
}
