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
	minReconcileAfter       = 5 * time.Second // a node that is down for less may only be restarting
)

// Config is the operator's configuration file of a cluster node.
type Config struct {
	Name       string   `toml:"name"`       // node name; by default the one in the node's configuration
	Listen     string   `toml:"listen"`     // address and port on which to accept connections of other nodes
	Advertise  string   `toml:"advertise"`  // address to which other nodes connect; by default Listen
	Peers      []string `toml:"peers"`      // seed addresses: some nodes that run at the start
	Deployment string   `toml:"deployment"` // cluster name; nodes of another deployment are rejected
	Site       string   `toml:"site"`
	Machine    string   `toml:"machine"` // failure domain: nodes on one machine fail together; by default the advertised address

	Replicas             int               `toml:"replicas"`     // number of other machines that store this node's journal
	ReplicaDir           string            `toml:"held"`         // folder of the replicas that this node stores for others
	MaxReplicaBytes      int64             `toml:"held_bytes"`   // received bytes of these replicas, from which on records are rejected
	RetentionAge         tomlfile.Duration `toml:"keep_for"`     // of replicas of lost incarnations; older records of any stream are rejected
	RepairBytesPerSecond int64             `toml:"repair_bytes"` // rate limit of copies to other nodes, as after the loss of a holder
	SlowAfter            tomlfile.Duration `toml:"slow_after"`   // a holder that takes longer to acknowledge a record is replaced

	ExecutionRecords []string          `toml:"dockets"`    // files or URLs of the execution records that reconcile journals of lost machines
	ReconcileAfter   tomlfile.Duration `toml:"gone_after"` // how long a machine must be gone before its journal is reconciled

	TLSName   string `toml:"tls_name"` // server name in the nodes' certificates
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
	CA        string `toml:"ca"`
	Plaintext bool   `toml:"plaintext"` // without TLS, on loopback only

	// ListenAddress is the parsed value of Listen.
	ListenAddress netip.AddrPort `toml:"-"`
	// Keys contains the loaded Cert, Key and CA; nil for plaintext.
	Keys *mtls.Keys `toml:"-"`
}

// Names are used as folder names, so their characters are restricted. The name of a stream is a node name, or in a
// reconciliation stream two node names separated by "~".
var (
	nodeNames   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	streamNames = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}(~[A-Za-z0-9][A-Za-z0-9._-]{0,63})?$`)
)

// nodeNameRule describes nodeNames in error messages.
const nodeNameRule = "at most 64 letters, digits, dots, dashes and underscores, a letter or digit first"

// LoadConfig reads and checks a configuration file. The error lists each invalid setting with file and line.
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

// checkAddresses checks the name and addresses and fills in their defaults. It returns all addresses: Listen,
// Advertise, then the peers.
func (c *Config) checkAddresses(f *tomlfile.File) []netip.AddrPort {
	if c.Name != "" && !nodeNames.MatchString(c.Name) {
		f.AddFault("name", "name %q: expected "+nodeNameRule, c.Name)
	}
	var err error
	if c.ListenAddress, err = netip.ParseAddrPort(c.Listen); err != nil {
		f.AddFault("listen", "listen %q: expected address and port", c.Listen)
	}
	if c.Advertise == "" {
		c.Advertise = c.Listen
	}
	addresses := []netip.AddrPort{c.ListenAddress}
	check := func(key, what, text string) {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			f.AddFault(key, "%s %q: expected address and port", what, text)
		}
		addresses = append(addresses, a)
	}
	check("advertise", "advertise", c.Advertise)
	if len(c.Peers) > maxSeedAddresses {
		f.AddFault("peers", "%d peers: expected at most %d, gossip discovers further nodes", len(c.Peers), maxSeedAddresses)
	}
	for i, p := range c.Peers {
		check("peers."+strconv.Itoa(i), "peer", p)
	}
	if c.Deployment == "" {
		f.AddFault("deployment", "deployment not set: nodes of one cluster need the same deployment name")
	}
	if advertised := addresses[1]; c.Machine == "" && advertised.IsValid() {
		c.Machine = advertised.Addr().String()
	}
	return addresses
}

func (c *Config) checkBounds(f *tomlfile.File) {
	if c.Replicas < 1 || c.Replicas > maxReplicas {
		f.AddFault("replicas", "replicas %d: expected 1 to %d", c.Replicas, maxReplicas)
	}
	if st, err := os.Stat(c.ReplicaDir); c.ReplicaDir == "" || err != nil || !st.IsDir() {
		f.AddFault("held", "held %q is not an existing directory", c.ReplicaDir)
	}
	if c.MaxReplicaBytes < minReplicaBytes {
		f.AddFault("held_bytes", "held_bytes %d: expected at least %d", c.MaxReplicaBytes, minReplicaBytes)
	}
	if c.RepairBytesPerSecond < minRepairBytesPerSecond {
		f.AddFault("repair_bytes", "repair_bytes %d: expected at least %d bytes per second", c.RepairBytesPerSecond, minRepairBytesPerSecond)
	}
	if c.SlowAfter.Std() < minSlowAfter || c.SlowAfter.Std() > maxSlowAfter {
		f.AddFault("slow_after", "slow_after %s: expected 5ms to 5s", c.SlowAfter.Std())
	}
	if c.ReconcileAfter.Std() < minReconcileAfter {
		f.AddFault("gone_after", "gone_after %s: expected at least 5s, a node that is down for less may be restarting", c.ReconcileAfter.Std())
	}
}

func (c *Config) loadKeys(f *tomlfile.File, addresses []netip.AddrPort) {
	if !c.Plaintext && c.TLSName == "" {
		f.AddFault("tls_name", "tls_name not set: expected the server name in the nodes' certificates")
	}
	c.Keys = mtls.KeysFromConfig(f, mtls.Files{Cert: c.Cert, Key: c.Key, CA: c.CA}, c.Plaintext, addresses)
}
