// Package peer runs what a node shares with the other nodes of its tier: connections between them, who lives, and the
// replicas of what each keeps. What is decided is in neighbours and replicas; here are sockets, disks and clocks.
package peer

import (
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"time"

	"fernvane/internal/cluster/mtls"
	"fernvane/internal/config/tomlfile"
)

const (
	peersMost    = 64 // addresses to begin with
	replicasMost = 6
	leastRepair  = 64 << 10
	leastHeld    = 16 << 20
)

// Config is an operator's file of the tier.
type Config struct {
	Name                 string            `toml:"name"`       // the node's own, by default as in its configuration
	Listen               string            `toml:"listen"`     // for other nodes
	Advertise            string            `toml:"advertise"`  // where they reach it; by default listen
	Peers                []string          `toml:"peers"`      // addresses of some who are there at the start
	Deployment           string            `toml:"deployment"` // nodes of another are refused
	Site                 string            `toml:"site"`
	Machine              string            `toml:"machine"`  // nodes of one machine are lost together; by default the address
	Replicas             int               `toml:"replicas"` // how many other machines hold what this node keeps
	ReplicaDir           string            `toml:"held"`     // folder of what is held for others
	MaxReplicaBytes      int64             `toml:"held_bytes"`
	RetentionAge         tomlfile.Duration `toml:"keep_for"`
	RepairBytesPerSecond int64             `toml:"repair_bytes"` // a second, to others, when a holder is lost
	SlowAfter            tomlfile.Duration `toml:"slow_after"`   // a holder that takes longer has another one taken
	ExecutionRecords     []string          `toml:"dockets"`      // files or URLs by which entries of machines that are gone are settled
	ReconcileAfter       tomlfile.Duration `toml:"gone_after"`   // how long a machine is away until they are
	TLSName              string            `toml:"tls_name"`     // that the nodes' certificates are for
	Cert                 string            `toml:"cert"`
	Key                  string            `toml:"key"`
	CA                   string            `toml:"ca"`
	Plaintext            bool              `toml:"plaintext"` // without TLS, on loopback only

	ListenAddress netip.AddrPort `toml:"-"`
	Keys          *mtls.Keys     `toml:"-"` // nil: plaintext
}

// Names become names of folders. A stream's may be that of a node, or of one and another that settles its entries.
var (
	names       = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	streamNames = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}(~[A-Za-z0-9][A-Za-z0-9._-]{0,63})?$`)
)

// LoadConfig reads the file; each fault is named by file and line.
func LoadConfig(path string) (*Config, error) {
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	c := &Config{Replicas: 2, MaxReplicaBytes: 4 << 30, RetentionAge: tomlfile.Duration(30 * 24 * time.Hour), RepairBytesPerSecond: 8 << 20,
		SlowAfter: tomlfile.Duration(50 * time.Millisecond), ReconcileAfter: tomlfile.Duration(5 * time.Minute)}
	f, err := tomlfile.Parse(path, text, c)
	if err != nil {
		return nil, err
	}
	addresses := c.checkAddresses(f)
	c.checkBounds(f)
	c.keys(f, addresses)
	return c, f.Err()
}

// checkAddresses fills in what follows from others and returns all addresses, the node's own first.
func (c *Config) checkAddresses(f *tomlfile.File) []netip.AddrPort {
	if c.Name != "" && !names.MatchString(c.Name) {
		f.Wrong("name", "name %q: letters, digits, dots and dashes, 64 at most", c.Name)
	}
	var err error
	if c.ListenAddress, err = netip.ParseAddrPort(c.Listen); err != nil {
		f.Wrong("listen", "listen %q: an address and a port are wanted", c.Listen)
	}
	if c.Advertise == "" {
		c.Advertise = c.Listen
	}
	addresses := []netip.AddrPort{c.ListenAddress}
	check := func(key, what, at string) {
		a, err := netip.ParseAddrPort(at)
		if err != nil {
			f.Wrong(key, "%s %q: an address and a port are wanted", what, at)
		}
		addresses = append(addresses, a)
	}
	check("advertise", "advertise", c.Advertise)
	if len(c.Peers) > peersMost {
		f.Wrong("peers", "%d peers: %d at most, the others are learned of", len(c.Peers), peersMost)
	}
	for i, p := range c.Peers {
		check("peers."+strconv.Itoa(i), "peer", p)
	}
	if c.Deployment == "" {
		f.Wrong("deployment", "deployment says which nodes belong together")
	}
	if c.Machine == "" && addresses[1].IsValid() {
		c.Machine = addresses[1].Addr().String()
	}
	return addresses
}

func (c *Config) checkBounds(f *tomlfile.File) {
	if c.Replicas < 1 || c.Replicas > replicasMost {
		f.Wrong("replicas", "replicas %d: from 1 to %d", c.Replicas, replicasMost)
	}
	if st, err := os.Stat(c.ReplicaDir); c.ReplicaDir == "" || err != nil || !st.IsDir() {
		f.Wrong("held", "held %q is no folder that is there", c.ReplicaDir)
	}
	if c.MaxReplicaBytes < leastHeld {
		f.Wrong("held_bytes", "held_bytes %d: %d at least", c.MaxReplicaBytes, leastHeld)
	}
	if c.RepairBytesPerSecond < leastRepair {
		f.Wrong("repair_bytes", "repair_bytes %d: %d a second at least", c.RepairBytesPerSecond, leastRepair)
	}
	if c.SlowAfter.Std() < 5*time.Millisecond || c.SlowAfter.Std() > 5*time.Second {
		f.Wrong("slow_after", "slow_after %s: from 5ms to 5s", c.SlowAfter.Std())
	}
	if c.ReconcileAfter.Std() < 5*time.Second {
		f.Wrong("gone_after", "gone_after %s: 5s at least, a node may only be starting again", c.ReconcileAfter.Std())
	}
}

func (c *Config) keys(f *tomlfile.File, addresses []netip.AddrPort) {
	if !c.Plaintext && c.TLSName == "" {
		f.Wrong("tls_name", "tls_name says what the nodes' certificates are for")
	}
	c.Keys = mtls.KeysFromConfig(f, mtls.Files{Cert: c.Cert, Key: c.Key, CA: c.CA}, c.Plaintext, addresses)
}
