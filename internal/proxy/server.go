// Package proxy runs a node on sockets, from its start to its stop: it listens, follows discovery, and
// leads each operation through what the module decides.
package proxy

import (
	"context"
	"math"
	"net"
	"os"
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
	"fernvane/internal/proxy/shadow"
	"fernvane/internal/route"
)

const (
	memoryLimitShare    = 0.75                   // of the memory limit that the collector keeps to; the rest is its slack
	arrivalDuration     = 600 * time.Millisecond // new connections come for up to 0.4 s after SIGTERM
	acceptQuietDuration = 150 * time.Millisecond // without a new connection, after that, before listening ends
	extraAcceptDuration = 500 * time.Millisecond // after that, if they never cease: what is taken still wants its answer
	countsInterval      = 10 * time.Second       // between lines with counts; a glance at the log shows the last minutes
	killGrace           = 700 * time.Millisecond // SIGKILL comes the longest abandon time and this after SIGTERM
	killMargin          = 200 * time.Millisecond // to be gone before that
	maxKillAbandonTime  = 3 * time.Second        // the most that an abandon time counts there
)

// Server is a running node.
type Server struct {
	cfg                Config
	logger             zerolog.Logger
	dispatcher         *dispatch.Dispatcher
	discoveryTarget    atomic.Pointer[watch.Target]
	planners           *plannerClient       // nil: there are none
	journal            *bindingJournal      // nil: none is kept
	endpointCache      *endpointCache       // nil: no list of servers is kept on disk
	peers              *peer.Node           // nil: no other node is known
	distribution       *distributionApplier // nil: nothing is distributed to this node
	dialer             net.Dialer
	startedAt          time.Time
	isDraining         atomic.Bool    // answers end their connections
	isListenerClosing  atomic.Bool    // listening ends as soon as no connection comes
	rejectsNewRequests atomic.Bool    // connections that requests share take none any more
	acceptUntil        time.Time      // when listening ends at the latest; set before draining, as the next two
	answerBy           time.Time      // when what is taken from then on must have its answer, for the node may be killed
	endBy              time.Time      // when all that was taken before has its answer
	clientTasks        errgroup.Group // one for each connection
}

// Signals are what a node is told from outside: to read its configuration again, and to stop, by a close.
type Signals struct {
	Reload <-chan os.Signal
	Stop   <-chan struct{}
}

// Run serves until it is told to stop and then finishes what has been taken.
func Run(tell Signals, cfg Config, log zerolog.Logger) error {
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(cfg.Limits.MemoryMB<<20)))
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return err
	}
	return run(tell, cfg, log, ln)
}

func run(tell Signals, cfg Config, log zerolog.Logger, ln *net.TCPListener) error {
	defer ln.Close()
	s := &Server{cfg: cfg, logger: log, startedAt: time.Now(), dispatcher: dispatch.New(cfg.Settings, cfg.Seed, cfg.Limits, cfg.newDecider())}
	if cfg.Hoards {
		s.dispatcher.Hoard()
	}
	defer s.dispatcher.Stop()
	var replaced <-chan struct{}
	if cfg.Peers != nil {
		end, err := s.joinTier()
		if err != nil {
			return err
		}
		defer end()
		replaced = s.peers.Replaced()
	}
	if cfg.Journal != nil {
		var err error
		if s.journal, err = openJournal(cfg, log, s.peers); err != nil {
			return err
		}
		defer s.journal.close()
	} else if s.peers != nil {
		s.peers.Join(context.Background(), joinTimeout)
		s.peers.StartJournal("", false)
	}
	var cgi *net.TCPListener
	if cfg.Routes != nil && cfg.Routes.Listen.IsValid() {
		var err error
		if cgi, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(cfg.Routes.Listen)); err != nil {
			return err
		}
		defer cgi.Close()
	}
	s.discoveryTarget.Store(watch.NewTarget(cfg.Discovery))
	if cfg.Planners != nil {
		s.planners = newPlannerClient(cfg.Planners, cfg.Name, s.dispatcher, cfg.Settings.NodeCount, log)
	}
	if cfg.Routes != nil {
		s.dispatcher.SetRoutes(cfg.Routes)
	}
	if cfg.Snapshot != nil {
		var err error
		if s.endpointCache, err = newEndpointCache(cfg, s.dispatcher, log); err != nil {
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
	if cfg.Distribution != nil {
		var err error
		if s.distribution, err = newDistributionApplier(cfg, s.dispatcher, log); err != nil {
			return err
		}
	}
	s.applyInitialList()

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	if cfg.Registry != nil {
		g.Go(func() error { return s.followRegistry(ctx) })
	} else {
		g.Go(func() error { return s.followDiscovery(ctx) })
	}
	if s.planners != nil {
		g.Go(func() error { return s.planners.run(ctx) })
	}
	if s.distribution != nil {
		g.Go(func() error { return s.distribution.client.Run(ctx) })
		s.distribution.awaitStart(ctx, tell.Stop)
	}
	if s.endpointCache != nil {
		g.Go(func() error { return s.endpointCache.evaluate(ctx) })
		g.Go(func() error { return s.endpointCache.writePeriodically(ctx) })
	}
	log.Info().Str("node", cfg.Name).Stringer("listen", cfg.Listen).Int("connections", cfg.Limits.MaxConnections()).
		Int("servers", len(cfg.SavedList.Hosts)).Msg("serving")
	g.Go(func() error { return s.logCounts(ctx) })
	g.Go(func() error { return s.reloadOnSignal(ctx, tell.Reload) })
	g.Go(func() error {
		defer cancel()
		both := errgroup.Group{}
		both.Go(func() error { return s.accept(ln, s.serveHTTPConn) })
		if cgi != nil {
			both.Go(func() error { return s.accept(cgi, s.serveFastCGIConn) })
		}
		if err := both.Wait(); err != nil {
			return err
		}
		s.awaitClients()
		if s.endpointCache != nil {
			s.endpointCache.writeFinal()
		}
		return nil
	})
	g.Go(func() error {
		select {
		case <-tell.Stop:
			s.drain(ln, cgi)
		case <-replaced:
			s.drain(ln, cgi)
			return peer.ErrReplaced
		case <-ctx.Done():
		}
		return nil
	})
	return g.Wait()
}

// meet has the node take part in its tier, until end is called.
func (s *Server) joinTier() (end func(), err error) {
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
			s.logger.Error().Err(err).Msg("neighbours lost")
		}
	}, nil
}

// known hands over the list that this node last had.
func (s *Server) applyInitialList() {
	if s.cfg.SavedListErr != nil {
		s.logger.Warn().Err(s.cfg.SavedListErr).Msg("saved list unreadable")
	}
	suspect := false
	if s.endpointCache != nil {
		s.cfg.SavedList, suspect = s.endpointCache.load(s.cfg.SavedList)
	}
	s.logSkippedEntries(s.cfg.SavedList)
	if s.planners != nil {
		s.planners.applySavedList(s.cfg.SavedList, suspect)
	}
	if !suspect {
		s.dispatcher.ApplyList(s.cfg.SavedList, endpoints.SourceConfig)
	}
}

func (s *Server) logSkippedEntries(l http1.EndpointList) {
	for _, err := range l.Skipped {
		s.logger.Warn().Err(err).Msg("list entry skipped")
	}
}

// drain ends the listening once no connection comes any more. Until then all answers end their
// connections; what is idle after that is closed.
func (s *Server) drain(listeners ...*net.TCPListener) {
	s.logger.Info().Msg("stopping")
	now := time.Now()
	s.acceptUntil = now.Add(arrivalDuration + extraAcceptDuration + s.cfg.shutdownDelays.extraTime)
	s.answerBy = now.Add(min(s.longestAbandonTime(), maxKillAbandonTime) + killGrace - killMargin + s.cfg.shutdownDelays.extraTime)
	s.endBy = now.Add(s.longestAbandonTime() + answerTimeout)
	if s.endBy.Before(s.answerBy) {
		s.endBy = s.answerBy
	}
	s.isDraining.Store(true)
	if s.cfg.shutdownDelays.awaitArrivals != nil {
		s.cfg.shutdownDelays.awaitArrivals()
	} else {
		time.Sleep(arrivalDuration)
	}
	s.isListenerClosing.Store(true)
	for _, ln := range listeners {
		if ln != nil {
			ln.SetDeadline(pastDeadline) // wakes accept, which goes on until it has waited in vain
		}
	}
}

// finish closes what is idle and waits for what was taken. It does not end the process over what is open, however long
// that may take: an answer that is not there when the node is killed was not lost by it.
func (s *Server) awaitClients() {
	s.rejectsNewRequests.Store(true)
	done := make(chan struct{})
	go func() {
		s.clientTasks.Wait()
		close(done)
	}()
	again := time.NewTicker(10 * time.Millisecond)
	defer again.Stop()
	for time.Now().Before(s.endBy) {
		s.dispatcher.CloseIdleClients()
		select {
		case <-done:
			s.logger.Info().Msg("stopped")
			return
		case <-again.C:
		}
	}
	s.logger.Warn().Msg("stopped with connections open")
}

// longest is the longest abandon time.
func (s *Server) longestAbandonTime() time.Duration {
	longest := time.Duration(0)
	for _, t := range s.cfg.Settings.TrafficTypes {
		longest = max(longest, t.ClientTimeout)
	}
	return longest
}

// report logs what became of operations and hops, while there are any.
func (s *Server) logCounts(ctx context.Context) error {
	tick := time.NewTicker(countsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		c := s.dispatcher.Counts()
		from, age := s.dispatcher.LastAnnouncement()
		hops := zerolog.Dict()
		c.EachAttemptResult(func(e dispatch.AttemptResult, n int) { hops.Int(e.String(), n) })
		line := s.logger.Info()
		if s.cfg.Shadow != nil {
			seen := s.cfg.Shadow.TakeCounts()
			watched := zerolog.Dict().Int("compared", seen.Compared).Bool("failed", seen.HasFailed)
			seen.Each(func(k shadow.Difference, n int) { watched.Int(k.String(), n) })
			line.Dict("watch", watched)
		}
		if s.distribution != nil {
			s.distribution.addStatus(line)
		}
		line.Int("handled", c.Responded).Int("denied", c.Rejected).Int("written_off", c.Failed).
			Int("left", c.Disconnected).Int("no_room", c.NoCapacity).Int("limited", c.RouteLimited).Int("copies", c.Hedges).Dict("hops", hops).
			Int("open", c.OpenRequests).Int("clients", c.ClientConnections).Int("servers", c.ServerConnections).
			Stringer("list_from", from).Float64("list_age_s", age.Round(time.Second/10).Seconds()).Msg("counts")
		s.dispatcher.RouteCounts(func(name string, inHand int, c route.GateCounts) {
			s.logger.Info().Str("route", name).Int("in_hand", inHand).Int("taken", c.Admitted).Int("over_rate", c.RateExceeded).
				Int("no_place", c.QueueFull).Int("over_tenant", c.TenantShareExceeded).Msg("route")
		})
	}
}
