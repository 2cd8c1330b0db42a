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
	Name        string        `toml:"name"`       // the node's own, by default as in its configuration
	Listen      string        `toml:"listen"`     // for other nodes
	Advertise   string        `toml:"advertise"`  // where they reach it; by default listen
	Peers       []string      `toml:"peers"`      // addresses of some who are there at the start
	Deployment  string        `toml:"deployment"` // nodes of another are refused
	Site        string        `toml:"site"`
	Machine     string        `toml:"machine"`  // nodes of one machine are lost together; by default the address
	Replicas    int           `toml:"replicas"` // how many other machines hold what this node keeps
	Held        string        `toml:"held"`     // folder of what is held for others
	HeldBytes   int64         `toml:"held_bytes"`
	KeepFor     tomlfile.Span `toml:"keep_for"`
	RepairBytes int64         `toml:"repair_bytes"` // a second, to others, when a holder is lost
	SlowAfter   tomlfile.Span `toml:"slow_after"`   // a holder that takes longer has another one taken
	Dockets     []string      `toml:"dockets"`      // files or URLs by which entries of machines that are gone are settled
	GoneAfter   tomlfile.Span `toml:"gone_after"`   // how long a machine is away until they are
	TLSName     string        `toml:"tls_name"`     // that the nodes' certificates are for
	Cert        string        `toml:"cert"`
	Key         string        `toml:"key"`
	CA          string        `toml:"ca"`
	Plaintext   bool          `toml:"plaintext"` // without TLS, on loopback only

	ListenAt netip.AddrPort `toml:"-"`
	Keys     *mtls.Keys     `toml:"-"` // nil: plaintext
}

// Names become names of folders. A stream's may be that of a node, or of one and another that settles its entries.
var (
	names       = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	streamNames = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}(~[A-Za-z0-9][A-Za-z0-9._-]{0,63})?$`)
)

// Load reads the file; each fault is named by file and line.
func Load(path string) (*Config, error) {
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	c := &Config{Replicas: 2, HeldBytes: 4 << 30, KeepFor: tomlfile.Span(30 * 24 * time.Hour), RepairBytes: 8 << 20,
		SlowAfter: tomlfile.Span(50 * time.Millisecond), GoneAfter: tomlfile.Span(5 * time.Minute)}
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
	if c.ListenAt, err = netip.ParseAddrPort(c.Listen); err != nil {
		f.Wrong("listen", "listen %q: an address and a port are wanted", c.Listen)
	}
	if c.Advertise == "" {
		c.Advertise = c.Listen
	}
	addresses := []netip.AddrPort{c.ListenAt}
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
	if st, err := os.Stat(c.Held); c.Held == "" || err != nil || !st.IsDir() {
		f.Wrong("held", "held %q is no folder that is there", c.Held)
	}
	if c.HeldBytes < leastHeld {
		f.Wrong("held_bytes", "held_bytes %d: %d at least", c.HeldBytes, leastHeld)
	}
	if c.RepairBytes < leastRepair {
		f.Wrong("repair_bytes", "repair_bytes %d: %d a second at least", c.RepairBytes, leastRepair)
	}
	if c.SlowAfter.D() < 5*time.Millisecond || c.SlowAfter.D() > 5*time.Second {
		f.Wrong("slow_after", "slow_after %s: from 5ms to 5s", c.SlowAfter.D())
	}
	if c.GoneAfter.D() < 5*time.Second {
		f.Wrong("gone_after", "gone_after %s: 5s at least, a node may only be starting again", c.GoneAfter.D())
	}
}

func (c *Config) keys(f *tomlfile.File, addresses []netip.AddrPort) {
	if !c.Plaintext && c.TLSName == "" {
		f.Wrong("tls_name", "tls_name says what the nodes' certificates are for")
	}
	c.Keys = mtls.Configured(f, mtls.Files{Cert: c.Cert, Key: c.Key, CA: c.CA}, c.Plaintext, addresses)
}
