package fault

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/request/api"
)

// addressedError is an error with an address that implements PublicError.
type addressedError struct{ cause error }

func (e addressedError) Error() string {
	return "put (peer http://platform.example:7400): " + e.cause.Error()
}
func (e addressedError) PublicMessage() string { return "put: not applied" }
func (e addressedError) Unwrap() error         { return e.cause }

// Guards against an error body that discloses an address or no longer states what
// happened, and against a log text from which the address is missing.
func TestMessageHasNoAddress(t *testing.T) {
	is := is.New(t)
	peer := &net.TCPAddr{IP: net.IPv4(10, 1, 2, 3), Port: 7001}
	op := func(name string, cause error) error {
		return &net.OpError{Op: name, Net: "tcp", Source: peer, Addr: peer, Err: cause}
	}
	refused := op("dial", os.NewSyscallError("connect", syscall.ECONNREFUSED))
	post := func(cause error) error {
		return &url.Error{Op: "Post", URL: "http://engine-7.example:7001/v1", Err: cause}
	}
	for _, c := range []struct {
		cause error
		want  string
	}{
		{refused, "dispatch at engine-1: connection refused"},
		{post(refused), "dispatch at engine-1: connection refused"},
		{post(op("dial", os.ErrDeadlineExceeded)), "dispatch at engine-1: timed out"},
		{post(context.DeadlineExceeded), "dispatch at engine-1: timed out"},
		{fmt.Errorf("wait: %w", context.DeadlineExceeded), "dispatch at engine-1: timed out"},
		{post(context.Canceled), "dispatch at engine-1: cancelled"},
		{post(io.ErrUnexpectedEOF), "dispatch at engine-1: connection closed"},
		{op("read", syscall.ECONNRESET), "dispatch at engine-1: connection reset by peer"},
		{post(&net.DNSError{Err: "no such host", Name: "engine-7.example"}), "dispatch at engine-1: host not found"},
		{post(errors.New("malformed HTTP response from 10.1.2.3:7001")), "dispatch at engine-1: malformed HTTP response from (address)"},
		{Wrap(errors.Join(errors.New("stalled"), post(refused)), EngineLost, "resume", "engine-1", api.Unknown), "dispatch at engine-1: connection refused"},
		{fmt.Errorf("group: %w", addressedError{post(refused)}), "dispatch at engine-1: put: not applied: connection refused"},
		{addressedError{errors.New("status 503")}, "dispatch at engine-1: put: not applied"},
		{errors.New("dial tcp [fd00::1]:7001: refused, then 10.1.2.3 and http://e.example:1/x"), "dispatch: dial tcp (address): refused, then (address) and (address)"},
		{errors.New("engine answered draining: until 12:30:00"), "dispatch: engine answered draining: until 12:30:00"},
	} {
		e := Wrap(c.cause, EngineLost, "dispatch", "engine-1", api.NotRun)
		is.Equal(e.Body("r").Error.Message, c.want)
		is.True(strings.Contains(e.Error(), c.cause.Error())) // the log text keeps addresses
	}
}
