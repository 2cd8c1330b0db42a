// Package certauthority is a stand-in for an operator's certificate authority. Tests and the testbed use it to write
// certificates and keys for processes on one machine.
package certauthority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Authority is a certificate authority with its key in memory.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	der  []byte
}

// New returns an authority with a new key and a self-signed certificate that is valid for a day.
func New(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	cert := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(24 * time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	return &Authority{cert, key, der}, err
}

// Write writes a certificate for a name that is valid until a given time, its key and the authority's own certificate into a
// folder, as NAME.crt, NAME.key and ca.crt, and returns their paths.
func (a *Authority) Write(dir, name string, until time.Time) (cert, key, ca string, err error) {
	leafKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", "", err
	}
	leaf := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: until, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, leaf, a.cert, &leafKey.PublicKey, a.key)
	if err != nil {
		return "", "", "", err
	}
	text, err := x509.MarshalECPrivateKey(leafKey)
	if err != nil {
		return "", "", "", err
	}
	cert, key, ca = filepath.Join(dir, name+".crt"), filepath.Join(dir, name+".key"), filepath.Join(dir, "ca.crt")
	for _, f := range []struct {
		path string
		kind string
		der  []byte
	}{{cert, "CERTIFICATE", der}, {key, "EC PRIVATE KEY", text}, {ca, "CERTIFICATE", a.der}} {
		if err := os.WriteFile(f.path, pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.der}), 0o600); err != nil {
			return "", "", "", err
		}
	}
	return cert, key, ca, nil
}
