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

// Config is an operator's file for the distribution client of a node or a command.
type Config struct {
	Control       []string          `toml:"control"`      // addresses of control processes, in order of preference
	Services      []string          `toml:"services"`     // services that the node serves
	Region        string            `toml:"region"`       // of the node, as reported in its status
	Zone          string            `toml:"zone"`         // of the node, as reported in its status
	Directory     string            `toml:"directory"`    // existing directory for the node's stored entries
	StartTimeout  tomlfile.Duration `toml:"start_within"` // maximum wait at startup for the node to be current
	FailbackDelay tomlfile.Duration `toml:"return_after"` // delay before probes of more preferred control processes; 0 disables failback
	TLSName       string            `toml:"tls_name"`     // name in the control processes' certificates
	Cert          string            `toml:"cert"`
	Key           string            `toml:"key"`
	CA            string            `toml:"ca"`
	Plaintext     bool              `toml:"plaintext"` // disables TLS; only for loopback addresses

	Name        string              `toml:"-"` // name of the node
	Addresses   []netip.AddrPort    `toml:"-"`
	Keys        *mtls.Keys          `toml:"-"` // nil for plaintext
	StoreLimits distribution.Limits `toml:"-"` // zero values select the defaults
}

// Load reads and validates the file of a node. The error lists each fault with its file and line.
func Load(path string) (*Config, error) {
	c, f, err := parse(path)
	if err != nil {
		return nil, err
	}
	if len(c.Services) == 0 || len(c.Services) > maxServices {
		f.AddFault("services", "%d services: want 1 to %d", len(c.Services), maxServices)
	}
	for i, name := range c.Services {
		switch {
		case name == "" || len(name) > distribution.MaxNameBytes:
			f.AddFault("services."+strconv.Itoa(i), "service %.40q: want a name of 1 to %d bytes", name, distribution.MaxNameBytes)
		case slices.Contains(c.Services[:i], name):
			f.AddFault("services."+strconv.Itoa(i), "service %q listed twice", name)
		}
	}
	if info, err := os.Stat(c.Directory); c.Directory == "" || err != nil || !info.IsDir() {
		f.AddFault("directory", "directory %q does not exist or is not a directory", c.Directory)
	}
	if d := c.StartTimeout.Std(); d < 0 || d > maxStartTimeout {
		f.AddFault("start_within", "start_within %s: want 0s to %s", d, maxStartTimeout)
	}
	if d := c.FailbackDelay.Std(); d < 0 || d > maxFailbackDelay {
		f.AddFault("return_after", "return_after %s: want 0s to %s", d, maxFailbackDelay)
	}
	return c, f.Err()
}

// LoadForCommand reads the file for a command. It validates only the settings for the connection to control processes.
func LoadForCommand(path string) (*Config, error) {
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
		f.AddFault("control", "%d control processes: want 1 to %d", len(c.Control), maxControlProcesses)
	}
	for i, address := range c.Control {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil || parsed.Port() == 0 {
			f.AddFault("control."+strconv.Itoa(i), "control process %q: want IP address and port", address)
		}
		c.Addresses = append(c.Addresses, parsed)
	}
	if !c.Plaintext && c.TLSName == "" {
		f.AddFault("tls_name", "tls_name is missing: want the name in the control processes' certificates")
	}
	c.Keys = mtls.KeysFromConfig(f, mtls.Files{Cert: c.Cert, Key: c.Key, CA: c.CA}, c.Plaintext, c.Addresses)
	return c, f, nil
}

// scope returns the services whose entries the node stores: its own, and "" for entries of every node.
func (c *Config) scope() []string { return append([]string{""}, c.Services...) }

// secure wraps a connection to a control process in TLS unless the file selects plaintext. If changed keys fail to load, it
// returns both a connection with the previous keys and an error that wraps errKeysNotReloaded.
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

// errKeysNotReloaded reports that changed keys failed to load. The connection with the previous keys is usable.
var errKeysNotReloaded = errors.New("keys not reloaded")
