package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/disk"
)

const (
	aloneMost   = 5 * time.Second
	closeMost   = 700 * time.Millisecond // for the disk, of the second in which a process ends
	acceptAgain = 10 * time.Millisecond  // after a shortage
	pruneEvery  = time.Minute
	countsEvery = 10 * time.Second

	// A peer that is gone without a word is noticed by the system within about ten seconds.
	keepAliveIdle  = 5 * time.Second
	keepAliveEvery = 2 * time.Second
	keepAliveCount = 3
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount}

// Server is a running control process.
type Server struct {
	config *Config
	log    zerolog.Logger
	start  time.Time
	disk   *disk.Disk
	wake   chan struct{} // of the publishing goroutine
	alone  time.Duration // without a batch of an upstream, after which a start goes by what it holds

	mu          sync.Mutex // never held over a socket or the disk
	store       *distribution.Store
	publisher   *distribution.Publisher
	current     bool
	heard       time.Duration // last batch of an upstream, or the start
	publishing  map[distribution.SubscriptionID]*link
	subscribers map[string]*link // by name
	links       map[*link]bool
	waiting     map[*link]bool // subscribers that are served once this process is current
	connections int
	commands    int
	nodes       nodeTable
	followers   []*follower
	pending     string // last line about a full store, so that it is said once
	counts
}

// counts since the last line of the log.
type counts struct {
	Batches, Received, Entries, Writes, Changes, Refused, CutOff, Wants int
	Bytes                                                               int
}

// Run serves until the context ends.
func Run(ctx context.Context, config *Config, log zerolog.Logger) error {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(config.ListenAddress))
	if err != nil {
		return err
	}
	s, err := open(config, log)
	if err != nil {
		ln.Close()
		return err
	}
	return s.run(ctx, ln)
}

// open reads the disk.
func open(config *Config, log zerolog.Logger) (*Server, error) {
	s := &Server{config: config, log: log, start: time.Now(), wake: make(chan struct{}, 1), alone: aloneMost,
		publishing: map[distribution.SubscriptionID]*link{}, subscribers: map[string]*link{}, links: map[*link]bool{},
		waiting: map[*link]bool{}, nodes: nodeTable{}}
	opened, loaded, err := disk.Open(config.Disk, disk.Options{MaxBytes: config.DiskBytes, Snapshot: s.whole,
		OnFault: func(err error) {
			if err != nil {
				log.Error().Err(err).Msg("disk cannot be written: going on from memory")
			} else {
				log.Info().Msg("disk is written again")
			}
		},
		OnQuarantine: func(path string, why error) {
			log.Error().Err(why).Str("set_aside", path).Msg("disk damaged: its file is set aside")
		}})
	if err != nil {
		return nil, err
	}
	s.disk = opened
	s.restore(loaded)
	return s, nil
}

// restore begins from what the disk held. What an earlier run of this process told others may be more than that, as after it
// was killed or an old copy was put back: it writes under an origin of its own.
func (s *Server) restore(loaded disk.Loaded) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store = distribution.NewStore(s.drawn(), distribution.Limits{})
	s.store.Restore(loaded.Entries, loaded.Vector, loaded.Pruned)
	s.disk.SetOrigin(s.store.Origin())
	s.publisher = distribution.NewPublisher(s.store, s.config.budget())
	s.current = loaded.IsClean && len(s.config.UpstreamAddresses) == 0
	s.log.Info().Str("control", s.config.Name).Stringer("listen", s.config.ListenAddress).Bool("tls", s.config.Keys != nil).
		Str("origin", string(s.store.Origin())).Int("entries", len(loaded.Entries)).Bool("clean", loaded.IsClean).
		Bool("current", s.current).Msg("controlling")
}

func (s *Server) drawn() distribution.Origin {
	return distribution.NewOrigin(s.config.Name, rand.Uint64())
}

// whole is everything that the disk should hold.
func (s *Server) whole() ([]distribution.Entry, distribution.Vector) {
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

func (s *Server) now() time.Duration { return time.Since(s.start) }

func (s *Server) run(ctx context.Context, ln *net.TCPListener) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, f := range s.follow() {
		g.Go(func() error { f.run(ctx); return nil })
	}
	if s.config.sourced() {
		g.Go(func() error { return s.source(ctx) })
	}
	for _, every := range []struct {
		span time.Duration
		do   func()
	}{{startLook, s.lookAtStart}, {reportEvery, s.report}, {pruneEvery, s.prune}, {countsEvery, s.logCounts}} {
		g.Go(func() error { repeat(ctx, every.span, every.do); return nil })
	}
	g.Go(func() error { s.publish(ctx); return nil })
	g.Go(func() error { s.accept(ctx, ln); return nil })
	g.Go(func() error {
		<-ctx.Done()
		return ln.Close()
	})
	err := g.Wait()
	closing, cancel := context.WithTimeout(context.Background(), closeMost)
	defer cancel()
	if fault := s.disk.Close(closing); fault != nil {
		s.log.Error().Err(fault).Msg("disk not closed in good order")
	}
	return err
}

func repeat(ctx context.Context, every time.Duration, do func()) {
	tick := time.NewTicker(every)
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

// pause is false if the context ends before the time is over.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// accept takes connections of subscribers and of commands.
func (s *Server) accept(ctx context.Context, ln *net.TCPListener) {
	var all sync.WaitGroup
	defer all.Wait()
	for {
		nc, err := ln.AcceptTCP()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				nc.Close()
			}
			return
		case err != nil: // shortage passes
			s.log.Warn().Err(err).Msg("accept failed")
			pause(ctx, acceptAgain)
			continue
		}
		nc.SetKeepAliveConfig(keepAlive)
		all.Go(func() { s.lead(ctx, nc) })
	}
}

// refused notes a peer that broke the protocol or that there is no room for.
func (s *Server) refused(from string, why error) {
	s.log.Warn().Str("from", from).Err(why).Msg("peer refused")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Refused++
}

// signal wakes the publishing goroutine.
func (s *Server) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Server) logCounts() {
	s.mu.Lock()
	c := s.counts
	s.counts = counts{}
	entries, size := s.store.Size()
	subscribers, current, revision := len(s.subscribers), s.current, s.store.Vector().Total()
	connected := 0
	for _, f := range s.followers {
		if _, ok := f.subscriber.Upstream(); ok {
			connected++
		}
	}
	s.mu.Unlock()
	s.log.Info().Bool("current", current).Uint64("revision", revision).Int("entries", entries).Int("entry_bytes", size).
		Int("subscribers", subscribers).Int("upstreams", connected).Int("batches", c.Batches).Int("bytes", c.Bytes).
		Int("received", c.Received).Int("merged", c.Entries).Int("writes", c.Writes).Int("changes", c.Changes).Int("wants", c.Wants).
		Int("refused", c.Refused).Int("cut_off", c.CutOff).Int("disk_pending", s.disk.PendingCount()).Msg("counts")
}

// prune forgets deletions that everybody has heard of or is to be told whole services without.
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

// describe is a peer in log lines.
func describe(name, from string) string { return fmt.Sprintf("%s at %s", name, from) }
