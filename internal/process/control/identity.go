package control

import (
	"bytes"
	"crypto/ed25519"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/pkg/key"
)

// keyPurpose separates the control identity from other uses of the key.
const keyPurpose = "control"

// certValidity is how long a process's certificate is valid. It is created at each
// start, and peers check its key, not its dates: VM clocks differ.
const certValidity = 10 * 365 * 24 * time.Hour

// identity derives the key pair of the deployment's control connections. Its
// possession proves possession of the deployment key.
func identity(k key.Key) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(k.Derive(keyPurpose, ed25519.SeedSize))
}

func certificate(k key.Key) (tls.Certificate, error) {
	private := identity(k)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "wagtailtray"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Now().Add(certValidity),
	}
	der, err := x509.CreateCertificate(nil, template, template, private.Public(), private)
	if err != nil {
		return tls.Certificate{}, errs.Wrap(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// tlsConfig returns the TLS configuration of both sides: each presents the
// certificate of the first key and accepts that of any key of the ring.
func tlsConfig(ring key.Ring) (*tls.Config, error) {
	cert, err := certificate(ring[0])
	if err != nil {
		return nil, err
	}
	accepted := make([]ed25519.PublicKey, 0, len(ring))
	for _, k := range ring {
		accepted = append(accepted, identity(k).Public().(ed25519.PublicKey))
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAnyClientCert,
		// There are no host names or CAs to verify: VerifyConnection
		// checks that the peer holds a deployment key.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verify(s, accepted) },
	}, nil
}

func verify(s tls.ConnectionState, accepted []ed25519.PublicKey) error {
	if len(s.PeerCertificates) == 0 {
		return ErrUnknownKey
	}
	public, ok := s.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return ErrUnknownKey
	}
	for _, a := range accepted {
		if bytes.Equal(a, public) {
			return nil
		}
	}
	return ErrUnknownKey
}
