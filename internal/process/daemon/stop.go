package daemon

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// dropNewConnections is a socket filter in classic BPF: it drops the first packet of a new
// connection, which has the flag SYN without ACK, and passes all others.
var dropNewConnections = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: 13}, // flags of the TCP header
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: 0x12},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: 0x02, Jt: 0, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff},
}

// noInterface is the index of a network interface that does not exist.
const noInterface = 1 << 30

// RefuseNewConnections makes the kernel refuse new connections to a TCP listener, or ignore them, while
// those that it has established, and those whose handshake has begun, can still be accepted. A listener
// that is merely closed loses the ones that are established just before.
//
// A listener that is bound to an interface gets no packets of others, so that new callers are refused
// as if it were closed. Kernels that do not allow this may support a socket filter, with which callers
// repeat their first packet until the listener is closed.
func RefuseNewConnections(l net.Listener) error {
	return withSocket(l, func(fd int) error {
		bound := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
		if bound == nil {
			return nil
		}
		filtered := unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{
			Len: uint16(len(dropNewConnections)), Filter: &dropNewConnections[0],
		})
		if filtered == nil {
			return nil
		}
		return errors.Join(eris.Wrap(bound, "bind the listener to no interface"), eris.Wrap(filtered, "attach a socket filter"))
	})
}

// withSocket calls f with the descriptor of a listener's socket.
func withSocket(l net.Listener, f func(fd int) error) error {
	c, ok := l.(syscall.Conn)
	if !ok {
		return eris.Errorf("listener of type %T has no socket", l)
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return err
	}
	return failed
}

// CloseAfterQueue closes a listener and returns the connections that were in its queue. If a
// listener is merely closed, the kernel resets them, although their callers may have sent
// their requests already.
func CloseAfterQueue(l net.Listener) ([]net.Conn, error) {
	var queue []int
	err := withSocket(l, func(fd int) error {
		_ = unix.Listen(fd, 0) // shortens the queue; on an error it keeps its length
		for {
			c, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch {
			case errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED):
			case err != nil:
				return nil // usually EAGAIN: the queue is empty
			default:
				queue = append(queue, c)
			}
		}
	})
	err = errors.Join(err, l.Close())
	var out []net.Conn
	for _, fd := range queue {
		f := os.NewFile(uintptr(fd), "connection")
		c, connErr := net.FileConn(f)
		_ = f.Close() // FileConn has duplicated the descriptor
		if connErr != nil {
			err = errors.Join(err, connErr)
			continue
		}
		out = append(out, c)
	}
	return out, err
}

// Queue is a listener that returns given connections.
type Queue struct {
	address net.Addr
	conns   chan net.Conn
	// taken is closed when all connections have been accepted and passed on.
	taken  chan struct{}
	once   sync.Once
	closed chan struct{}
}

// NewQueue returns a listener that returns the connections and then blocks until it is closed.
func NewQueue(address net.Addr, conns []net.Conn) *Queue {
	q := &Queue{address: address, conns: make(chan net.Conn, len(conns)), taken: make(chan struct{}), closed: make(chan struct{})}
	for _, c := range conns {
		q.conns <- c
	}
	return q
}

// Accept implements net.Listener.
func (q *Queue) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	default:
	}
	q.once.Do(func() { close(q.taken) })
	<-q.closed
	return nil, net.ErrClosed
}

// Taken is closed when all connections have been accepted and the server waits for another.
func (q *Queue) Taken() <-chan struct{} { return q.taken }

// Close implements net.Listener. It must be called once.
func (q *Queue) Close() error {
	close(q.closed)
	return nil
}

// Addr implements net.Listener.
func (q *Queue) Addr() net.Addr { return q.address }

// CloseListener stops a server from accepting new connections through l. Connections that
// the kernel has established before are served; it returns how many there were.
func CloseListener(serve func(net.Listener) error, l net.Listener) (queued int, err error) {
	conns, err := CloseAfterQueue(l)
	q := NewQueue(l.Addr(), conns)
	go func() { _ = serve(q) }() // ends when the server shuts down, which closes q
	<-q.Taken()
	return len(conns), err
}
