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

// memoryLimitShare is the share of the node's memory limit that is set as the memory limit of the Go runtime. The rest is headroom, because
// that limit is a soft one, which the runtime may exceed.
const memoryLimitShare = 0.75

// Server is a running node. Its components are set before its goroutines start; nil components are disabled. drain sets the three times of a
// shutdown before isDraining.
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
	responses       responseHistory // of servers that speak HTTP
	startedAt       time.Time
	clientTasks     errgroup.Group // one per HTTP connection, per FastCGI connection, per FastCGI request, and per hedged request

	// Steps of a shutdown, in order. The times are set before isDraining.

	isDraining         atomic.Bool // each answer closes its connection
	isListenerClosing  atomic.Bool // each listener closes once no more connections arrive
	rejectsNewRequests atomic.Bool // FastCGI connections admit no more requests
	acceptDeadline     time.Time   // the listeners close by then, even if connections still arrive
	answerDeadline     time.Time   // deadline of requests accepted while draining, because the platform may kill the node then
	shutdownDeadline   time.Time   // Run returns by then, even if connections are still open
}

// Run serves requests until signals.Stop is closed, and then until all accepted requests are answered or the shutdown deadline has passed.
// It returns an error if the node cannot start or accept connections, and peer.ErrReplaced if another process with the same node name has
// replaced this one.
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

// run implements Run on an open listener, which it closes.
func run(signals Signals, cfg Config, log zerolog.Logger, ln *net.TCPListener) error {
	defer ln.Close()
	s := &Server{cfg: cfg, logger: log, startedAt: time.Now()}
	s.dispatcher = dispatch.New(cfg.Settings, cfg.Seed, cfg.Limits, cfg.newDecider(), dispatch.WithIdleRetention(cfg.Retention))
	defer s.dispatcher.Stop()
	var replaced <-chan struct{}
	if cfg.Peers != nil {
		leave, err := s.joinCluster()
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

// startJournal opens the journal if one is configured. A cluster member without a journal joins the cluster too, and stores replicas of the
// other nodes' records.
func (s *Server) startJournal() (err error) {
	if s.cfg.Journal != nil {
		s.journal, err = openJournal(s.cfg, s.logger, s.peers)
		return err
	}
	if s.peers != nil {
		s.peers.Join(context.Background(), clusterJoinTimeout)
		s.peers.StartJournal("", false)
	}
	return nil
}

// startSources creates the components that supply servers, routes and quotas, none of which runs yet, and puts the routes of the operator's
// file in effect.
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

// runComponent runs a component until the node stops. If the component fails, its error is logged and the node continues to serve with the
// state that it has.
func (s *Server) runComponent(ctx context.Context, name string, run func(context.Context) error) {
	if err := run(ctx); err != nil {
		s.logger.Error().Err(err).Str("part", name).Msg("component failed")
	}
}

// serve runs all components until the shutdown is complete. It returns an error if connections cannot be accepted, or peer.ErrReplaced.
func (s *Server) serve(signals Signals, replaced <-chan struct{}, ln, fastcgiListener *net.TCPListener) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	startComponent := func(name string, run func(context.Context) error) {
		g.Go(func() error {
			s.runComponent(ctx, name, run)
			return nil
		})
	}
	if s.cfg.Registry != nil {
		startComponent("registry", s.followRegistry)
	} else {
		startComponent("discovery", s.followDiscovery)
	}
	if s.planners != nil {
		startComponent("planners", s.planners.run)
	}
	if s.distribution != nil {
		startComponent("distribution", s.distribution.client.Run)
		s.distribution.awaitStart(ctx, signals.Stop)
	}
	if s.endpointCache != nil {
		startComponent("endpoint cache evaluation", s.endpointCache.evaluate)
		startComponent("endpoint cache writer", s.endpointCache.writePeriodically)
	}
	s.logger.Info().Str("node", s.cfg.Name).Stringer("listen", s.cfg.Listen).Int("connections", s.cfg.Limits.MaxConnections()).
		Int("servers", len(s.cfg.SavedList.Endpoints)).Msg("serving")
	startComponent("counts", s.logCounts)
	startComponent("reload", func(ctx context.Context) error { return s.reloadOnSignal(ctx, signals.Reload) })
	g.Go(func() error {
		defer cancel()
		return s.acceptUntilDrained(ln, fastcgiListener)
	})
	g.Go(func() error { return s.awaitStop(ctx, signals.Stop, replaced, ln, fastcgiListener) })
	return g.Wait()
}

// acceptUntilDrained accepts connections until the listeners are closed, and returns when all accepted requests are answered or
// shutdownDeadline has passed.
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

// joinCluster starts the connections to the other nodes of the cluster. leave announces that the node leaves and closes the connections.
func (s *Server) joinCluster() (leave func(), err error) {
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

// applyInitialList applies the endpoint list that the node starts with: the cached list if the endpoint cache has a usable one, otherwise
// the list of the configuration. A cached list is suspect: the endpoint cache itself passes its usable servers to the dispatcher.
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
