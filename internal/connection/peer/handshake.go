package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// nonceSize is the size of a challenge in bytes.
const nonceSize = 32

// handshakeTimeout bounds the handshake, so that a stranger who sends nothing
// does not keep a connection open.
const handshakeTimeout = 2 * time.Second

// The roles keep an answer of one side from being replayed as that of the other.
const (
	roleClient = "persimmonwing peer client v2"
	roleServer = "persimmonwing peer server v2"
)

// ErrHandshake is returned when the other side does not know the shared secret.
var ErrHandshake = eris.New("peer handshake failed")

// proof authenticates both challenges under the shared secret.
func proof(secret []byte, role string, server, client []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte(role))
	m.Write(server)
	m.Write(client)
	return m.Sum(nil)
}

// acceptHandshake is the server's side: it sends a challenge, checks the
// client's proof and answers the client's challenge.
func acceptHandshake(c net.Conn, secret []byte) error {
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout))
	server := make([]byte, nonceSize)
	_, _ = rand.Read(server)
	if _, err := c.Write(server); err != nil {
		return eris.Wrap(err, "send challenge")
	}
	answer := make([]byte, nonceSize+sha256.Size)
	if _, err := io.ReadFull(c, answer); err != nil {
		return eris.Wrap(err, "read answer")
	}
	client := answer[:nonceSize]
	if !hmac.Equal(answer[nonceSize:], proof(secret, roleClient, server, client)) {
		return ErrHandshake
	}
	if _, err := c.Write(proof(secret, roleServer, server, client)); err != nil {
		return eris.Wrap(err, "send proof")
	}
	return c.SetDeadline(time.Time{})
}

// dialHandshake is the client's side of acceptHandshake.
func dialHandshake(c net.Conn, secret []byte, deadline time.Time) error {
	_ = c.SetDeadline(deadline)
	server := make([]byte, nonceSize)
	if _, err := io.ReadFull(c, server); err != nil {
		return eris.Wrap(err, "read challenge")
	}
	client := make([]byte, nonceSize)
	_, _ = rand.Read(client)
	answer := append(client, proof(secret, roleClient, server, client)...)
	if _, err := c.Write(answer); err != nil {
		return eris.Wrap(err, "send answer")
	}
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, got); err != nil {
		return eris.Wrap(err, "read proof")
	}
	if !hmac.Equal(got, proof(secret, roleServer, server, client)) {
		return ErrHandshake
	}
	return c.SetDeadline(time.Time{})
}
