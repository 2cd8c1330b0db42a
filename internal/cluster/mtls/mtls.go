// Package mtls gives both ends of a connection their TLS: each shows a certificate of one authority and takes none other.
// Keys come from files, which are read again when they change; files of no use leave the old keys in force.
package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

const lookEvery = time.Second // at the files

// Files are where the keys are.
type Files struct {
	Cert string // this side's own
	Key  string // of Cert
	CA   string // the authority of both sides
}

// Keys are what the files hold.
type Keys struct {
	files  Files
	mu     sync.Mutex
	cert   tls.Certificate
	pool   *x509.CertPool
	stamp  [3]time.Time
	looked time.Time
	fault  error // of the last try to read them again
}

// LoadKeys reads the files.
func LoadKeys(f Files) (*Keys, error) {
	k := &Keys{files: f}
	return k, k.read()
}

func (k *Keys) read() error {
	stamp, err := k.stamps()
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return fmt.Errorf("%s, %s: %v", k.files.Cert, k.files.Key, err)
	}
	text, err := os.ReadFile(k.files.CA)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return fmt.Errorf("%s: no certificate of an authority in it", k.files.CA)
	}
	k.cert, k.pool, k.stamp = cert, pool, stamp
	return nil
}

func (k *Keys) stamps() (stamp [3]time.Time, err error) {
	for i, path := range []string{k.files.Cert, k.files.Key, k.files.CA} {
		st, err := os.Stat(path)
		if err != nil {
			return stamp, err
		}
		stamp[i] = st.ModTime()
	}
	return stamp, nil
}

// now are the keys in force, read again if the files have changed.
func (k *Keys) now() (tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.looked) > lookEvery {
		k.looked = time.Now()
		if stamp, err := k.stamps(); err != nil {
			k.fault = err
		} else if stamp != k.stamp {
			k.fault = k.read()
		}
	}
	return k.cert, k.pool
}

// ReloadError is what was wrong with the files when they had changed; nil if nothing was.
func (k *Keys) ReloadError() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fault
}

// ServerConn is the end that listens.
func (k *Keys) ServerConn(nc net.Conn) *tls.Conn {
	return tls.Server(nc, &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool := k.now()
		return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, ClientCAs: pool,
			ClientAuth: tls.RequireAndVerifyClientCert}, nil
	}})
}

// ClientConn is the end that dials; name is what the other's certificate must be for.
func (k *Keys) ClientConn(nc net.Conn, name string) *tls.Conn {
	cert, pool := k.now()
	return tls.Client(nc, &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: pool, ServerName: name})
}

// ErrPlaintextNotLoopback says that a connection without TLS may only stay on this machine.
var ErrPlaintextNotLoopback = errors.New("plaintext is for loopback addresses only: name cert, key and ca")

// CheckLoopback checks that an address may be used without TLS.
func CheckLoopback(at netip.AddrPort) error {
	if !at.Addr().IsLoopback() {
		return ErrPlaintextNotLoopback
	}
	return nil
}
