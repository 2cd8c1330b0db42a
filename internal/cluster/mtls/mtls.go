// Package mtls gives both ends of a connection their TLS: each shows a certificate of one authority and takes no other.
// Nodes, planners and control processes use it between each other. Keys come from files, which are read again when they
// change; files of no use leave the old keys in force.
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

// reloadInterval is how often the files' times are looked at, when connections are made.
const reloadInterval = time.Second

// Files are where the keys are.
type Files struct {
	Cert string // this side's own
	Key  string // of Cert
	CA   string // the authority of both sides
}

// Keys are what the files hold. Its methods may be called by any goroutine.
type Keys struct {
	files Files

	mu          sync.Mutex
	cert        tls.Certificate
	pool        *x509.CertPool
	modTimes    fileTimes // when the keys were read
	lastCheck   time.Time
	reloadError error
}

// LoadKeys reads the files.
func LoadKeys(f Files) (*Keys, error) {
	k := &Keys{files: f}
	return k, k.load()
}

// read replaces the keys, unless a file is of no use.
func (k *Keys) load() error {
	modTimes, err := k.files.modTimes()
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return fmt.Errorf("%s, %s: %v", k.files.Cert, k.files.Key, err)
	}
	caPEM, err := os.ReadFile(k.files.CA)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return fmt.Errorf("%s: no certificate of an authority in it", k.files.CA)
	}
	k.cert = cert
	k.pool = pool
	k.modTimes = modTimes
	return nil
}

// fileTimes are when the files were last changed.
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

// current returns the keys in force, read again if the files have changed.
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

// ReloadError is what was wrong with the files when they had changed; nil if nothing was. Callers log it; package peer does
// not.
func (k *Keys) ReloadError() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reloadError
}

// ServerConn is the end that listens.
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

// ClientConn is the end that dials; name is what the other side's certificate must be for.
func (k *Keys) ClientConn(nc net.Conn, name string) *tls.Conn {
	cert, pool := k.current()
	return tls.Client(nc, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ServerName:   name,
	})
}

// ErrPlaintextNotLoopback says that a connection without TLS must stay on this machine.
var ErrPlaintextNotLoopback = errors.New("plaintext is for loopback addresses only: name cert, key and ca")

// CheckLoopback returns ErrPlaintextNotLoopback for an address that may not be used without TLS.
func CheckLoopback(address netip.AddrPort) error {
	if !address.Addr().IsLoopback() {
		return ErrPlaintextNotLoopback
	}
	return nil
}
