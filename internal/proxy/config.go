package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"net/netip"
	"os"
	"syscall"
	"time"

	"fernvane/internal/cluster/peer"
	"fernvane/internal/config/settings"
	"fernvane/internal/controlplane/distribution/client"
	"fernvane/internal/controlplane/planconfig"
	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/discovery/zookeeper"
	"fernvane/internal/journal/wal"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/proxy/engine"
	"fernvane/internal/proxy/shadow"
	"fernvane/internal/route"
	"fernvane/policy"
)

const (
	memoryMost  = 192  // MB, where the configuration names no limit, and at most
	socketsMost = 1024 // descriptors, likewise
	peerSockets = 64   // of them for other nodes and what is held for them, where there are any
)

// Config is what a node is told at its start.
type Config struct {
	Name         string
	Listen       netip.AddrPort
	Discovery    netip.AddrPort
	Seed         uint32
	Cores        float64
	Limits       dispatch.Limits
	SavedList    http1.EndpointList
	SavedListErr error // a saved list of no use; the node starts without
	Settings     settings.Settings
	OperatorFile string                // the operator's file; "" for none
	Routes       *route.Table          // what it says; nil for none
	NewPolicy    engine.DeciderFactory // nil: the project's own
	Unguarded    bool                  // what the module decides is sent as it is: for modules that are broken on purpose
	Deaf         bool                  // clients' leaving is not looked at: likewise
	Planners     *planconfig.Forwarder // nil: the node decides by itself
	Journal      *wal.Config           // nil: no journal of bindings is kept
	Registry     *zookeeper.Config     // nil: discovery tells of servers
	Snapshot     *snapshot.Config      // nil: no list is kept on disk
	Peers        *peer.Config          // nil: the node knows of no other one
	Distribution *client.Config        // nil: the list and the limits come from elsewhere
	Shadow       *shadow.Candidate     // nil: no other settings are watched beside the node's own
	Filesystem   wal.FileSystem        // beneath it; nil: the system's
	path         string
	getenv       func(string) string
	told         string // discovery's address as the file names it
	stop         unhurried

	Retention dispatch.IdleRetention // which idle connections to servers are kept; nil: the shipped rule
}

// unhurried has a stop wait for what a test does meanwhile; its zero is the usual haste.
type unhurried struct {
	coming func()        // returns when new connections are not waited for any more
	more   time.Duration // than the usual time until all must be over
	quiet  time.Duration // more than the usual time without a connection until listening ends
	linger time.Duration // more than the usual time for a client to read its last answer
}

// LoadConfig reads a configuration; variables of the environment go before the file. The operator's file and the
// planners' file, which two of them may name, are read with it.
func LoadConfig(path string, getenv func(string) string) (Config, error) {
	c, err := read(path, getenv)
	if err == nil && c.OperatorFile != "" {
		c.Routes, err = route.Load(c.OperatorFile, &c.Settings)
	}
	if path := getenv("PROXY_PLANNERS"); err == nil && path != "" {
		c.Planners, err = planconfig.LoadForwarder(path)
	}
	if path := getenv("PROXY_REGISTRY"); err == nil && path != "" {
		c.Registry, err = zookeeper.Load(path)
	}
	if path := getenv("PROXY_SNAPSHOT"); err == nil && path != "" {
		c.Snapshot, err = snapshot.Load(path)
	}
	if path := getenv("PROXY_BINDINGS"); err == nil && path != "" {
		c.Journal, err = wal.LoadConfig(path)
	}
	if path := getenv("PROXY_PEERS"); err == nil && path != "" {
		if c.Peers, err = peer.LoadConfig(path); err == nil {
			c.Limits.Sockets = max(c.Limits.Sockets-peerSockets, c.Limits.Sockets/2)
		}
	}
	if err == nil && c.Journal != nil && c.Journal.Promise == wal.PromiseMachines && c.Peers == nil {
		err = errors.New("the promise machines needs other nodes to hold what is kept: name them with --peers FILE")
	}
	if path := getenv("PROXY_DISTRIBUTION"); err == nil && path != "" {
		if c.Distribution, err = client.Load(path); err == nil {
			err = c.oneList()
		}
	}
	if path := getenv("PROXY_WATCH"); err == nil && path != "" {
		var s *settings.Settings
		if s, err = readWatch(path, &c.Settings); err == nil {
			c.Shadow = shadow.NewCandidate(s)
		}
	}
	return c, err
}

// oneList says why the distribution cannot go with another part that tells of servers.
func (c *Config) oneList() error {
	for name, told := range map[string]bool{"registry": c.Registry != nil, "planners": c.Planners != nil, "snapshot": c.Snapshot != nil} {
		if told {
			return fmt.Errorf("--distribution brings the list of servers and keeps it: it does not go with --%s", name)
		}
	}
	return nil
}

// readWatch reads the settings that are to be watched beside a node's own.
func readWatch(path string, own *settings.Settings) (*settings.Settings, error) {
	s, err := ReadSettings(path)
	if err != nil {
		return nil, err
	}
	if err := own.CheckCompatible(&s); err != nil {
		return nil, fmt.Errorf("%s: %v", path, err)
	}
	return &s, nil
}

func read(path string, getenv func(string) string) (Config, error) {
	c := Config{path: path, getenv: getenv, OperatorFile: getenv("PROXY_OPERATOR")}
	if path == "" {
		return c, errors.New("no configuration is named")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, err
	}
	var raw struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			Cores    float64
			MemoryMB float64 `json:"memory_mb"`
			Sockets  float64
		}
		Known, Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return c, fmt.Errorf("%s: %v", path, err)
	}
	c.told = raw.Discovery
	for name, field := range map[string]*string{"PROXY_NAME": &raw.Name, "PROXY_LISTEN": &raw.Listen,
		"PROXY_DISCOVERY": &raw.Discovery} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	c.Name, c.Cores, c.Seed = raw.Name, raw.Limits.Cores, crc32.ChecksumIEEE([]byte(raw.Seed))
	if c.Listen, err = netip.ParseAddrPort(raw.Listen); err != nil {
		return c, fmt.Errorf("%s: listen: %v", path, err)
	}
	if c.Discovery, err = netip.ParseAddrPort(raw.Discovery); err != nil {
		return c, fmt.Errorf("%s: discovery: %v", path, err)
	}
	c.Limits = dispatch.Limits{MemoryMB: limit(raw.Limits.MemoryMB, memoryMost),
		Sockets: limit(raw.Limits.Sockets, min(socketsMost, openFiles()))}
	if len(raw.Settings) == 0 {
		return c, fmt.Errorf("%s: there are no settings", path)
	}
	if c.Settings, err = settings.Decode(raw.Settings); err != nil {
		return c, fmt.Errorf("%s: %v", path, err)
	}
	if len(raw.Known) > 0 {
		c.SavedList, c.SavedListErr = http1.ParseEndpointList(raw.Known)
	}
	return c, nil
}

// Reload reads the configuration anew from where it was read. The environment is that of the start, so an address
// of discovery that the file has come to name since then goes before it.
func (c Config) Reload() (Config, error) {
	next, err := read(c.path, c.getenv)
	if err != nil {
		return c, err
	}
	if next.told == c.told {
		next.Discovery = c.Discovery
	} else if next.Discovery, err = netip.ParseAddrPort(next.told); err != nil {
		return c, fmt.Errorf("%s: discovery: %v", c.path, err)
	}
	return next, nil
}

// ReadSettings reads the settings alone, from a configuration or from a file that holds nothing else.
func ReadSettings(path string) (settings.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return settings.Settings{}, err
	}
	var raw struct{ Settings json.RawMessage }
	if err := json.Unmarshal(text, &raw); err != nil {
		return settings.Settings{}, fmt.Errorf("%s: %v", path, err)
	}
	if len(raw.Settings) == 0 {
		raw.Settings = text
	}
	s, err := settings.Decode(raw.Settings)
	if err != nil {
		return s, fmt.Errorf("%s: %v", path, err)
	}
	return s, nil
}

func (c Config) module() engine.DeciderFactory {
	switch {
	case c.NewPolicy != nil:
		return c.NewPolicy
	case c.Shadow != nil:
		return func(s policy.Settings, seed uint32) engine.Decider {
			return shadow.NewModule(policy.New(s, seed), c.Shadow)
		}
	}
	return engine.NewPolicy
}

// openFiles is the system's own limit, which may be lower than what the configuration names.
func openFiles() int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return socketsMost
	}
	return int(min(r.Cur, socketsMost))
}

func limit(told float64, most int) int {
	if told <= 0 || told > float64(most) {
		return most
	}
	return int(told)
}
