package daemon

import (
	"net"

	"github.com/rotisserie/eris"
)

// Listen opens TCP listeners at all addresses. If one fails, it closes those already
// opened and returns an error.
func Listen(addresses ...string) ([]net.Listener, error) {
	var open []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			for _, o := range open {
				_ = o.Close()
			}
			return nil, eris.Wrapf(err, "listen at %s", a)
		}
		open = append(open, l)
	}
	return open, nil
}
