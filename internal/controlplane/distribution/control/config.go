package control

import (
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"fernvane/internal/cluster/mtls"
	"fernvane/internal/config/tomlfile"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/discovery/zookeeper"
)

const (
	maxUpstreams           = 16
	minTotalBytesPerSecond = 64 << 10
	minPeerBytesPerSecond  = 1 << 10
	maxBytesPerSecond      = 1 << 30
	minDiskBytes           = 256 << 10
	connectionsLimit       = 65536
	minDeletionRetention   = time.Minute
	maxFailbackDelay       = 24 * time.Hour
)

// Defaults of the file.
const (
	defaultTotalBytesPerSecond   = 8 << 20
	defaultNodeBytesPerSecond    = 16 << 10
	defaultControlBytesPerSecond = 4 << 20
	defaultConnections           = 8192
	defaultDeletionRetention     = 24 * time.Hour
	defaultFailbackDelay         = time.Minute
)

// Config is a control process's file.
type Config struct {
	Name                  string            `toml:"name"`
	Region                string            `toml:"region"`
	Zone                  string            `toml:"zone"`
	Listen                string            `toml:"listen"`
	Disk                  string            `toml:"disk"`       // file of what this process holds
	DiskBytes             int               `toml:"disk_bytes"` // largest size of it; 0 for any
	Upstreams             []string          `toml:"upstreams"`
	Follow                string            `toml:"follow"` // all upstreams, or one at a time
	TotalBytesPerSecond   int               `toml:"out_bytes"`
	NodeBytesPerSecond    int               `toml:"node_bytes"`
	ControlBytesPerSecond int               `toml:"control_bytes"`
	MaxConnections        int               `toml:"connections"`
	DeletionRetention     tomlfile.Duration `toml:"keep_deleted"`
	FailbackDelay         tomlfile.Duration `toml:"return_after"` // until an upstream preferred to the one followed is probed; 0: never
	Discovery             string            `toml:"discovery"`    // servers come from here
	Registry              string            `toml:"registry"`     // or from the registry that this file names
	Service               string            `toml:"service"`      // and are of this service
	TLSName               string            `toml:"tls_name"`     // that the upstreams' certificates are for
	Cert                  string            `toml:"cert"`
	Key                   string            `toml:"key"`
	CA                    string            `toml:"ca"`
	Plaintext             bool              `toml:"plaintext"` // without TLS, on loopback only

	ListenAddress     netip.AddrPort      `toml:"-"`
	UpstreamAddresses []netip.AddrPort    `toml:"-"`
	DiscoveryAddress  netip.AddrPort      `toml:"-"`
	Ensemble          *zookeeper.Config   `toml:"-"`
	Keys              *mtls.Keys          `toml:"-"` // nil: plaintext
	StoreLimits       distribution.Limits `toml:"-"` // zero: the defaults
}

// The two ways to follow several upstreams, in the file's words.
const (
	followAll = "all"
	followOne = "one"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Load reads the file. The error names each fault by file and line.
func Load(path string) (*Config, error) {
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	c := &Config{
		Follow:                followOne,
		TotalBytesPerSecond:   defaultTotalBytesPerSecond,
		NodeBytesPerSecond:    defaultNodeBytesPerSecond,
		ControlBytesPerSecond: defaultControlBytesPerSecond,
		MaxConnections:        defaultConnections,
		DeletionRetention:     tomlfile.Duration(defaultDeletionRetention),
		FailbackDelay:         tomlfile.Duration(defaultFailbackDelay),
	}
	f, err := tomlfile.Parse(path, text, c)
	if err != nil {
		return nil, err
	}
	c.checkNames(f)
	c.checkAddresses(f)
	c.checkDisk(f)
	c.checkBudgets(f)
	c.checkSource(f)
	return c, f.Err()
}

func (c *Config) checkNames(f *tomlfile.File) {
	if !namePattern.MatchString(c.Name) {
		f.Wrong("name", "name %q: letters, digits, dots, dashes and underscores, a letter or digit first, 64 at most", c.Name)
	}
	checkOptionalName(f, "region", c.Region)
	checkOptionalName(f, "zone", c.Zone)
	if c.Follow != followAll && c.Follow != followOne {
		f.Wrong("follow", "follow %q: all for roots, one for relays", c.Follow)
	}
}

func checkOptionalName(f *tomlfile.File, key, text string) {
	if text != "" && !namePattern.MatchString(text) {
		f.Wrong(key, "%s %q: letters, digits, dots, dashes and underscores, a letter or digit first, 64 at most", key, text)
	}
}

func (c *Config) checkAddresses(f *tomlfile.File) {
	var err error
	if c.ListenAddress, err = netip.ParseAddrPort(c.Listen); err != nil {
		f.Wrong("listen", "listen %q: an address and a port are wanted", c.Listen)
	}
	if len(c.Upstreams) > maxUpstreams {
		f.Wrong("upstreams", "%d upstreams: %d at most", len(c.Upstreams), maxUpstreams)
	}
	addresses := []netip.AddrPort{c.ListenAddress}
	for i, text := range c.Upstreams {
		address, err := netip.ParseAddrPort(text)
		switch {
		case err != nil:
			f.Wrong("upstreams."+strconv.Itoa(i), "upstream %q: an address and a port are wanted", text)
		case address == c.ListenAddress:
			f.Wrong("upstreams."+strconv.Itoa(i), "upstream %q is this process itself", text)
		}
		c.UpstreamAddresses = append(c.UpstreamAddresses, address)
	}
	if !c.Plaintext && c.TLSName == "" && len(c.Upstreams) > 0 {
		f.Wrong("tls_name", "tls_name says what the upstreams' certificates are for")
	}
	c.Keys = mtls.KeysFromConfig(f, mtls.Files{Cert: c.Cert, Key: c.Key, CA: c.CA}, c.Plaintext, append(addresses, c.UpstreamAddresses...))
}

func (c *Config) checkDisk(f *tomlfile.File) {
	if c.Disk == "" {
		f.Wrong("disk", "disk names no file")
	} else if st, err := os.Stat(filepath.Dir(c.Disk)); err != nil || !st.IsDir() {
		f.Wrong("disk", "disk %q is in no folder that is there", c.Disk)
	}
	if c.DiskBytes != 0 && c.DiskBytes < minDiskBytes {
		f.Wrong("disk_bytes", "disk_bytes %d: %d at least, or 0 for any size", c.DiskBytes, minDiskBytes)
	}
	if d := c.FailbackDelay.Std(); d < 0 || d > maxFailbackDelay {
		f.Wrong("return_after", "return_after %s: from 0s to %s", d, maxFailbackDelay)
	}
	if c.DeletionRetention.Std() < minDeletionRetention {
		f.Wrong("keep_deleted", "keep_deleted %s: %s at least, longer than any process is away", c.DeletionRetention.Std(), minDeletionRetention)
	}
}

func (c *Config) checkBudgets(f *tomlfile.File) {
	checkBytesPerSecond(f, "out_bytes", c.TotalBytesPerSecond, minTotalBytesPerSecond)
	checkBytesPerSecond(f, "node_bytes", c.NodeBytesPerSecond, minPeerBytesPerSecond)
	checkBytesPerSecond(f, "control_bytes", c.ControlBytesPerSecond, minPeerBytesPerSecond)
	if c.MaxConnections < 1 || c.MaxConnections > connectionsLimit {
		f.Wrong("connections", "connections %d: from 1 to %d", c.MaxConnections, connectionsLimit)
	}
}

func checkBytesPerSecond(f *tomlfile.File, key string, bytes, least int) {
	if bytes < least || bytes > maxBytesPerSecond {
		f.Wrong(key, "%s %d: from %d to %d a second", key, bytes, least, maxBytesPerSecond)
	}
}

func (c *Config) checkSource(f *tomlfile.File) {
	var err error
	switch {
	case c.Discovery != "" && c.Registry != "":
		f.Wrong("registry", "either discovery or a registry")
	case c.Registry != "":
		if c.Ensemble, err = zookeeper.Load(c.Registry); err != nil {
			f.Wrong("registry", "%v", err)
		}
	case c.Discovery != "":
		if c.DiscoveryAddress, err = netip.ParseAddrPort(c.Discovery); err != nil {
			f.Wrong("discovery", "discovery %q: an address and a port are wanted", c.Discovery)
		}
	case c.Service != "":
		f.Wrong("service", "service says whose servers discovery or a registry lists, and neither is named")
	}
	if c.hasSource() && (c.Service == "" || len(c.Service) > distribution.MaxNameBytes) {
		f.Wrong("service", "service %q: whose servers the source lists, %d bytes at most", c.Service, distribution.MaxNameBytes)
	}
}

// hasSource reports whether this process writes the servers of a source.
func (c *Config) hasSource() bool { return c.Discovery != "" || c.Registry != "" }

func (c *Config) budget() distribution.Budget {
	return distribution.Budget{
		TotalBytesPerSecond:   c.TotalBytesPerSecond,
		NodeBytesPerSecond:    c.NodeBytesPerSecond,
		ControlBytesPerSecond: c.ControlBytesPerSecond,
	}
}
