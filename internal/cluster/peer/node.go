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

	"fernvane/internal/cluster/framing"
	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/replicastore"
	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/wal"
)

const (
	tickInterval        = 25 * time.Millisecond
	replicaSegmentBytes = 16 << 20
	leaveTimeout        = 300 * time.Millisecond // for holders to acknowledge the last records at shutdown
)

// ErrReplaced means that a later incarnation of this node's name is known, so two processes use one name. This node
// must stop.
var ErrReplaced = errors.New("later incarnation of this node's name is known: two processes use one name")

// Node is a running member of a cluster. Its methods may be called from any goroutine.
type Node struct {
	cfg       *Config
	name      string
	log       zerolog.Logger
	files     wal.FileSystem
	started   time.Time // zero point of the durations passed to membership and replication
	listener  net.Listener
	store     *replicastore.Store
	copyLimit *rate.Limiter

	handshakes  *framing.Handshakes
	frameMemory *framing.MemoryBudget

	replaced          chan struct{} // closed when a later incarnation of this node's name is known
	firstUpdate       chan struct{} // closed when the first membership update is received
	journalConfigured chan struct{} // closed by StartJournal

	mu               sync.Mutex // never held during socket or disk I/O
	table            *membership.Table
	replicas         *replication.ReplicaTable
	origin           *replication.Origin // nil if the node's journal is not replicated
	journal          string              // folder of the node's journal; "" for none
	isLoaded         bool                // the stored replicas have been read from disk
	earlyOffers      []earlyOffer        // received before isLoaded
	connections      connections
	commits          []*Commit                              // not decided yet
	copies           map[replication.CopyTask]chan struct{} // running copies; each channel contains one element per unacknowledged batch
	lists            endpointLists
	lifecycle        lifecycle
	appliedDigest    uint64 // of the members that replication last received
	isShortageLogged bool   // a shortage of holders has been logged (logShortage)
}

// lifecycle is the node's progress from start to shutdown.
type lifecycle struct {
	hasJoined  bool // the incarnation is final
	isReplaced bool
	isLeaving  bool
}

// earlyOffer is an offer that waits until the stored replicas are loaded.
type earlyOffer struct {
	from  string
	offer *replication.Offer
}

// New creates a node and listens for other nodes. name is used unless the configuration sets a name. files is the file
// system of the replicas; nil means the operating system's.
func New(cfg *Config, name string, files wal.FileSystem, log zerolog.Logger) (*Node, error) {
	if cfg.Name != "" {
		name = cfg.Name
	}
	if !nodeNames.MatchString(name) {
		return nil, errors.New("invalid node name " + name + ": expected " + nodeNameRule)
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
		started:           time.Now().Add(-time.Second), // so that a current time is never 0
		listener:          listener,
		store:             replicastore.Open(cfg.ReplicaDir, files, replicaSegmentBytes),
		copyLimit:         rate.NewLimiter(rate.Limit(cfg.RepairBytesPerSecond), maxBodyBytes),
		handshakes:        framing.NewHandshakes(maxPendingHandshakes),
		frameMemory:       framing.NewMemoryBudget(frameMemoryBytes),
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

// self returns this node's own member entry. It locks mu.
func (n *Node) self() membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Self()
}

func (n *Node) candidate() replication.Candidate {
	return replication.Candidate{Name: n.name, Site: n.cfg.Site, Machine: n.cfg.Machine, IsHealthy: true}
}

// Replaced returns a channel that is closed when a process with a later incarnation of this node's name is known. The
// node must then stop.
func (n *Node) Replaced() <-chan struct{} { return n.replaced }

// Join waits for the first membership update, up to a timeout, and returns this node's incarnation, which is final from
// then on. Without configured seed addresses it does not wait. If an update was received, the incarnation is later than
// all incarnations of its name known to the sender, even if the clock was set back. Otherwise it is the start time.
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

// Run runs the node until the context is canceled.
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

// Leave notifies the other nodes of a graceful shutdown. Before that it waits up to leaveTimeout for the holders to
// acknowledge records in flight.
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
