package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/replicastore"
	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/wal"
)

const (
	tickInterval        = 25 * time.Millisecond
	replicaSegmentBytes = 16 << 20
	leaveTimeout        = 300 * time.Millisecond // for holders to acknowledge the last records
)

// ErrReplaced says that a later incarnation of this node's name is known, so two processes run under it. The node must
// stop.
var ErrReplaced = errors.New("a later incarnation of this node's name is known: two processes run under it")

// Node is a running node's part in its cluster. Its methods may be called by any goroutine.
type Node struct {
	cfg       *Config
	name      string
	log       zerolog.Logger
	files     wal.FileSystem
	started   time.Time // zero of the clock that membership and replication see
	listener  net.Listener
	store     *replicastore.Store
	copyLimit *rate.Limiter

	replaced          chan struct{} // closed when a later incarnation is known
	firstUpdate       chan struct{} // closed when another node has sent members
	journalConfigured chan struct{} // closed by StartJournal

	mu               sync.Mutex // never held over a socket or the disk
	table            *membership.Table
	replicas         *replication.ReplicaTable
	origin           *replication.Origin // nil: the node's journal is not replicated
	journal          string              // the folder of the node's journal; "" for none
	isLoaded         bool                // what is on disk is known
	earlyOffers      []earlyOffer        // that came before that
	connections      connections
	commits          []*Commit                              // that are waited for
	copies           map[replication.CopyTask]chan struct{} // each holds one for every batch that is not acknowledged
	lists            endpointLists
	lifecycle        lifecycle
	appliedDigest    uint64 // of the members that replication last got
	isShortageLogged bool   // commits are stalled, and the log says so (logShortage)
}

// lifecycle is how far the node has come.
type lifecycle struct {
	hasJoined  bool // its incarnation does not change any more
	isReplaced bool
	isLeaving  bool
}

// earlyOffer is an offer that waits until the stored replicas are known.
type earlyOffer struct {
	from  string
	offer *replication.Offer
}

// New listens for other nodes. name is the node's own unless the configuration has another; files is the disk beneath the
// replicas, nil for the system's.
func New(cfg *Config, name string, files wal.FileSystem, log zerolog.Logger) (*Node, error) {
	if cfg.Name != "" {
		name = cfg.Name
	}
	if !nodeNames.MatchString(name) {
		return nil, errors.New("the node's name " + name + " is not a valid node name: " + nodeNameRule)
	}
	if files == nil {
		files = wal.OSFileSystem{}
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	self := membership.Member{
		Name:        name,
		Incarnation: time.Now().UnixNano(),
		Address:     cfg.Advertise,
		Site:        cfg.Site,
		Machine:     cfg.Machine,
	}
	n := &Node{
		cfg:               cfg,
		name:              name,
		log:               log,
		files:             files,
		started:           time.Now().Add(-time.Second), // 0 is never
		listener:          listener,
		store:             replicastore.Open(cfg.ReplicaDir, files, replicaSegmentBytes),
		copyLimit:         rate.NewLimiter(rate.Limit(cfg.RepairBytesPerSecond), maxBodyBytes),
		replaced:          make(chan struct{}),
		firstUpdate:       make(chan struct{}),
		journalConfigured: make(chan struct{}),
		table:             membership.New(self),
		connections:       newConnections(),
		copies:            map[replication.CopyTask]chan struct{}{},
	}
	n.replicas = replication.NewReplicaTable(n.candidate(), cfg.Replicas, cfg.MaxReplicaBytes, cfg.RetentionAge.Std())
	return n, nil
}

func (n *Node) now() time.Duration { return time.Since(n.started) }

// self locks mu.
func (n *Node) self() membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Self()
}

func (n *Node) candidate() replication.Candidate {
	return replication.Candidate{Name: n.name, Site: n.cfg.Site, Machine: n.cfg.Machine, IsHealthy: true}
}

// Replaced is closed when another process has been started under this node's name since. The node must stop.
func (n *Node) Replaced() <-chan struct{} { return n.replaced }

// Join waits until another node is reached, up to a timeout, and returns the node's incarnation. If another node was
// reached it is after all others of its name that are known there, whatever the clock says; else it is the time of the
// start.
func (n *Node) Join(ctx context.Context, timeout time.Duration) int64 {
	if len(n.cfg.Peers) > 0 {
		select {
		case <-n.firstUpdate:
		case <-time.After(timeout):
			n.log.Warn().Msg("no other node reached yet")
		case <-ctx.Done():
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lifecycle.hasJoined = true
	return n.table.Self().Incarnation
}

// Run takes part in the cluster until the context ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer n.store.Close()
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { n.listener.Close() })()
	n.log.Info().Str("node", n.name).Str("listen", n.cfg.Listen).Str("deployment", n.cfg.Deployment).Int("replicas", n.cfg.Replicas).Msg("joining cluster")
	g.Go(func() error { return n.accept(ctx) })
	g.Go(func() error { n.loadReplicas(ctx); return nil })
	for _, address := range n.cfg.Peers {
		g.Go(func() error { n.connectToSeed(ctx, address); return nil })
	}
	g.Go(func() error { return n.cleanUp(ctx) })
	g.Go(func() error { return n.reconcile(ctx) })
	g.Go(func() error { return n.tickUntilDone(ctx, g) })
	return g.Wait()
}

// Leave notifies the others that this node shuts down, once holders have the records that are in flight or after
// leaveTimeout.
func (n *Node) Leave() {
	for deadline := time.Now().Add(leaveTimeout); n.hasUncommitted() && time.Now().Before(deadline); {
		time.Sleep(tickInterval)
	}
	n.mu.Lock()
	now := n.now()
	n.lifecycle.isLeaving = true
	n.table.Leave(now)
	n.send(now, n.table.Tick(now))
	n.applyChanges(now)
	n.mu.Unlock()
	time.Sleep(tickInterval) // for the message to be written
}

func (n *Node) hasUncommitted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.origin != nil && n.origin.Committed() < n.origin.NextNumber()
}
