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
	tickEvery    = 25 * time.Millisecond
	lookEvery    = 250 * time.Millisecond // over the connections that are wanted
	acceptAgain  = 100 * time.Millisecond
	redialFirst  = 100 * time.Millisecond
	redialMost   = 2 * time.Second
	wantFor      = 3 * time.Second // a connection for a word by the way
	unwantedFor  = 3 * time.Second
	fetchMost    = 4           // nodes that are asked for their lists of servers
	earlyMost    = 1024        // offers that wait for the reading of what is held
	linksMost    = 256         // connections; who comes beyond them is to ask another node
	tidyEvery    = time.Minute // of what is held
	segmentBytes = 16 << 20
	flushFor     = 300 * time.Millisecond // at a stop, for holders to have the last records
)

// Why a record is not kept by others.
var (
	ErrQueueOverflow = errors.New("too many records wait for holders")
	ErrReplaced      = errors.New("a later life of this node's name is known: two processes run under it")
	ErrStopped       = errors.New("the node stops")
)

// Node is a running node's part in its tier.
type Node struct {
	cfg      *Config
	name     string
	log      zerolog.Logger
	files    wal.FileSystem
	began    time.Time
	ln       net.Listener
	store    *replicastore.Store
	limit    *rate.Limiter
	replaced chan struct{}
	news     chan struct{} // closed when the first news have come
	begun    chan struct{} // closed when it is known whether there is a journal

	mu      sync.Mutex
	table   *membership.Table
	keeper  *replication.ReplicaTable
	origin  *replication.Origin // nil: the node keeps no journal
	journal string              // its folder
	ready   bool                // what is on disk is known
	sum     uint64              // of the members when they were last handed on
	links   map[string][]*link
	wants   map[string]time.Duration // until when
	letters map[string][]any         // for those to which there is no connection yet
	early   []early                  // offers that came before it was known what is held here
	dialing map[string]bool
	tries   map[string]try
	waiters []*Commit
	jobs    map[replication.CopyJob]chan struct{} // parts of each that are on their way
	looked  time.Duration
	joined  bool          // this life's start is settled
	told    bool          // that it was replaced
	short   bool          // too few hold what is kept; said so in the log
	lists   func() []byte // the list of servers as it is kept here
	listed  chan []byte   // those of other nodes, while they are asked for
	stop    bool
}

// New listens for other nodes. files is the disk beneath what is held, nil for the system's.
func New(cfg *Config, name string, files wal.FileSystem, log zerolog.Logger) (*Node, error) {
	if cfg.Name != "" {
		name = cfg.Name
	}
	if !names.MatchString(name) {
		return nil, errors.New("the node's name " + name + " cannot be one of a tier: letters, digits, dots and dashes, 64 at most")
	}
	if files == nil {
		files = wal.OSFileSystem{}
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	candidate := replication.Candidate{Name: name, Site: cfg.Site, Machine: cfg.Machine, IsHealthy: true}
	return &Node{cfg: cfg, name: name, log: log, files: files, began: time.Now().Add(-time.Second), ln: ln,
		store: replicastore.Open(cfg.ReplicaDir, files, segmentBytes), limit: rate.NewLimiter(rate.Limit(cfg.RepairBytesPerSecond), frameMost),
		replaced: make(chan struct{}), news: make(chan struct{}), begun: make(chan struct{}),
		table:  membership.New(membership.Member{Name: name, Incarnation: time.Now().UnixNano(), Address: cfg.Advertise, Site: cfg.Site, Machine: cfg.Machine}),
		keeper: replication.NewReplicaTable(candidate, cfg.Replicas, cfg.MaxReplicaBytes, cfg.RetentionAge.Std()),
		links:  map[string][]*link{}, wants: map[string]time.Duration{}, letters: map[string][]any{}, dialing: map[string]bool{}, tries: map[string]try{},
		jobs: map[replication.CopyJob]chan struct{}{}}, nil
}

func (p *Node) now() time.Duration { return time.Since(p.began) }

func (p *Node) self() membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Self()
}

func (p *Node) candidate() replication.Candidate {
	return replication.Candidate{Name: p.name, Site: p.cfg.Site, Machine: p.cfg.Machine, IsHealthy: true}
}

// Replaced is closed when another process has been started under this node's name since.
func (p *Node) Replaced() <-chan struct{} { return p.replaced }

// Join waits until another node is met, for so long at most, and returns when this life is said to have begun: after all
// others of its name, whatever the clock says.
func (p *Node) Join(ctx context.Context, most time.Duration) int64 {
	if len(p.cfg.Peers) > 0 {
		select {
		case <-p.news:
		case <-time.After(most):
			p.log.Warn().Msg("no other node is met yet")
		case <-ctx.Done():
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.joined = true
	return p.table.Self().Incarnation
}

// Run takes part in the tier until the context ends.
func (p *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer p.store.Close()
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { p.ln.Close() })()
	p.log.Info().Str("node", p.name).Str("listen", p.cfg.Listen).Str("deployment", p.cfg.Deployment).Int("replicas", p.cfg.Replicas).Msg("neighbours are sought")
	g.Go(func() error { return p.accept(ctx, p.ln) })
	g.Go(func() error { p.scan(ctx); return nil })
	for _, at := range p.cfg.Peers {
		g.Go(func() error { p.seek(ctx, at); return nil })
	}
	g.Go(func() error { return p.tidy(ctx) })
	g.Go(func() error { return p.settles(ctx) })
	g.Go(func() error {
		tick := time.NewTicker(tickEvery)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
				p.tick(ctx, g)
			}
		}
	})
	return g.Wait()
}

// got takes in what a node says.
func (p *Node) got(l *link, what any) {
	if w, ok := what.(*list); ok {
		p.mu.Lock()
		defer p.mu.Unlock()
		select {
		case p.listed <- w.Text: // of nil nothing comes
		default:
		}
		return
	}
	var text []byte
	if _, ok := what.(*listAsk); ok {
		p.mu.Lock()
		lists := p.lists
		p.mu.Unlock()
		if lists != nil {
			text = lists()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.table.HeardFrom(now, l.name)
	switch w := what.(type) {
	case *replication.Offer:
		if p.ready {
			p.send(now, p.keeper.HandleOffer(now, l.name, w))
		} else if len(p.early) < earlyMost {
			p.early = append(p.early, early{l.name, w})
		}
	case *replication.Inventory, *replication.Ack:
		if p.origin != nil {
			p.send(now, p.origin.HandleMessage(now, l.name, w))
		}
		p.keeper.HandleMessage(now, l.name, w)
		if a, ok := w.(*replication.Ack); ok {
			if onWay := p.jobs[replication.CopyJob{Stream: a.Stream, To: l.name}]; onWay != nil {
				select {
				case <-onWay:
				default:
				}
			}
		}
	case *listAsk:
		if len(text) > frameMost-64 {
			text = nil
		}
		l.put(&list{Text: text})
	default:
		p.send(now, p.table.HandleMessage(now, l.name, w))
	}
	p.after(now)
	if _, ok := what.(*membership.Update); ok {
		select {
		case <-p.news:
		default:
			close(p.news)
		}
	}
}

// after is done behind whatever has changed something: who lives is handed on, connections that stand are told to those
// who want them, and what has been waited for ends.
func (p *Node) after(now time.Duration) {
	if p.table.IsReplaced() && !p.told {
		if p.joined {
			p.told = true
			close(p.replaced)
			p.log.Error().Err(ErrReplaced).Msg("this node stops")
		} else {
			p.table.StartLaterIncarnation(now)
		}
	}
	if sum := p.table.Digest(); sum != p.sum {
		p.sum = sum
		var lives []replication.Node
		var candidates []replication.Candidate
		for _, m := range p.table.Members() {
			l := replication.Node{Candidate: replication.Candidate{Name: m.Name, Site: m.Site, Machine: m.Machine, IsHealthy: m.Condition == membership.Alive}, Incarnation: m.Incarnation, IsLive: m.Condition.IsLive()}
			if m.Name != p.name {
				candidates = append(candidates, l.Candidate)
			}
			lives = append(lives, l)
		}
		p.keeper.SetNodes(now, lives)
		if p.origin != nil {
			p.send(now, p.origin.SetCandidates(now, candidates))
		}
	}
	if p.origin != nil {
		for _, name := range p.origin.WantedConnections() {
			if len(p.links[name]) > 0 {
				p.send(now, p.origin.Connected(now, name))
			} else {
				p.wants[name] = max(p.wants[name], now+lookEvery)
			}
		}
		p.settle()
	}
}

// tick moves all on by time, and opens connections that are wanted.
func (p *Node) tick(ctx context.Context, g *errgroup.Group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.send(now, p.table.Tick(now))
	if p.origin != nil {
		p.send(now, p.origin.Tick(now))
	}
	if p.ready {
		p.send(now, p.keeper.Tick(now))
	}
	p.after(now)
	if p.origin != nil {
		if stalled := p.origin.StalledFor(now); stalled > p.cfg.SlowAfter.Std() != p.short {
			if p.short = !p.short; p.short {
				p.log.Warn().Interface("holders", p.origin.Holders()).Int("waits", p.origin.UncommittedCount()).Msg("too few hold what is kept")
			} else {
				p.log.Info().Msg("enough hold what is kept")
			}
		}
	}
	if now-p.looked >= lookEvery {
		p.looked = now
		p.look(now)
		p.copies(ctx, g, now)
	}
	for name, until := range p.wants {
		if until < now {
			delete(p.wants, name)
			if len(p.links[name]) == 0 {
				delete(p.letters, name)
			}
			continue
		}
		m, ok := p.table.Get(name)
		t := p.tries[name]
		if !ok || name == p.name || len(p.links[name]) > 0 || p.dialing[name] || now < t.at+t.wait {
			continue
		}
		p.dialing[name] = true
		p.tries[name] = try{now, min(max(2*t.wait, redialFirst), redialMost)}
		g.Go(func() error {
			p.call(ctx, m.Address)
			p.mu.Lock()
			delete(p.dialing, name)
			p.mu.Unlock()
			return nil
		})
	}
}

// Leave tells the others that this node goes in good order, once they have what is still on its way.
func (p *Node) Leave() {
	by := time.Now().Add(flushFor)
	for time.Now().Before(by) {
		p.mu.Lock()
		waits := p.origin != nil && p.origin.Committed() < p.origin.NextNumber()
		p.mu.Unlock()
		if !waits {
			break
		}
		time.Sleep(tickEvery)
	}
	p.mu.Lock()
	now := p.now()
	p.stop = true
	p.table.Leave(now)
	p.send(now, p.table.Tick(now))
	p.after(now)
	p.mu.Unlock()
	time.Sleep(tickEvery) // for the word to be written
}
