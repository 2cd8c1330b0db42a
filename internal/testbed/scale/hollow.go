package scale

import (
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/cluster/peer"
	"fernvane/internal/config/tomlfile"
	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/journal/wal"
	"fernvane/internal/proxy"
	"fernvane/internal/proxy/engine"
)

// Shared lists what hollow nodes lack or share compared with complete nodes. Each result and the help of the command contain
// it.
var Shared = []string{
	"there are no clients and no servers: nodes connect only to discovery, control processes and other nodes",
	"nodes of one process share its Go runtime, garbage collector and limits; a process has 2 threads",
	"all nodes read the same configuration and operator's file; only name, address and number differ",
	"connections are plaintext on loopback: the figures exclude bytes and CPU of TLS",
	"there are no journals: membership runs without replicas",
	"discovery is a stand-in without a capacity limit",
	"messages are TCP segments with data, up to 64 KB each on loopback",
	"bytes of the last second of a connection may be missing",
}

const (
	snapshotInterval = 10 * time.Second // the usual interval of 2 s would put the writes of a whole fleet on one disk
	seedMembers      = 3                // addresses in a node's configuration, from which it receives the other members
	hollowSockets    = 128
	hollowThreads    = "2"
	logLevelOfNodes  = zerolog.ErrorLevel
)

// hollow is a running hollow node.
type hollow struct {
	number int
	reload chan os.Signal
	stop   chan struct{}
	done   chan error
}

// startHollow starts a complete node with the files of the layout. Only its policy is wrapped, to record inputs.
func startHollow(l *Layout, number int, r *recorder) (*hollow, error) {
	env := map[string]string{"PROXY_NAME": fmt.Sprintf("n%05d", number), "PROXY_LISTEN": l.nodeAddress(number, nodePort)}
	if l.Size.Routes > 0 {
		env["PROXY_OPERATOR"] = l.operatorPath()
	}
	cfg, err := proxy.LoadConfig(l.configPath(), func(name string) string { return env[name] })
	if err != nil {
		return nil, err
	}
	cfg.Settings.NodeIndex = number
	cfg.Seed = uint32(l.Size.Seed) + uint32(number)
	cfg.NewPolicy = r.observe(number, engine.NewPolicy)
	// A node applies its memory limit to the Go runtime, which all nodes of the process share.
	cfg.Limits.MemoryMB *= len(l.nodesOf(l.workerOf(number)))
	cfg.Limits.Sockets = hollowSockets
	if err := l.configureStorageAndPeers(&cfg, number); err != nil {
		return nil, err
	}
	if err := planes[l.Size.Plane].Configure(l, number, &cfg); err != nil {
		return nil, err
	}
	h := &hollow{number: number, reload: make(chan os.Signal, 1), stop: make(chan struct{}), done: make(chan error, 1)}
	log := zerolog.New(os.Stderr).Level(logLevelOfNodes).With().Str("node", cfg.Name).Timestamp().Logger()
	r.started(number)
	go func() { h.done <- proxy.Run(proxy.Signals{Reload: h.reload, Stop: h.stop}, cfg, log) }()
	return h, nil
}

// configureStorageAndPeers configures the node's snapshot of the endpoint list on disk and its peers.
func (l *Layout) configureStorageAndPeers(cfg *proxy.Config, number int) error {
	if l.Size.Snapshots {
		dir := l.snapshotDir(number)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		cfg.Snapshot = &snapshot.Config{Dir: dir, Deployment: "scale", WriteInterval: tomlfile.Duration(snapshotInterval), MaxGenerations: 2, MaxAge: tomlfile.Duration(time.Hour)}
		cfg.Filesystem = wal.OSFileSystem{}
	}
	if !l.Size.Membership {
		return nil
	}
	dir := l.dataDir(number)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	at := l.nodeAddress(number, memberPort)
	var seeds []string
	for i := range min(seedMembers, l.Size.Nodes-1) {
		// Spread over the fleet, so that no node gets the join requests of all others.
		seeds = append(seeds, l.nodeAddress((number+1+i*l.Size.Nodes/seedMembers)%l.Size.Nodes, memberPort))
	}
	cfg.Peers = &peer.Config{Name: cfg.Name, Listen: at, Advertise: at, ListenAddress: mustParseAddress(at), Peers: seeds, Deployment: "scale",
		Site: zoneName(l, l.zone(l.workerOf(number))), Machine: cfg.Name, Replicas: 1, ReplicaDir: dir, MaxReplicaBytes: 16 << 20,
		RetentionAge: tomlfile.Duration(time.Hour), RepairBytesPerSecond: 1 << 20, SlowAfter: tomlfile.Duration(50 * time.Millisecond),
		ReconcileAfter: tomlfile.Duration(time.Hour), Plaintext: true}
	return nil
}
