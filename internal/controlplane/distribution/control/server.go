package control

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/disk"
)

const (
	defaultStartTimeout = 5 * time.Second        // without a batch of an upstream, after which a starting process serves its stored entries
	diskCloseTimeout    = 700 * time.Millisecond // part of the one second that a shutdown may take in total
	pruneInterval       = time.Minute
	startCheckInterval  = 100 * time.Millisecond // between checks of the start timeout
)

// Server is a running control process.
type Server struct {
	config        *Config
	log           zerolog.Logger
	startedAt     time.Time
	startTimeout  time.Duration // defaultStartTimeout, except in tests
	disk          *disk.Disk
	wakePublish   chan struct{} // wakes the publishing goroutine
	becameCurrent chan struct{} // closed when isCurrent is set
	handshakes    *framing.Handshakes
	frameMemory   *framing.MemoryBudget

	mu            sync.Mutex // not held during I/O on sockets or the disk
	store         *distribution.Store
	publisher     *distribution.Publisher
	isCurrent     bool            // subscribers are served, and writes accepted
	sourced       *sourcedServers // nil until the source is followed
	lastBatch     time.Duration   // time of the last batch of an upstream; 0 for none since the start
	followers     []*follower
	links         linkTable
	nodes         nodeTable
	unstored      []distribution.Rejection // entries rejected because the store is full, since the last complete batch
	lastRejection string                   // last logged reason of a rejection, to log each once
	counts        counts
}

// Run runs a control process until the context ends. It returns an error if the process cannot start, as when its address or
// its disk is in use.
func Run(ctx context.Context, config *Config, log zerolog.Logger) error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(config.ListenAddress))
	if err != nil {
		return err
	}
	s, err := newServer(config, log)
	if err != nil {
		listener.Close()
		return err
	}
	return s.run(ctx, listener)
}

// newServer opens the disk and returns a server with the entries stored there.
func newServer(config *Config, log zerolog.Logger) (*Server, error) {
	s := &Server{
		config:        config,
		log:           log,
		startedAt:     time.Now(),
		startTimeout:  defaultStartTimeout,
		wakePublish:   make(chan struct{}, 1),
		becameCurrent: make(chan struct{}),
		handshakes:    framing.NewHandshakes(maxPendingHandshakes),
		frameMemory:   framing.NewMemoryBudget(frameMemoryBytes),
		links:         newLinkTable(),
		nodes:         nodeTable{},
	}
	opened, loaded, err := disk.Open(config.Disk, disk.Options{
		MaxBytes: config.DiskBytes,
		OnFault:  s.diskFault,
		OnQuarantine: func(path string, cause error) {
			log.Error().Err(cause).Str("set_aside", path).Msg("damaged disk file renamed")
		},
		Snapshot: s.snapshot,
	})
	if err != nil {
		return nil, err
	}
	s.disk = opened
	s.restore(loaded)
	return s, nil
}

func (s *Server) diskFault(err error) {
	if err != nil {
		s.log.Error().Err(err).Msg("disk not writable, continuing from memory")
	} else {
		s.log.Info().Msg("disk writable again")
	}
}

// restore initializes store and publisher from the entries on disk. An earlier run of this process may have published more
// entries, as after a kill or after the disk was replaced by an old copy, so each run writes under a new origin. Only after
// a clean shutdown is a process without upstreams current immediately: otherwise nodes and other control processes may have
// entries that its disk lacks, which it requests from them before it is current.
func (s *Server) restore(loaded disk.Loaded) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store = distribution.NewStore(s.newOrigin(), s.config.StoreLimits)
	s.store.Restore(loaded.Entries, loaded.Vector, loaded.Pruned)
	s.disk.SetOrigin(s.store.Origin())
	s.publisher = distribution.NewPublisher(s.store, s.config.budget())
	if loaded.IsClean && len(s.config.UpstreamAddresses) == 0 {
		s.isCurrent = true
		close(s.becameCurrent)
	}
	s.log.Info().Str("control", s.config.Name).Stringer("listen", s.config.ListenAddress).Bool("tls", s.config.Keys != nil).
		Str("origin", string(s.store.Origin())).Int("entries", len(loaded.Entries)).Bool("clean", loaded.IsClean).
		Bool("current", s.isCurrent).Msg("control process started")
}

func (s *Server) newOrigin() distribution.Origin {
	return distribution.NewOrigin(s.config.Name, rand.Uint64())
}

// snapshot returns all entries and the vector, for the disk to save again.
func (s *Server) snapshot() ([]distribution.Entry, distribution.Vector) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := s.store.KeysSince(nil, nil, true)
	all := make([]distribution.Entry, 0, len(keys))
	for _, k := range keys {
		e, _ := s.store.Entry(k)
		all = append(all, e)
	}
	return all, s.store.Vector().Clone()
}

// now returns the time since the server's start.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// run starts the server's goroutines, waits for them to return and closes the disk.
func (s *Server) run(ctx context.Context, listener *net.TCPListener) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, f := range s.newFollowers() {
		g.Go(func() error { f.run(ctx); return nil })
	}
	if s.config.hasSource() {
		g.Go(func() error { return s.runSource(ctx) })
	}
	for _, task := range []struct {
		interval time.Duration
		do       func()
	}{
		{startCheckInterval, s.checkStart},
		{reportInterval, s.reportNodes},
		{pruneInterval, s.prune},
		{countsInterval, s.logCounts},
	} {
		g.Go(func() error { repeat(ctx, task.interval, task.do); return nil })
	}
	g.Go(func() error { s.publish(ctx); return nil })
	g.Go(func() error { s.accept(ctx, listener); return nil })
	g.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	err := g.Wait()
	closing, cancel := context.WithTimeout(context.Background(), diskCloseTimeout)
	defer cancel()
	if closeErr := s.disk.Close(closing); closeErr != nil {
		s.log.Error().Err(closeErr).Msg("disk not closed cleanly")
	}
	return err
}

// repeat calls do at an interval until the context ends.
func repeat(ctx context.Context, interval time.Duration, do func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			do()
		}
	}
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// checkStart lets a starting process serve its stored entries after startTimeout without a batch of an upstream.
func (s *Server) checkStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isCurrent && s.now()-s.lastBatch >= s.startTimeout {
		s.becomeCurrent("no upstream")
	}
}

// becomeCurrent marks this process as current and starts to serve the waiting subscribers. s.mu is held.
func (s *Server) becomeCurrent(by string) {
	if s.isCurrent {
		return
	}
	s.isCurrent = true
	close(s.becameCurrent)
	entries, _ := s.store.Size()
	s.log.Info().Str("by", by).Int("entries", entries).Uint64("revision", s.store.Vector().Total()).Dur("after", s.now()).Msg("became current")
	for l := range s.links.waiting {
		s.startSending(l, l.subscription)
	}
	clear(s.links.waiting)
}

// renewOriginIfStale replaces the origin if other stores cover more writes of it than this process has made. Random origins make
// this practically impossible. s.mu is held.
func (s *Server) renewOriginIfStale() {
	if !s.store.IsStale() {
		return
	}
	before := s.store.Origin()
	rewritten := s.store.RenewOrigin(time.Now(), s.newOrigin())
	s.disk.SetOrigin(s.store.Origin())
	s.disk.Save(rewritten, nil, s.store.Vector())
	s.publisher.EntriesChanged(s.now(), rewritten)
	s.log.Warn().Str("before", string(before)).Str("origin", string(s.store.Origin())).Int("rewritten", len(rewritten)).Msg("stale origin replaced")
}

// prune removes deletions whose retention has expired. Subscribers that were not sent them receive a full sync.
func (s *Server) prune() {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := s.store.PruneDeletions(distribution.ClockAt(time.Now().Add(-s.config.DeletionRetention.Std())))
	if len(keys) == 0 {
		return
	}
	s.publisher.DeletionsPruned(s.now(), keys)
	s.disk.Prune(keys, s.store.Pruned())
}
