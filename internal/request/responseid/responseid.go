// Package responseid encodes and decodes the ids that callers receive for their
// responses. An id refers to an engine stream and is authenticated and encrypted
// (AES-256-GCM): any gateway can resume or cancel a response without shared storage, and
// callers can neither forge an id nor read addresses from it.
package responseid

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Prefix is the prefix of every response id.
const Prefix = "resp_"

// MinSecretBytes is the minimum length of a key's secret in bytes.
const MinSecretBytes = 16

// maxIDBytes is the maximum length of an id in bytes; longer ids are invalid.
const maxIDBytes = 2048

// ErrInvalid is returned for an id that was not encoded with one of the keys.
var ErrInvalid = errors.New("response id is not valid")

// ErrExpired is returned for an authentic id after its expiry.
var ErrExpired = errors.New("response id has expired")

// Ref is the content of a response id: the engine stream and the request that it belongs
// to.
type Ref struct {
	DataCentre string    `json:"d"`
	Backend    string    `json:"b"`
	Address    string    `json:"a"`
	EngineID   string    `json:"i"`
	Workspace  string    `json:"w"`
	Entry      string    `json:"e"`
	RequestID  string    `json:"r"`
	Expires    time.Time `json:"x"`
}

// Key is a named secret shared by all gateways.
type Key struct {
	ID     string `yaml:"id"`
	Secret string `yaml:"secret"`
}

// Codec encodes ids with its first key and decodes ids of all its keys.
type Codec struct {
	first string
	aeads map[string]cipher.AEAD
}

// NewCodec returns a codec for the keys. The first key is used for encoding.
func NewCodec(keys []Key) (*Codec, error) {
	if len(keys) == 0 {
		return nil, errors.New("response_keys: at least one key is needed")
	}
	c := &Codec{first: keys[0].ID, aeads: make(map[string]cipher.AEAD, len(keys))}
	for _, k := range keys {
		if k.ID == "" || strings.Contains(k.ID, ".") || len(k.Secret) < MinSecretBytes {
			return nil, fmt.Errorf("response_keys: key %q needs an id without a dot and a secret of at least %d bytes", k.ID, MinSecretBytes)
		}
		if _, ok := c.aeads[k.ID]; ok {
			return nil, fmt.Errorf("response_keys: id %q stands twice", k.ID)
		}
		sum := sha256.Sum256([]byte(k.Secret))
		block, err := aes.NewCipher(sum[:])
		if err != nil {
			return nil, err
		}
		if c.aeads[k.ID], err = cipher.NewGCMWithRandomNonce(block); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// Encode returns the id that refers to r.
func (c *Codec) Encode(r Ref) (string, error) {
	plain, err := json.Marshal(r)
	if err != nil {
		return "", err
	}
	sealed := c.aeads[c.first].Seal(nil, nil, plain, []byte(c.first))
	return Prefix + c.first + "." + base64.RawURLEncoding.EncodeToString(sealed), nil
}

// Decode returns the content of an id. The error is ErrInvalid or ErrExpired.
func (c *Codec) Decode(id string, now time.Time) (Ref, error) {
	keyID, text, ok := strings.Cut(strings.TrimPrefix(id, Prefix), ".")
	aead := c.aeads[keyID]
	if !ok || aead == nil || !strings.HasPrefix(id, Prefix) || len(id) > maxIDBytes {
		return Ref{}, ErrInvalid
	}
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Ref{}, ErrInvalid
	}
	plain, err := aead.Open(nil, nil, sealed, []byte(keyID))
	if err != nil {
		return Ref{}, ErrInvalid
	}
	var r Ref
	if err := json.Unmarshal(plain, &r); err != nil {
		return Ref{}, ErrInvalid
	}
	if now.After(r.Expires) {
		return Ref{}, ErrExpired
	}
	return r, nil
}
