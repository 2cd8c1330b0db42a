// Package planconfig loads and validates two configuration files: the planner list of a forwarder and the settings of a planner. The
// commands that start these processes call it.
package planconfig

import (
	"net/netip"
	"strconv"
	"time"

	"fernvane/internal/cluster/mtls"
	"fernvane/internal/config/tomlfile"
	"fernvane/internal/discovery/zookeeper"
)

const (
	maxPlanners     = 8
	minInterval     = 100 * time.Millisecond
	maxInterval     = 2 * time.Second
	defaultInterval = 500 * time.Millisecond
)

// TLS contains the TLS settings that both files share.
type TLS struct {
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
	CA        string `toml:"ca"`
	Plaintext bool   `toml:"plaintext"` // disables TLS; allowed on loopback addresses only
}

// Forwarder is the configuration file of a forwarder.
type Forwarder struct {
	Planners []string `toml:"planners"` // planner addresses, in the same order at all forwarders
	TLSName  string   `toml:"name"`     // expected name in the planners' certificates, not the name of the forwarder
	TLS

	Addresses []netip.AddrPort `toml:"-"`
	Keys      *mtls.Keys       `toml:"-"` // nil: plaintext
}

// Planner is the configuration file of a planner.
type Planner struct {
	Name      string            `toml:"name"` // name of the planner, sent in its hello frame and logged
	Listen    string            `toml:"listen"`
	Discovery string            `toml:"discovery"`
	Registry  string            `toml:"registry"` // path of a registry configuration file; replaces discovery
	Interval  tomlfile.Duration `toml:"every"`    // interval between two plans
	TLS

	ListenAddress    netip.AddrPort    `toml:"-"`
	DiscoveryAddress netip.AddrPort    `toml:"-"`
	Ensemble         *zookeeper.Config `toml:"-"` // nil: discovery provides the endpoint list
	Keys             *mtls.Keys        `toml:"-"` // nil: plaintext
}

// LoadForwarder loads the configuration file of a forwarder. The error lists all faults with file and line.
func LoadForwarder(path string) (*Forwarder, error) {
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	c := &Forwarder{}
	f, err := tomlfile.Parse(path, text, c)
	if err != nil {
		return nil, err
	}
	if len(c.Planners) == 0 || len(c.Planners) > maxPlanners {
		f.AddFault("planners", "got %d planners, want 1 to %d", len(c.Planners), maxPlanners)
	}
	for i, p := range c.Planners {
		address, err := netip.ParseAddrPort(p)
		if err != nil {
			f.AddFault("planners."+strconv.Itoa(i), "planner %q is invalid, want IP address and port", p)
		}
		c.Addresses = append(c.Addresses, address)
	}
	if !c.Plaintext && c.TLSName == "" {
		f.AddFault("name", "name missing, want name in the planners' certificates")
	}
	c.Keys = c.keys(f, c.Addresses)
	return c, f.Err()
}

// LoadPlanner loads the configuration file of a planner. The error lists all faults with file and line.
func LoadPlanner(path string) (*Planner, error) {
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	c := &Planner{Interval: tomlfile.Duration(defaultInterval)}
	f, err := tomlfile.Parse(path, text, c)
	if err != nil {
		return nil, err
	}
	if c.Name == "" {
		f.AddFault("name", "name missing, want name of this planner")
	}
	if c.ListenAddress, err = netip.ParseAddrPort(c.Listen); err != nil {
		f.AddFault("listen", "listen %q is invalid, want IP address and port", c.Listen)
	}
	if c.Registry != "" && c.Discovery != "" {
		f.AddFault("registry", "discovery and registry are both set, want only one")
	} else if c.Registry != "" {
		if c.Ensemble, err = zookeeper.Load(c.Registry); err != nil {
			f.AddFault("registry", "%v", err)
		}
	} else if c.DiscoveryAddress, err = netip.ParseAddrPort(c.Discovery); err != nil {
		f.AddFault("discovery", "discovery %q is invalid, want IP address and port", c.Discovery)
	}
	if c.Interval.Std() < minInterval || c.Interval.Std() > maxInterval {
		f.AddFault("every", "every %s is out of range, want %s to %s", c.Interval.Std(), minInterval, maxInterval)
	}
	c.Keys = c.keys(f, []netip.AddrPort{c.ListenAddress})
	return c, f.Err()
}

// keys loads the certificate and key files, or returns nil for plaintext. It records invalid files in f, and addresses that are not
// loopback addresses if plaintext is set.
func (t TLS) keys(f *tomlfile.File, addresses []netip.AddrPort) *mtls.Keys {
	return mtls.KeysFromConfig(f, mtls.Files{Cert: t.Cert, Key: t.Key, CA: t.CA}, t.Plaintext, addresses)
}
