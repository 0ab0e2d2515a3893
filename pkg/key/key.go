// Package key implements the deployment key, the secret shared by all processes of
// a deployment.
//
// A Ring has one key that signs and up to one more that is accepted, so that a key
// can be rotated while all processes accept each other: first every process accepts
// the new key in addition to the old, then every process signs with the new one,
// then the old one is removed.
//
// # Usage
//
//	ring, err := key.Parse("6f1c...,a93b...") // the first one signs
//
// The deployment key is never used directly: each purpose derives its own key.
package key

import (
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/zeebo/errs"
)

// Size is the length of a deployment key in bytes.
const Size = 32

// maxKeys is how many keys a ring may have: the one that signs and the one being
// added or removed during a rotation.
const maxKeys = 2

// ErrInvalidKey is returned for a setting that is not a valid ring.
var ErrInvalidKey = errs.New("key: want one or two keys of 64 hexadecimal digits, separated by a comma")

// Key is one deployment key.
type Key struct {
	// ID identifies the key on the wire. It reveals nothing about the secret.
	ID     byte
	secret []byte
}

// Ring is the list of keys that a process accepts; the first one signs.
type Ring []Key

// Parse parses the setting of a ring.
func Parse(s string) (Ring, error) {
	parts := strings.Split(s, ",")
	if len(parts) > maxKeys {
		return nil, ErrInvalidKey
	}
	var ring Ring
	for _, part := range parts {
		secret, err := hex.DecodeString(strings.TrimSpace(part))
		if err != nil || len(secret) != Size {
			return nil, ErrInvalidKey
		}
		ring = append(ring, newKey(secret))
	}
	return ring, nil
}

// Generate returns a new random key in the format that Parse accepts.
func Generate() string {
	secret := make([]byte, Size)
	_, _ = rand.Read(secret)
	return hex.EncodeToString(secret)
}

func newKey(secret []byte) Key {
	k := Key{secret: secret}
	k.ID = k.Derive("identifier", 1)[0]
	return k
}

// Derive derives size bytes for one purpose, independent of those of other purposes.
func (k Key) Derive(purpose string, size int) []byte {
	out, err := hkdf.Key(sha256.New, k.secret, nil, "wagtailtray "+purpose, size)
	if err != nil {
		// hkdf.Key only fails for a size of more than 255 hashes; sizes are
		// small constants.
		panic(err)
	}
	return out
}
