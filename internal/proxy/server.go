package proxy

import (
	"context"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"fernvane/internal/cluster/peer"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/watch"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
)

// memoryLimitShare is the share of the memory limit that the garbage collector keeps to; the rest is its slack.
const memoryLimitShare = 0.75

// Server is a running node. Its parts are set before its goroutines start; nil parts are off. drain sets the three times of a shutdown
// before isDraining.
type Server struct {
	cfg             Config
	logger          zerolog.Logger
	dispatcher      *dispatch.Dispatcher
	discoveryTarget atomic.Pointer[watch.Target]
	planners        *plannerClient
	journal         *intentJournal
	endpointCache   *endpointCache
	peers           *peer.Node
	distribution    *distributionApplier
	dialer          net.Dialer
	startedAt       time.Time
	clientTasks     errgroup.Group // one for each connection, each request that shares one, and each hedged request

	// The steps of a shutdown, in their order. The times are set before isDraining.

	isDraining         atomic.Bool // answers end their connections
	isListenerClosing  atomic.Bool // listening ends as soon as no connection comes
	rejectsNewRequests atomic.Bool // connections that requests share admit none any more
	acceptUntil        time.Time   // when listening ends at the latest
	answerBy           time.Time   // deadline of requests that are accepted while the node drains, for it may be killed then
	endBy              time.Time   // Run returns by then, whatever is still open
}

// Run serves until it is told to stop, and then until what was accepted is answered or endBy has passed. It returns why it could not serve, and
// peer.ErrReplaced where another process of the same name took its place.
func Run(signals Signals, cfg Config, log zerolog.Logger) error {
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(cfg.Limits.MemoryMB<<20)))
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return err
	}
	return run(signals, cfg, log, ln)
}

// run is Run on a listener, which it closes.
func run(signals Signals, cfg Config, log zerolog.Logger, ln *net.TCPListener) error {
	defer ln.Close()
	s := &Server{cfg: cfg, logger: log, startedAt: time.Now()}
	s.dispatcher = dispatch.New(cfg.Settings, cfg.Seed, cfg.Limits, cfg.newDecider(), dispatch.WithIdleRetention(cfg.Retention))
	defer s.dispatcher.Stop()
	var replaced <-chan struct{}
	if cfg.Peers != nil {
		leave, err := s.joinTier()
		if err != nil {
			return err
		}
		defer leave()
		replaced = s.peers.Replaced()
	}
	if err := s.startJournal(); err != nil {
		return err
	}
	defer s.journal.close()
	var fastcgiListener *net.TCPListener
	if cfg.Routes != nil && cfg.Routes.Listen.IsValid() {
		var err error
		if fastcgiListener, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(cfg.Routes.Listen)); err != nil {
			return err
		}
		defer fastcgiListener.Close()
	}
	if err := s.startSources(); err != nil {
		return err
	}
	s.applyInitialList()
	return s.serve(signals, replaced, ln, fastcgiListener)
}

// startJournal opens the journal where the node keeps one. A node of a tier without a journal joins the tier all the same, and holds replicas
// of the other nodes' records.
func (s *Server) startJournal() (err error) {
	if s.cfg.Journal != nil {
		s.journal, err = openJournal(s.cfg, s.logger, s.peers)
		return err
	}
	if s.peers != nil {
		s.peers.Join(context.Background(), tierJoinTimeout)
		s.peers.StartJournal("", false)
	}
	return nil
}

// startSources makes the parts that bring servers, routes and quotas, before any of them runs.
func (s *Server) startSources() (err error) {
	s.discoveryTarget.Store(watch.NewTarget(s.cfg.Discovery))
	if s.cfg.Planners != nil {
		s.planners = newPlannerClient(s.cfg.Planners, s.cfg.Name, s.dispatcher, s.cfg.Settings.NodeCount, s.logger)
	}
	if s.cfg.Routes != nil {
		s.dispatcher.SetRoutes(s.cfg.Routes)
	}
	if s.cfg.Snapshot != nil {
		if s.endpointCache, err = newEndpointCache(s.cfg, s.dispatcher, s.logger); err != nil {
			return err
		}
		if s.peers != nil {
			s.endpointCache.peers = s.peers
			s.peers.SetEndpointList(s.endpointCache.encode)
		}
	}
	if s.planners != nil {
		s.planners.endpointCache = s.endpointCache
	}
	if s.cfg.Distribution != nil {
		s.distribution, err = newDistributionApplier(s.cfg, s.dispatcher, s.logger)
	}
	return err
}

// runPart runs a part of the node until the node ends. A part that fails is logged, and the node serves on with what it knows.
func (s *Server) runPart(ctx context.Context, name string, run func(context.Context) error) {
	if err := run(ctx); err != nil {
		s.logger.Error().Err(err).Str("part", name).Msg("part failed")
	}
}

// serve runs all parts until the node is told to stop. The error is why it could not accept connections, or peer.ErrReplaced.
func (s *Server) serve(signals Signals, replaced <-chan struct{}, ln, fastcgiListener *net.TCPListener) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	startPart := func(name string, run func(context.Context) error) {
		g.Go(func() error {
			s.runPart(ctx, name, run)
			return nil
		})
	}
	if s.cfg.Registry != nil {
		startPart("registry", s.followRegistry)
	} else {
		startPart("discovery", s.followDiscovery)
	}
	if s.planners != nil {
		startPart("planners", s.planners.run)
	}
	if s.distribution != nil {
		startPart("distribution", s.distribution.client.Run)
		s.distribution.awaitStart(ctx, signals.Stop)
	}
	if s.endpointCache != nil {
		startPart("endpoint cache evaluation", s.endpointCache.evaluate)
		startPart("endpoint cache writer", s.endpointCache.writePeriodically)
	}
	s.logger.Info().Str("node", s.cfg.Name).Stringer("listen", s.cfg.Listen).Int("connections", s.cfg.Limits.MaxConnections()).
		Int("servers", len(s.cfg.SavedList.Hosts)).Msg("serving")
	startPart("counts", s.logCounts)
	startPart("reload", func(ctx context.Context) error { return s.reloadOnSignal(ctx, signals.Reload) })
	g.Go(func() error {
		defer cancel()
		return s.acceptUntilDrained(ln, fastcgiListener)
	})
	g.Go(func() error { return s.awaitStop(ctx, signals.Stop, replaced, ln, fastcgiListener) })
	return g.Wait()
}

// acceptUntilDrained accepts connections until the node stops, and returns when what was accepted is answered or endBy has passed.
func (s *Server) acceptUntilDrained(ln, fastcgiListener *net.TCPListener) error {
	listeners := errgroup.Group{}
	listeners.Go(func() error { return s.accept(ln, s.serveHTTPConn) })
	if fastcgiListener != nil {
		listeners.Go(func() error { return s.accept(fastcgiListener, s.serveFastCGIConn) })
	}
	if err := listeners.Wait(); err != nil {
		return err
	}
	s.awaitClients()
	if s.endpointCache != nil {
		s.endpointCache.writeFinal()
	}
	return nil
}

// joinTier makes the node a member of its tier, until leave is called.
func (s *Server) joinTier() (leave func(), err error) {
	if s.peers, err = peer.New(s.cfg.Peers, s.cfg.Name, s.cfg.Filesystem, s.logger); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.peers.Run(ctx) }()
	return func() {
		s.peers.Leave()
		cancel()
		if err := <-done; err != nil {
			s.logger.Error().Err(err).Msg("peer connections failed")
		}
	}, nil
}

// applyInitialList hands over the list that this node last had, from the configuration or from its own disk.
func (s *Server) applyInitialList() {
	if s.cfg.SavedListErr != nil {
		s.logger.Warn().Err(s.cfg.SavedListErr).Msg("saved endpoint list unreadable")
	}
	isSuspect := false
	if s.endpointCache != nil {
		s.cfg.SavedList, isSuspect = s.endpointCache.load(s.cfg.SavedList)
	}
	s.logSkippedEntries(s.cfg.SavedList)
	if s.planners != nil {
		s.planners.applySavedList(s.cfg.SavedList, isSuspect)
	}
	if !isSuspect {
		s.dispatcher.ApplyList(s.cfg.SavedList, endpoints.SourceConfig)
	}
}

func (s *Server) logSkippedEntries(l http1.EndpointList) {
	for _, err := range l.Skipped {
		s.logger.Warn().Err(err).Msg("endpoint list entry skipped")
	}
}
