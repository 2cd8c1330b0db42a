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

// Shared is what hollow nodes lack or share, beside nodes that stand alone. The page and each result tell it.
var Shared = []string{
	"no clients and no servers: nothing is dialled but discovery, control processes and other nodes",
	"nodes of one process share its runtime, collector and limits; a process has 2 threads",
	"all nodes read one configuration and one operator's file; name, address and number differ",
	"connections are plaintext on loopback: TLS's bytes and CPU are not in the figures",
	"records of bindings are not kept: membership runs without replicas",
	"discovery's side is the project's stand-in, with no limit to its capacity",
	"messages are TCP segments with data, of up to 64 KB on loopback",
	"bytes of a connection's last second before it ends may be missed",
}

const (
	snapshotInterval = 10 * time.Second // a usual one of 2 s would have one disk write for all machines of a fleet
	seedMembers      = 3                // whom a node asks for others
	hollowSockets    = 128
	hollowThreads    = "2"
	logLevelOfNodes  = zerolog.ErrorLevel
)

// hollow is one node of a process.
type hollow struct {
	number int
	reload chan os.Signal
	stop   chan struct{}
	done   chan error
}

// startHollow runs a node as it ships, on the files of the layout.
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
	// The limit that a node sets for its runtime is the process's, which all its nodes share.
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

// beside sets up what a node has beside its list: its copy on disk, and other nodes.
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
	var first []string
	for i := range min(seedMembers, l.Size.Nodes-1) {
		// Spread over the fleet, so that the first nodes are not asked by all.
		first = append(first, l.nodeAddress((number+1+i*l.Size.Nodes/seedMembers)%l.Size.Nodes, memberPort))
	}
	cfg.Peers = &peer.Config{Name: cfg.Name, Listen: at, Advertise: at, ListenAddress: mustParseAddress(at), Peers: first, Deployment: "scale",
		Site: zoneName(l, l.zone(l.workerOf(number))), Machine: cfg.Name, Replicas: 1, ReplicaDir: dir, MaxReplicaBytes: 16 << 20,
		RetentionAge: tomlfile.Duration(time.Hour), RepairBytesPerSecond: 1 << 20, SlowAfter: tomlfile.Duration(50 * time.Millisecond),
		ReconcileAfter: tomlfile.Duration(time.Hour), Plaintext: true}
	return nil
}
