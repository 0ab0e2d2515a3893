package exchange

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"time"

	"github.com/zeebo/errs"
)

// ServerTLS returns a configuration with a new self-signed certificate.
func ServerTLS() (*tls.Config, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Unix(0, 0), NotAfter: time.Now().Add(24 * time.Hour),
	}
	der, err := x509.CreateCertificate(nil, template, template, public, private)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{Protocol},
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: private}},
	}, nil
}

// ClientTLS returns a configuration that accepts any certificate, because the tests
// cover the load balancer and not the identity of upstreams.
func ClientTLS() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{Protocol}, InsecureSkipVerify: true}
}
