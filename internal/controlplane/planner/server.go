package planner

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/plan"
	"fernvane/internal/controlplane/planconfig"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/zookeeper"
)

// acceptRetryDelay is the delay after a failed accept, which is usually caused by a temporary shortage of resources.
const (
	acceptRetryDelay = 10 * time.Millisecond

	maxPendingHandshakes = 64      // accepted connections that have not identified themselves
	frameMemoryBytes     = 4 << 20 // of long frames that are received
)

// Server is a running planner. It contains the network connections and the state machine of package plan.
type Server struct {
	config    *planconfig.Planner
	log       zerolog.Logger
	startedAt time.Time

	handshakes  *framing.Handshakes
	frameMemory *framing.MemoryBudget

	mu           sync.Mutex // not held during network I/O
	planner      *plan.Planner
	discovered   map[string]incarnation.Entry // latest entries from discovery or the registry, by server ID
	listRevision uint64                       // of the latest list from discovery
	reported     zookeeper.Reports            // of a registry: servers that forwarders have and that it has not listed; mu is held to add them
	hasServers   bool                         // set after the first complete list from discovery or change from the registry; required to compute plans
	forwarders   map[string]*forwarderConn    // by forwarder name
	connections  int                          // open connections, including those before the handshake
	counts       counts
}

// Run runs a planner until the context is canceled. It returns an error if listening on the configured address or following the
// registry fails.
func Run(ctx context.Context, config *planconfig.Planner, log zerolog.Logger) error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(config.ListenAddress))
	if err != nil {
		return err
	}
	return run(ctx, config, log, listener)
}

func run(ctx context.Context, config *planconfig.Planner, log zerolog.Logger, listener *net.TCPListener) error {
	now := time.Now()
	s := &Server{
		config:    config,
		log:       log,
		startedAt: now,

		handshakes:  framing.NewHandshakes(maxPendingHandshakes),
		frameMemory: framing.NewMemoryBudget(frameMemoryBytes),

		planner:    plan.NewPlanner(now.UnixMilli()),
		discovered: map[string]incarnation.Entry{},
		reported:   zookeeper.NewReports(),
		forwarders: map[string]*forwarderConn{},
	}
	log.Info().Str("planner", config.Name).Stringer("listen", config.ListenAddress).Bool("tls", config.Keys != nil).Msg("planner started")
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.followServers(ctx) })
	g.Go(func() error { s.computePlans(ctx); return nil })
	g.Go(func() error { s.runCounts(ctx); return nil })
	g.Go(func() error { s.accept(ctx, listener); return nil })
	g.Go(func() error {
		defer listener.Close()
		<-ctx.Done()
		return nil
	})
	return g.Wait()
}

// now returns the time since the server's start.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// accept accepts and serves connections of forwarders until the context is canceled.
func (s *Server) accept(ctx context.Context, listener *net.TCPListener) {
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		nc, err := listener.AcceptTCP()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			s.log.Warn().Err(err).Msg("accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		handshake := s.handshakes.Begin(ctx, nc)
		if handshake == nil {
			return
		}
		connections.Go(func() {
			defer handshake.End()
			s.serveConnection(ctx, nc, handshake)
		})
	}
}

// computePlans computes plans at the configured interval until the context is canceled.
func (s *Server) computePlans(ctx context.Context) {
	tick := time.NewTicker(s.config.Interval.Std())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.computeOnce()
		}
	}
}

// computeOnce computes all plans and passes each connected forwarder's plan to its connection.
func (s *Server) computeOnce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasServers {
		return
	}
	began := time.Now()
	fleet := s.planner.ComputePlans(s.now())
	for name, f := range s.forwarders {
		f.replacePending(fleet.ForForwarder(name))
	}
	s.counts.computations++
	s.counts.slowestPlan = max(s.counts.slowestPlan, time.Since(began))
}
