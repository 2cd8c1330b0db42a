package proxy

import (
	"errors"
	"fmt"
	"net/netip"

	"fernvane/internal/cluster/peer"
	"fernvane/internal/config/settings"
	"fernvane/internal/controlplane/distribution/client"
	"fernvane/internal/controlplane/planconfig"
	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/discovery/zookeeper"
	"fernvane/internal/journal/wal"
	"fernvane/internal/proxy/shadow"
	"fernvane/internal/route"
)

const reservedPeerSockets = 64 // of a node's descriptors, for other nodes and what is replicated for them

// LoadConfig reads a node's configuration from a file of the platform, and from each further file that the environment names. Variables
// of the environment go before what the file says of the same. An error says which file cannot be used and why.
func LoadConfig(path string, getenv func(string) string) (Config, error) {
	c, err := readConfig(path, getenv)
	if err == nil {
		err = c.loadParts()
	}
	return c, err
}

// loadParts reads the files that the environment names, up to the first that cannot be used.
func (c *Config) loadParts() (err error) {
	load := func(variable string, read func(path string) error) {
		if path := c.getenv(variable); err == nil && path != "" {
			err = read(path)
		}
	}
	load("PROXY_OPERATOR", func(path string) (err error) { c.Routes, err = route.Load(path, &c.Settings); return err })
	load("PROXY_PLANNERS", func(path string) (err error) { c.Planners, err = planconfig.LoadForwarder(path); return err })
	load("PROXY_REGISTRY", func(path string) (err error) { c.Registry, err = zookeeper.Load(path); return err })
	load("PROXY_SNAPSHOT", func(path string) (err error) { c.Snapshot, err = snapshot.Load(path); return err })
	load("PROXY_BINDINGS", func(path string) (err error) { c.Journal, err = wal.LoadConfig(path); return err })
	load("PROXY_PEERS", c.loadPeers)
	if err == nil && c.Journal != nil && c.Journal.Promise == wal.PromiseMachines && c.Peers == nil {
		err = errors.New("the promise machines needs other nodes to hold what is kept: name them with --peers FILE")
	}
	load("PROXY_DISTRIBUTION", c.loadDistribution)
	load("PROXY_WATCH", c.loadShadow)
	return err
}

func (c *Config) loadPeers(path string) (err error) {
	if c.Peers, err = peer.LoadConfig(path); err == nil {
		c.Limits.Sockets = max(c.Limits.Sockets-reservedPeerSockets, c.Limits.Sockets/2)
	}
	return err
}

func (c *Config) loadDistribution(path string) (err error) {
	if c.Distribution, err = client.Load(path); err == nil {
		err = c.checkSingleListSource()
	}
	return err
}

// checkSingleListSource refuses a distribution beside another part that tells the node of servers or keeps their list.
func (c *Config) checkSingleListSource() error {
	for name, isOn := range map[string]bool{"registry": c.Registry != nil, "planners": c.Planners != nil, "snapshot": c.Snapshot != nil} {
		if isOn {
			return fmt.Errorf("--distribution brings the list of servers and keeps it: it does not go with --%s", name)
		}
	}
	return nil
}

func (c *Config) loadShadow(path string) error {
	s, err := readShadowSettings(path, &c.Settings)
	if err == nil {
		c.Shadow = shadow.NewCandidate(s)
	}
	return err
}

// readShadowSettings reads the settings whose decisions are compared with those of a node's own.
func readShadowSettings(path string, own *settings.Settings) (*settings.Settings, error) {
	s, err := ReadSettings(path)
	if err != nil {
		return nil, err
	}
	if err := own.CheckCompatible(&s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &s, nil
}

// Reload reads the platform's file again. The environment is that of the start, so an address of discovery goes before it that the file
// has come to name since then.
func (c Config) Reload() (Config, error) {
	next, err := readConfig(c.path, c.getenv)
	if err != nil {
		return c, err
	}
	if next.fileDiscovery == c.fileDiscovery {
		next.Discovery = c.Discovery
	} else if next.Discovery, err = netip.ParseAddrPort(next.fileDiscovery); err != nil {
		return c, fmt.Errorf("%s: discovery: %w", c.path, err)
	}
	return next, nil
}
