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

// reservedPeerSockets is the number of descriptors reserved for connections to peers and for the replicas that the node stores for them, at
// most half of the descriptor limit.
const reservedPeerSockets = 64

// LoadConfig loads a node's configuration from the platform's file at path and from each further file named by an environment variable.
// Environment variables take precedence over the same settings of the platform's file. An error names the invalid file and the reason.
func LoadConfig(path string, getenv func(string) string) (Config, error) {
	c, err := readConfig(path, getenv)
	if err == nil {
		err = c.loadEnvironmentFiles()
	}
	return c, err
}

// loadEnvironmentFiles loads the files that environment variables name, up to the first invalid one.
func (c *Config) loadEnvironmentFiles() (err error) {
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
	if err == nil && c.Journal != nil && c.Journal.Durability == wal.DurabilityMachines && c.Peers == nil {
		err = errors.New("journal promise \"machines\" requires other nodes as replica holders: name them with --peers FILE")
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

// checkSingleListSource returns an error if the distribution is combined with another source or store of the endpoint list.
func (c *Config) checkSingleListSource() error {
	for name, isConfigured := range map[string]bool{"registry": c.Registry != nil, "planners": c.Planners != nil, "snapshot": c.Snapshot != nil} {
		if isConfigured {
			return fmt.Errorf("--distribution supplies and stores the endpoint list: not allowed together with --%s", name)
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

// readShadowSettings reads the settings whose decisions are compared with those of the node's own settings, and checks that both are
// compatible.
func readShadowSettings(path string, current *settings.Settings) (*settings.Settings, error) {
	s, err := ReadSettings(path)
	if err != nil {
		return nil, err
	}
	if err := current.CheckCompatible(&s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &s, nil
}

// Reload reads the platform's file again. The environment variables are those of the start. A discovery address that has changed in the file
// since it was last read therefore takes precedence over PROXY_DISCOVERY. An unchanged one leaves the address in effect as it is.
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
