// Package mtls implements mutual TLS between nodes, planners and control processes. Each side presents a certificate
// that is signed by a common authority, and rejects others. Keys are loaded from files and reloaded when the files
// change. If reloading fails, the previous keys remain in effect.
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

// reloadInterval is the minimum time between two checks of the files' modification times. Checks happen only when
// connections are established.
const reloadInterval = time.Second

// Files contains the paths of the PEM files.
type Files struct {
	Cert string // certificate of this side
	Key  string // private key of Cert
	CA   string // certificate of the authority that signs both sides' certificates
}

// Keys contains the keys that were loaded from Files. Its methods may be called from any goroutine.
type Keys struct {
	files Files

	mu          sync.Mutex
	cert        tls.Certificate
	pool        *x509.CertPool
	modTimes    fileTimes // of the files when the keys were loaded
	lastCheck   time.Time
	reloadError error
}

// LoadKeys loads the keys from the files.
func LoadKeys(f Files) (*Keys, error) {
	k := &Keys{files: f}
	return k, k.load()
}

// load replaces the keys, or leaves them unchanged if a file is invalid.
func (k *Keys) load() error {
	modTimes, err := k.files.modTimes()
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate %s with key %s: %v", k.files.Cert, k.files.Key, err)
	}
	caPEM, err := os.ReadFile(k.files.CA)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return fmt.Errorf("load CA file %s: no valid PEM certificate found", k.files.CA)
	}
	k.cert = cert
	k.pool = pool
	k.modTimes = modTimes
	return nil
}

// fileTimes contains the modification times of the files.
type fileTimes struct {
	cert time.Time
	key  time.Time
	ca   time.Time
}

func (f *Files) modTimes() (times fileTimes, err error) {
	if times.cert, err = modTime(f.Cert); err != nil {
		return times, err
	}
	if times.key, err = modTime(f.Key); err != nil {
		return times, err
	}
	times.ca, err = modTime(f.CA)
	return times, err
}

func modTime(path string) (time.Time, error) {
	st, err := os.Stat(path)
	if err != nil {
		return time.Time{}, err
	}
	return st.ModTime(), nil
}

// current returns the keys in effect, after reloading them if the files have changed.
func (k *Keys) current() (tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.lastCheck) > reloadInterval {
		k.lastCheck = time.Now()
		if modTimes, err := k.files.modTimes(); err != nil {
			k.reloadError = err
		} else if modTimes != k.modTimes {
			k.reloadError = k.load()
		}
	}
	return k.cert, k.pool
}

// ReloadError returns the error of the last reload, nil if it succeeded. Callers log it, except for package peer.
func (k *Keys) ReloadError() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reloadError
}

// ServerConn returns the TLS connection of the accepting side.
func (k *Keys) ServerConn(nc net.Conn) *tls.Conn {
	return tls.Server(nc, &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool := k.current()
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{cert},
			ClientCAs:    pool,
			ClientAuth:   tls.RequireAndVerifyClientCert,
		}, nil
	}})
}

// ClientConn returns the TLS connection of the dialing side. The server's certificate must be valid for name.
func (k *Keys) ClientConn(nc net.Conn, name string) *tls.Conn {
	cert, pool := k.current()
	return tls.Client(nc, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ServerName:   name,
	})
}

// ErrPlaintextNotLoopback means that an address without TLS is not a loopback address.
var ErrPlaintextNotLoopback = errors.New("plaintext allowed on loopback addresses only: set cert, key and ca")

// CheckLoopback returns ErrPlaintextNotLoopback unless the address is a loopback address, which needs no TLS.
func CheckLoopback(address netip.AddrPort) error {
	if !address.Addr().IsLoopback() {
		return ErrPlaintextNotLoopback
	}
	return nil
}
