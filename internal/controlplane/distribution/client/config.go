package client

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"fernvane/internal/cluster/mtls"
	"fernvane/internal/config/tomlfile"
	"fernvane/internal/controlplane/distribution"
)

const (
	maxControlProcesses  = 8
	maxServices          = 1000
	defaultStartTimeout  = 2 * time.Second
	maxStartTimeout      = time.Minute
	defaultFailbackDelay = time.Minute
	maxFailbackDelay     = 24 * time.Hour
)

// Config is an operator's file of the distribution, of a node or of a command.
type Config struct {
	Control       []string          `toml:"control"`      // addresses of control processes, the preferred one first
	Services      []string          `toml:"services"`     // that the node serves
	Region        string            `toml:"region"`       // of the node, for the status
	Zone          string            `toml:"zone"`         // likewise
	Directory     string            `toml:"directory"`    // that exists, for what the node holds
	StartTimeout  tomlfile.Duration `toml:"start_within"` // that a start waits to be current
	FailbackDelay tomlfile.Duration `toml:"return_after"` // until a control process preferred to the one followed is probed; 0: never
	TLSName       string            `toml:"tls_name"`     // that the control processes' certificates are for
	Cert          string            `toml:"cert"`
	Key           string            `toml:"key"`
	CA            string            `toml:"ca"`
	Plaintext     bool              `toml:"plaintext"` // without TLS, on loopback only

	Name        string              `toml:"-"` // of the node
	Addresses   []netip.AddrPort    `toml:"-"`
	Keys        *mtls.Keys          `toml:"-"` // nil: plaintext
	StoreLimits distribution.Limits `toml:"-"` // zero: the defaults
}

// Load reads the file of a node. The error names each fault by file and line.
func Load(path string) (*Config, error) {
	c, f, err := parse(path)
	if err != nil {
		return nil, err
	}
	if len(c.Services) == 0 || len(c.Services) > maxServices {
		f.Wrong("services", "%d services: from 1 to %d", len(c.Services), maxServices)
	}
	for i, name := range c.Services {
		switch {
		case name == "" || len(name) > distribution.MaxNameBytes:
			f.Wrong("services."+strconv.Itoa(i), "service %.40q: a name of 1 to %d bytes is wanted", name, distribution.MaxNameBytes)
		case slices.Contains(c.Services[:i], name):
			f.Wrong("services."+strconv.Itoa(i), "service %q is named twice", name)
		}
	}
	if st, err := os.Stat(c.Directory); c.Directory == "" || err != nil || !st.IsDir() {
		f.Wrong("directory", "directory %q is no folder that is there", c.Directory)
	}
	if d := c.StartTimeout.Std(); d < 0 || d > maxStartTimeout {
		f.Wrong("start_within", "start_within %s: from 0s to %s", d, maxStartTimeout)
	}
	if d := c.FailbackDelay.Std(); d < 0 || d > maxFailbackDelay {
		f.Wrong("return_after", "return_after %s: from 0s to %s", d, maxFailbackDelay)
	}
	return c, f.Err()
}

// LoadAccess reads as much of the file as a command needs: where control processes are, and the keys.
func LoadAccess(path string) (*Config, error) {
	c, f, err := parse(path)
	if err != nil {
		return nil, err
	}
	return c, f.Err()
}

func parse(path string) (*Config, *tomlfile.File, error) {
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, nil, err
	}
	c := &Config{StartTimeout: tomlfile.Duration(defaultStartTimeout), FailbackDelay: tomlfile.Duration(defaultFailbackDelay)}
	f, err := tomlfile.Parse(path, text, c)
	if err != nil {
		return nil, nil, err
	}
	if len(c.Control) == 0 || len(c.Control) > maxControlProcesses {
		f.Wrong("control", "%d control processes: from 1 to %d", len(c.Control), maxControlProcesses)
	}
	for i, address := range c.Control {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil || parsed.Port() == 0 {
			f.Wrong("control."+strconv.Itoa(i), "control process %q: an address and a port are wanted", address)
		}
		c.Addresses = append(c.Addresses, parsed)
	}
	if !c.Plaintext && c.TLSName == "" {
		f.Wrong("tls_name", "tls_name says what the control processes' certificates are for")
	}
	c.Keys = mtls.KeysFromConfig(f, mtls.Files{Cert: c.Cert, Key: c.Key, CA: c.CA}, c.Plaintext, c.Addresses)
	return c, f, nil
}

// scope returns the services that the node holds entries of: its own, and "", which is for every node.
func (c *Config) scope() []string { return append([]string{""}, c.Services...) }

// secure wraps a connection to a control process in TLS, if the file names keys. If changed keys could not be read, it returns
// both a connection with those read before and an error that is errKeysNotReloaded.
func (c *Config) secure(connection net.Conn) (net.Conn, error) {
	if c.Keys == nil {
		return connection, nil
	}
	secured := c.Keys.ClientConn(connection, c.TLSName)
	if err := c.Keys.ReloadError(); err != nil {
		return secured, errors.Join(errKeysNotReloaded, err)
	}
	return secured, nil
}

// errKeysNotReloaded says that changed keys could not be read; the connection is good all the same.
var errKeysNotReloaded = errors.New("keys not reloaded")
