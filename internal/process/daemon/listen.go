package daemon

import (
	"errors"
	"net"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// receiveBuffer and sendBuffer bound what the kernel holds for a connection of a caller, in bytes; the kernel
	// doubles them for its own needs. Without them, each buffer grows to megabytes.
	receiveBuffer = 24 << 10
	sendBuffer    = 64 << 10
	// acceptQueue is the number of connections that wait to be accepted. Their receive buffers fill, too.
	acceptQueue = 128
)

// boundSocketMemory bounds what the kernel holds for the connections of a listener. Systems that can't keep their
// own sizes.
func boundSocketMemory(l net.Listener) {
	_ = withSocket(l, func(fd int) error {
		return errors.Join(
			unix.Listen(fd, acceptQueue),
			unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer),
			unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer),
		)
	})
}

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

// Descriptors returns how many descriptors the operating system lets the process open, or 0 if that is unknown or
// without bound.
func Descriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<30 {
		return 0
	}
	return int(limit.Cur)
}
