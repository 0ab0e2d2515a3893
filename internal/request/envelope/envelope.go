// Package envelope seals and opens the datagrams that balancers and agents
// send each other.
//
// A sealed datagram is the protobuf encoding of a wire.Envelope followed by a
// trailer: a one-byte key ID, a 12-byte nonce and a 16-byte tag. The tag is GMAC,
// that is, AES-GCM with the whole message as additional data: callers' payloads are
// protected by their own protocol, so the envelope only has to be authentic.
//
// # Usage
//
//	s := envelope.NewSealer(ring)
//	out, err := s.Seal(buf[:0], &env)
//
//	o := envelope.NewOpener(ring)
//	err := o.Open(&env, datagram) // env refers into datagram
//
// A Sealer may be shared by workers; an Opener belongs to one worker.
package envelope

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"sync/atomic"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/key"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	keySize   = 16
	nonceSize = 12
	saltSize  = 6
	tagSize   = 16
	// TrailerSize is the size of the trailer of a sealed datagram, in bytes.
	TrailerSize = 1 + nonceSize + tagSize
	// MaxVisited bounds the number of targets that a datagram visits in a walk.
	MaxVisited = 64
	keyPurpose = "envelope"
)

// Errors of this package.
var (
	ErrForged    = errs.New("envelope: not authenticated by a key of this deployment")
	ErrMalformed = errs.New("envelope: malformed")
	ErrTooLarge  = errs.New("envelope: larger than the path's MTU")
)

func newAEAD(k key.Key) cipher.AEAD {
	block, err := aes.NewCipher(k.Derive(keyPurpose, keySize))
	if err != nil {
		// keySize is a valid AES key size.
		panic(err)
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		panic(err)
	}
	return aead
}

// Sealer seals envelopes with the first key of a ring.
//
// A nonce consists of a 48-bit random salt, generated at start, and a 48-bit
// counter, so processes need no coordination. Using a nonce twice would reveal the
// authentication key to an eavesdropper; after a million process starts under one
// key the probability that two salts are equal is below 0.2 %, and keys are rotated
// long before that.
type Sealer struct {
	id      byte
	aead    cipher.AEAD
	salt    [saltSize]byte
	counter atomic.Uint64
	mtu     int
}

// NewSealer returns a sealer that produces datagrams of at most mtu bytes.
func NewSealer(ring key.Ring, mtu int) *Sealer {
	s := &Sealer{id: ring[0].ID, aead: newAEAD(ring[0]), mtu: mtu}
	_, _ = rand.Read(s.salt[:])
	return s
}

// Seal appends the sealed envelope to dst. It returns ErrTooLarge if the result
// would exceed the MTU: the flow's caller then finds a smaller size by its path MTU
// discovery.
func (s *Sealer) Seal(dst []byte, e *wire.Envelope) ([]byte, error) {
	start := len(dst)
	size := e.SizeVT()
	if size+TrailerSize > s.mtu {
		return dst, ErrTooLarge
	}
	dst = grow(dst, size+TrailerSize)
	if _, err := e.MarshalToSizedBufferVT(dst[start : start+size]); err != nil {
		return dst[:start], errs.Wrap(err)
	}
	signed := start + size + 1
	dst[signed-1] = s.id
	nonce := dst[signed : signed+nonceSize]
	s.putNonce(nonce)
	s.aead.Seal(dst[signed+nonceSize:signed+nonceSize], nonce, nil, dst[start:signed])
	return dst, nil
}

// SealAged seals an envelope that was marshalled and kept for a time, which is added to its
// age.
func (s *Sealer) SealAged(dst, marshalled []byte, kept clock.Millis) ([]byte, error) {
	var e wire.Envelope
	if err := e.UnmarshalVTUnsafe(marshalled); err != nil {
		return dst, errs.Wrap(err)
	}
	e.Age += uint32(kept)
	return s.Seal(dst, &e)
}

func (s *Sealer) putNonce(nonce []byte) {
	var count [8]byte
	binary.BigEndian.PutUint64(count[:], s.counter.Add(1))
	copy(nonce, s.salt[:])
	copy(nonce[saltSize:], count[8-(nonceSize-saltSize):])
}

func grow(b []byte, n int) []byte {
	if cap(b)-len(b) >= n {
		return b[:len(b)+n]
	}
	return append(b, make([]byte, n)...)
}

// Opener verifies and decodes envelopes sealed with any key of a ring.
type Opener struct {
	ids   []byte
	aeads []cipher.AEAD
}

// NewOpener returns an opener for the ring.
func NewOpener(ring key.Ring) *Opener {
	o := &Opener{}
	for _, k := range ring {
		o.ids = append(o.ids, k.ID)
		o.aeads = append(o.aeads, newAEAD(k))
	}
	return o
}

// Open verifies a sealed datagram and decodes it into e, which then refers into b.
// It retains the capacity of e.Visited, so reusing an envelope does not allocate.
func (o *Opener) Open(e *wire.Envelope, b []byte) error {
	signed := len(b) - nonceSize - tagSize
	if signed < 1 {
		return ErrMalformed
	}
	if !o.verify(b, signed) {
		return ErrForged
	}
	visited := e.Visited[:0]
	*e = wire.Envelope{Visited: visited}
	if err := e.UnmarshalVTUnsafe(b[:signed-1]); err != nil {
		return ErrMalformed
	}
	return validate(e)
}

func (o *Opener) verify(b []byte, signed int) bool {
	nonce := b[signed : signed+nonceSize]
	tag := b[signed+nonceSize:]
	for i, id := range o.ids {
		if id != b[signed-1] {
			continue
		}
		if _, err := o.aeads[i].Open(nil, nonce, tag, b[:signed]); err == nil {
			return true
		}
	}
	return false
}

// validate rejects envelopes that no process of this version sends, so that callers
// can rely on the lengths of fields.
func validate(e *wire.Envelope) error {
	if len(e.Visited) > MaxVisited {
		return ErrMalformed
	}
	switch e.Kind {
	case wire.Kind_KIND_LEAVE:
		return nil
	case wire.Kind_KIND_BEAT, wire.Kind_KIND_ACK:
		if e.Beat == nil {
			return ErrMalformed
		}
		return nil
	case wire.Kind_KIND_DIGEST:
		if e.Digest == nil {
			return ErrMalformed
		}
		return nil
	}
	if len(e.Caller) != 6 && len(e.Caller) != 18 {
		return ErrMalformed
	}
	return nil
}
