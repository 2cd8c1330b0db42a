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

// Bounds of the settings.
const (
	maxSeedAddresses        = 64
	maxReplicas             = 6
	minRepairBytesPerSecond = 64 << 10
	minReplicaBytes         = 16 << 20
	minSlowAfter            = 5 * time.Millisecond
	maxSlowAfter            = 5 * time.Second
	minReconcileAfter       = 5 * time.Second // a node that is away for less may only be restarting
)

// Config is an operator's file of the cluster.
type Config struct {
	Name       string   `toml:"name"`       // the node's own; by default the one in its configuration
	Listen     string   `toml:"listen"`     // address and port for other nodes
	Advertise  string   `toml:"advertise"`  // where they reach it; by default Listen
	Peers      []string `toml:"peers"`      // addresses of some nodes that are there at the start
	Deployment string   `toml:"deployment"` // nodes of another one are rejected
	Site       string   `toml:"site"`
	Machine    string   `toml:"machine"` // nodes on one machine are lost together; by default the address

	Replicas             int               `toml:"replicas"` // how many other machines hold what this node's journal has
	ReplicaDir           string            `toml:"held"`     // the folder of what this node holds for others
	MaxReplicaBytes      int64             `toml:"held_bytes"`
	RetentionAge         tomlfile.Duration `toml:"keep_for"`
	RepairBytesPerSecond int64             `toml:"repair_bytes"` // to other nodes, when a holder is lost
	SlowAfter            tomlfile.Duration `toml:"slow_after"`   // a holder that takes longer is replaced

	ExecutionRecords []string          `toml:"dockets"`    // files or URLs by which journals of lost machines are reconciled
	ReconcileAfter   tomlfile.Duration `toml:"gone_after"` // how long a machine is away until they are

	TLSName   string `toml:"tls_name"` // that the nodes' certificates are for
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
	CA        string `toml:"ca"`
	Plaintext bool   `toml:"plaintext"` // without TLS, on loopback only

	// ListenAddress is Listen, parsed.
	ListenAddress netip.AddrPort `toml:"-"`
	// Keys are those of Cert, Key and CA; nil for plaintext.
	Keys *mtls.Keys `toml:"-"`
}

// Names become names of folders. A stream's name is that of a node, or of a node and of another that reconciles its
// entries.
var (
	nodeNames   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	streamNames = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}(~[A-Za-z0-9][A-Za-z0-9._-]{0,63})?$`)
)

// nodeNameRule says what nodeNames matches.
const nodeNameRule = "letters, digits, dots, dashes and underscores, a letter or digit first, 64 at most"

// LoadConfig reads the file. The error names each fault by file and line.
func LoadConfig(path string) (*Config, error) {
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	c := &Config{
		Replicas:             2,
		MaxReplicaBytes:      4 << 30,
		RetentionAge:         tomlfile.Duration(30 * 24 * time.Hour),
		RepairBytesPerSecond: 8 << 20,
		SlowAfter:            tomlfile.Duration(50 * time.Millisecond),
		ReconcileAfter:       tomlfile.Duration(5 * time.Minute),
	}
	f, err := tomlfile.Parse(path, text, c)
	if err != nil {
		return nil, err
	}
	addresses := c.checkAddresses(f)
	c.checkBounds(f)
	c.loadKeys(f, addresses)
	return c, f.Err()
}

// checkAddresses fills in what follows from other settings and returns all addresses, the node's own first.
func (c *Config) checkAddresses(f *tomlfile.File) []netip.AddrPort {
	if c.Name != "" && !nodeNames.MatchString(c.Name) {
		f.Wrong("name", "name %q: "+nodeNameRule, c.Name)
	}
	var err error
	if c.ListenAddress, err = netip.ParseAddrPort(c.Listen); err != nil {
		f.Wrong("listen", "listen %q: an address and a port are wanted", c.Listen)
	}
	if c.Advertise == "" {
		c.Advertise = c.Listen
	}
	addresses := []netip.AddrPort{c.ListenAddress}
	check := func(key, what, text string) {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			f.Wrong(key, "%s %q: an address and a port are wanted", what, text)
		}
		addresses = append(addresses, a)
	}
	check("advertise", "advertise", c.Advertise)
	if len(c.Peers) > maxSeedAddresses {
		f.Wrong("peers", "%d peers: %d at most, the others are learned of", len(c.Peers), maxSeedAddresses)
	}
	for i, p := range c.Peers {
		check("peers."+strconv.Itoa(i), "peer", p)
	}
	if c.Deployment == "" {
		f.Wrong("deployment", "deployment says which nodes belong together")
	}
	if advertised := addresses[1]; c.Machine == "" && advertised.IsValid() {
		c.Machine = advertised.Addr().String()
	}
	return addresses
}

func (c *Config) checkBounds(f *tomlfile.File) {
	if c.Replicas < 1 || c.Replicas > maxReplicas {
		f.Wrong("replicas", "replicas %d: from 1 to %d", c.Replicas, maxReplicas)
	}
	if st, err := os.Stat(c.ReplicaDir); c.ReplicaDir == "" || err != nil || !st.IsDir() {
		f.Wrong("held", "held %q is not an existing directory", c.ReplicaDir)
	}
	if c.MaxReplicaBytes < minReplicaBytes {
		f.Wrong("held_bytes", "held_bytes %d: %d at least", c.MaxReplicaBytes, minReplicaBytes)
	}
	if c.RepairBytesPerSecond < minRepairBytesPerSecond {
		f.Wrong("repair_bytes", "repair_bytes %d: %d a second at least", c.RepairBytesPerSecond, minRepairBytesPerSecond)
	}
	if c.SlowAfter.Std() < minSlowAfter || c.SlowAfter.Std() > maxSlowAfter {
		f.Wrong("slow_after", "slow_after %s: from 5ms to 5s", c.SlowAfter.Std())
	}
	if c.ReconcileAfter.Std() < minReconcileAfter {
		f.Wrong("gone_after", "gone_after %s: 5s at least, a node may only be starting again", c.ReconcileAfter.Std())
	}
}

func (c *Config) loadKeys(f *tomlfile.File, addresses []netip.AddrPort) {
	if !c.Plaintext && c.TLSName == "" {
		f.Wrong("tls_name", "tls_name says what the nodes' certificates are for")
	}
	c.Keys = mtls.KeysFromConfig(f, mtls.Files{Cert: c.Cert, Key: c.Key, CA: c.CA}, c.Plaintext, addresses)
}
