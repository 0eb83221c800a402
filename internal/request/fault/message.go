package fault

import (
	"context"
	"errors"
	"io"
	"net"
	"net/url"
	"regexp"
	"syscall"
)

// PublicError is implemented by errors whose text contains an address and that also
// provide a text for callers without it.
type PublicError interface {
	error
	// PublicMessage returns the error text without addresses.
	PublicMessage() string
}

// address matches URLs, IPv4 addresses and bracketed IPv6 addresses, with their ports. It
// finds addresses in error texts of other processes, which have no error type here.
var address = regexp.MustCompile(`https?://[^\s"']+|\b\d{1,3}(?:\.\d{1,3}){3}(?::\d+)?\b|\[[0-9a-fA-F:.]*:[0-9a-fA-F:.%a-z]*\](?::\d+)?`)

// message returns the text of the cause for callers. It contains no addresses of backend
// servers or of the platform, which must not be disclosed to callers (D7).
func (e *Error) message() string {
	var public PublicError
	link := linkError(e.cause)
	text := ""
	switch known := errors.As(e.cause, &public); {
	case known && link != nil:
		text = public.PublicMessage() + ": " + linkReason(link)
	case known:
		text = public.PublicMessage()
	case link != nil:
		text = linkReason(link)
	default:
		return redactAddresses(e.cause.Error())
	}
	if e.Peer == "" {
		return redactAddresses(e.Step + ": " + text)
	}
	return redactAddresses(e.Step + " at " + e.Peer + ": " + text)
}

func redactAddresses(text string) string { return address.ReplaceAllString(text, "(address)") }

// linkError returns the first error in err's chain that comes from net or net/http and
// may contain an address. If there is none, it returns the context error of the chain, or
// nil.
func linkError(err error) error {
	var u *url.Error
	var op *net.OpError
	var dns *net.DNSError
	switch {
	case errors.As(err, &u):
		return u
	case errors.As(err, &op):
		return op
	case errors.As(err, &dns):
		return dns
	case errors.Is(err, context.DeadlineExceeded):
		return context.DeadlineExceeded
	case errors.Is(err, context.Canceled):
		return context.Canceled
	default:
		return nil
	}
}

// linkReason returns the reason for which a connection failed. For an unknown error, that
// is the text of the innermost error.
func linkReason(err error) string {
	var timeout net.Error
	var errno syscall.Errno
	var dns *net.DNSError
	switch {
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timed out"
	case errors.As(err, &errno):
		return errno.Error()
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed"
	case errors.As(err, &dns):
		return "host not found"
	}
	for inner := err; inner != nil; inner = errors.Unwrap(inner) {
		err = inner
	}
	return err.Error()
}
