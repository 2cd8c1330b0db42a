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

// Defaults of optional settings.
const (
	defaultTotalBytesPerSecond   = 8 << 20
	defaultNodeBytesPerSecond    = 16 << 10
	defaultControlBytesPerSecond = 4 << 20
	defaultConnections           = 8192
	defaultDeletionRetention     = 24 * time.Hour
	defaultFailbackDelay         = time.Minute
)

// Config contains the settings of a control process.
type Config struct {
	Name                  string            `toml:"name"`
	Region                string            `toml:"region"`
	Zone                  string            `toml:"zone"`
	Listen                string            `toml:"listen"`
	Disk                  string            `toml:"disk"`       // path of the file that stores the entries
	DiskBytes             int               `toml:"disk_bytes"` // maximum size of the file; 0 for no limit
	Upstreams             []string          `toml:"upstreams"`
	Follow                string            `toml:"follow"` // followAll or followOne
	TotalBytesPerSecond   int               `toml:"out_bytes"`
	NodeBytesPerSecond    int               `toml:"node_bytes"`
	ControlBytesPerSecond int               `toml:"control_bytes"`
	MaxConnections        int               `toml:"connections"`
	DeletionRetention     tomlfile.Duration `toml:"keep_deleted"`
	FailbackDelay         tomlfile.Duration `toml:"return_after"` // delay before a preferred upstream is probed; 0 disables failback
	Discovery             string            `toml:"discovery"`    // address of the discovery service that lists servers
	Registry              string            `toml:"registry"`     // path of the settings of the registry that lists servers
	Service               string            `toml:"service"`      // service of the listed servers
	TLSName               string            `toml:"tls_name"`     // server name in the upstreams' certificates
	Cert                  string            `toml:"cert"`
	Key                   string            `toml:"key"`
	CA                    string            `toml:"ca"`
	Plaintext             bool              `toml:"plaintext"` // without TLS, on loopback only

	ListenAddress     netip.AddrPort      `toml:"-"`
	UpstreamAddresses []netip.AddrPort    `toml:"-"`
	DiscoveryAddress  netip.AddrPort      `toml:"-"`
	Ensemble          *zookeeper.Config   `toml:"-"`
	Keys              *mtls.Keys          `toml:"-"` // nil for plaintext
	StoreLimits       distribution.Limits `toml:"-"` // zero for the defaults
}

// Values of Config.Follow.
const (
	followAll = "all" // follow all upstreams simultaneously
	followOne = "one" // follow one upstream at a time, in order of preference
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Load reads and validates a settings file. The error lists each fault with its file and line.
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
		f.AddFault("name", "name %q: must start with a letter or digit, and contain only letters, digits, dots, dashes and underscores, at most 64 characters", c.Name)
	}
	checkOptionalName(f, "region", c.Region)
	checkOptionalName(f, "zone", c.Zone)
	if c.Follow != followAll && c.Follow != followOne {
		f.AddFault("follow", "follow %q: want all (for roots) or one (for relays)", c.Follow)
	}
}

func checkOptionalName(f *tomlfile.File, key, text string) {
	if text != "" && !namePattern.MatchString(text) {
		f.AddFault(key, "%s %q: must start with a letter or digit, and contain only letters, digits, dots, dashes and underscores, at most 64 characters", key, text)
	}
}

func (c *Config) checkAddresses(f *tomlfile.File) {
	var err error
	if c.ListenAddress, err = netip.ParseAddrPort(c.Listen); err != nil {
		f.AddFault("listen", "listen %q: want an IP address and a port", c.Listen)
	}
	if len(c.Upstreams) > maxUpstreams {
		f.AddFault("upstreams", "%d upstreams, want at most %d", len(c.Upstreams), maxUpstreams)
	}
	addresses := []netip.AddrPort{c.ListenAddress}
	for i, text := range c.Upstreams {
		address, err := netip.ParseAddrPort(text)
		switch {
		case err != nil:
			f.AddFault("upstreams."+strconv.Itoa(i), "upstream %q: want an IP address and a port", text)
		case address == c.ListenAddress:
			f.AddFault("upstreams."+strconv.Itoa(i), "upstream %q: address of this process itself", text)
		}
		c.UpstreamAddresses = append(c.UpstreamAddresses, address)
	}
	if !c.Plaintext && c.TLSName == "" && len(c.Upstreams) > 0 {
		f.AddFault("tls_name", "tls_name is required with upstreams: server name in their certificates")
	}
	c.Keys = mtls.KeysFromConfig(f, mtls.Files{Cert: c.Cert, Key: c.Key, CA: c.CA}, c.Plaintext, append(addresses, c.UpstreamAddresses...))
}

func (c *Config) checkDisk(f *tomlfile.File) {
	if c.Disk == "" {
		f.AddFault("disk", "disk is required: path of the file that stores the entries")
	} else if st, err := os.Stat(filepath.Dir(c.Disk)); err != nil || !st.IsDir() {
		f.AddFault("disk", "disk %q: parent is not an existing directory", c.Disk)
	}
	if c.DiskBytes != 0 && c.DiskBytes < minDiskBytes {
		f.AddFault("disk_bytes", "disk_bytes %d: must be at least %d, or 0 for no limit", c.DiskBytes, minDiskBytes)
	}
	if d := c.FailbackDelay.Std(); d < 0 || d > maxFailbackDelay {
		f.AddFault("return_after", "return_after %s: must be from 0s to %s", d, maxFailbackDelay)
	}
	if c.DeletionRetention.Std() < minDeletionRetention {
		f.AddFault("keep_deleted", "keep_deleted %s: must be at least %s, and exceed the longest disconnection of any process", c.DeletionRetention.Std(), minDeletionRetention)
	}
}

func (c *Config) checkBudgets(f *tomlfile.File) {
	checkBytesPerSecond(f, "out_bytes", c.TotalBytesPerSecond, minTotalBytesPerSecond)
	checkBytesPerSecond(f, "node_bytes", c.NodeBytesPerSecond, minPeerBytesPerSecond)
	checkBytesPerSecond(f, "control_bytes", c.ControlBytesPerSecond, minPeerBytesPerSecond)
	if c.MaxConnections < 1 || c.MaxConnections > connectionsLimit {
		f.AddFault("connections", "connections %d: must be from 1 to %d", c.MaxConnections, connectionsLimit)
	}
}

func checkBytesPerSecond(f *tomlfile.File, key string, bytes, least int) {
	if bytes < least || bytes > maxBytesPerSecond {
		f.AddFault(key, "%s %d: must be from %d to %d bytes per second", key, bytes, least, maxBytesPerSecond)
	}
}

func (c *Config) checkSource(f *tomlfile.File) {
	var err error
	switch {
	case c.Discovery != "" && c.Registry != "":
		f.AddFault("registry", "either discovery or registry may be set, not both")
	case c.Registry != "":
		if c.Ensemble, err = zookeeper.Load(c.Registry); err != nil {
			f.AddFault("registry", "%v", err)
		}
	case c.Discovery != "":
		if c.DiscoveryAddress, err = netip.ParseAddrPort(c.Discovery); err != nil {
			f.AddFault("discovery", "discovery %q: want an IP address and a port", c.Discovery)
		}
	case c.Service != "":
		f.AddFault("service", "service requires discovery or registry")
	}
	if c.hasSource() && (c.Service == "" || len(c.Service) > distribution.MaxNameBytes) {
		f.AddFault("service", "service %q: required with discovery or registry, at most %d bytes", c.Service, distribution.MaxNameBytes)
	}
}

// hasSource reports whether this process writes the servers that discovery or a registry lists.
func (c *Config) hasSource() bool { return c.Discovery != "" || c.Registry != "" }

func (c *Config) budget() distribution.Budget {
	return distribution.Budget{
		TotalBytesPerSecond:   c.TotalBytesPerSecond,
		NodeBytesPerSecond:    c.NodeBytesPerSecond,
		ControlBytesPerSecond: c.ControlBytesPerSecond,
	}
}
