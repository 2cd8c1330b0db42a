// Package planconfig reads the files of forwarders, which name their planners, and of planners. Its callers are the commands
// that start the processes.
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

// TLS is the part of both files about keys.
type TLS struct {
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
	CA        string `toml:"ca"`
	Plaintext bool   `toml:"plaintext"` // without TLS, on loopback only
}

// Forwarder is a forwarder's file.
type Forwarder struct {
	Planners []string `toml:"planners"` // addresses; all forwarders name them in the same order
	Name     string   `toml:"name"`     // in the planners' certificates, by which the forwarder verifies them; not the forwarder's own
	TLS

	Addresses []netip.AddrPort `toml:"-"`
	Keys      *mtls.Keys       `toml:"-"` // nil: plaintext
}

// Planner is a planner's file.
type Planner struct {
	Name      string            `toml:"name"` // its own, in its greeting and its log
	Listen    string            `toml:"listen"`
	Discovery string            `toml:"discovery"`
	Registry  string            `toml:"registry"` // a registry's file, in place of discovery
	Interval  tomlfile.Duration `toml:"every"`    // between two plans
	TLS

	ListenAddress    netip.AddrPort    `toml:"-"`
	DiscoveryAddress netip.AddrPort    `toml:"-"`
	Ensemble         *zookeeper.Config `toml:"-"` // nil: discovery lists the servers
	Keys             *mtls.Keys        `toml:"-"` // nil: plaintext
}

// LoadForwarder reads a forwarder's file. The error names each fault by file and line.
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
		f.Wrong("planners", "%d planners: from 1 to %d", len(c.Planners), maxPlanners)
	}
	for i, p := range c.Planners {
		address, err := netip.ParseAddrPort(p)
		if err != nil {
			f.Wrong("planners."+strconv.Itoa(i), "planner %q: an address and a port are wanted", p)
		}
		c.Addresses = append(c.Addresses, address)
	}
	if !c.Plaintext && c.Name == "" {
		f.Wrong("name", "name says what the planners' certificates are for")
	}
	c.Keys = c.keys(f, c.Addresses)
	return c, f.Err()
}

// LoadPlanner reads a planner's file. The error names each fault by file and line.
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
		f.Wrong("name", "a planner needs a name")
	}
	if c.ListenAddress, err = netip.ParseAddrPort(c.Listen); err != nil {
		f.Wrong("listen", "listen %q: an address and a port are wanted", c.Listen)
	}
	if c.Registry != "" && c.Discovery != "" {
		f.Wrong("registry", "either discovery or a registry")
	} else if c.Registry != "" {
		if c.Ensemble, err = zookeeper.Load(c.Registry); err != nil {
			f.Wrong("registry", "%v", err)
		}
	} else if c.DiscoveryAddress, err = netip.ParseAddrPort(c.Discovery); err != nil {
		f.Wrong("discovery", "discovery %q: an address and a port are wanted", c.Discovery)
	}
	if c.Interval.Std() < minInterval || c.Interval.Std() > maxInterval {
		f.Wrong("every", "every %s: from %s to %s", c.Interval.Std(), minInterval, maxInterval)
	}
	c.Keys = c.keys(f, []netip.AddrPort{c.ListenAddress})
	return c, f.Err()
}

// keys loads the files that are named. Without TLS all addresses must be on this machine.
func (t TLS) keys(f *tomlfile.File, addresses []netip.AddrPort) *mtls.Keys {
	return mtls.KeysFromConfig(f, mtls.Files{Cert: t.Cert, Key: t.Key, CA: t.CA}, t.Plaintext, addresses)
}
