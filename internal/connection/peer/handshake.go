package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// nonceSize is the size of a nonce (the challenge) in bytes.
const nonceSize = 32

// handshakeTimeout is the maximum duration of a handshake on the server. It prevents an
// unauthenticated client that sends nothing from keeping a connection open.
const handshakeTimeout = 2 * time.Second

// The roles are part of the proofs. They prevent the proof of one side from being replayed as the
// proof of the other side.
const (
	roleClient = "persimmonwing peer client v2"
	roleServer = "persimmonwing peer server v2"
)

// ErrHandshake is returned if the other side doesn't know the shared secret.
var ErrHandshake = eris.New("peer handshake failed")

// proof returns the HMAC-SHA256 of the role and both nonces under the shared secret.
func proof(secret []byte, role string, serverNonce, clientNonce []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte(role))
	m.Write(serverNonce)
	m.Write(clientNonce)
	return m.Sum(nil)
}

// acceptHandshake performs the server's side of the handshake. It sends a nonce, verifies the
// client's proof and sends its own proof for the client's nonce.
// The client may know any of the secrets; the server's proof uses the same one.
func acceptHandshake(c net.Conn, secrets [][]byte) error {
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout))
	serverNonce := make([]byte, nonceSize)
	_, _ = rand.Read(serverNonce)
	if _, err := c.Write(serverNonce); err != nil {
		return eris.Wrap(err, "send challenge")
	}
	response := make([]byte, nonceSize+sha256.Size)
	if _, err := io.ReadFull(c, response); err != nil {
		return eris.Wrap(err, "read answer")
	}
	clientNonce := response[:nonceSize]
	known := slices.IndexFunc(secrets, func(secret []byte) bool {
		return hmac.Equal(response[nonceSize:], proof(secret, roleClient, serverNonce, clientNonce))
	})
	if known < 0 {
		return ErrHandshake
	}
	secret := secrets[known]
	if _, err := c.Write(proof(secret, roleServer, serverNonce, clientNonce)); err != nil {
		return eris.Wrap(err, "send proof")
	}
	return c.SetDeadline(time.Time{})
}

// dialHandshake performs the client's side of the handshake. It fails if the handshake has not
// finished by the deadline.
func dialHandshake(c net.Conn, secret []byte, deadline time.Time) error {
	_ = c.SetDeadline(deadline)
	serverNonce := make([]byte, nonceSize)
	if _, err := io.ReadFull(c, serverNonce); err != nil {
		return eris.Wrap(err, "read challenge")
	}
	clientNonce := make([]byte, nonceSize)
	_, _ = rand.Read(clientNonce)
	response := append(clientNonce, proof(secret, roleClient, serverNonce, clientNonce)...)
	if _, err := c.Write(response); err != nil {
		return eris.Wrap(err, "send answer")
	}
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, got); err != nil {
		return eris.Wrap(err, "read proof")
	}
	if !hmac.Equal(got, proof(secret, roleServer, serverNonce, clientNonce)) {
		return ErrHandshake
	}
	return c.SetDeadline(time.Time{})
}
