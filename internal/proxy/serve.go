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
	memoryShare  = 0.75                   // of the memory limit that the collector keeps to; the rest is its slack
	comingFor    = 600 * time.Millisecond // new connections come for up to 0.4 s after SIGTERM
	quietFor     = 150 * time.Millisecond // without a new connection, after that, before listening ends
	endlessFor   = 500 * time.Millisecond // after that, if they never cease: what is taken still wants its answer
	reportEvery  = 10 * time.Second       // between lines with counts; a glance at the log shows the last minutes
	killAfter    = 700 * time.Millisecond // SIGKILL comes the longest abandon time and this after SIGTERM
	killSlack    = 200 * time.Millisecond // to be gone before that
	longestAwait = 3 * time.Second        // the most that an abandon time counts there
)

// Server is a running node.
type Server struct {
	cfg          Config
	log          zerolog.Logger
	fleet        *dispatch.Dispatcher
	discovery    atomic.Pointer[watch.Target]
	planners     *planners    // nil: there are none
	journal      *journal     // nil: none is kept
	kept         *listKeeper  // nil: no list of servers is kept on disk
	peers        *peer.Node   // nil: no other node is known
	distribution *distributed // nil: nothing is distributed to this node
	dialer       net.Dialer
	began        time.Time
	draining     atomic.Bool    // answers end their connections
	closing      atomic.Bool    // listening ends as soon as no connection comes
	late         atomic.Bool    // connections that requests share take none any more
	enough       time.Time      // when listening ends at the latest; set before draining, as the next two
	gone         time.Time      // when what is taken from then on must have its answer, for the node may be killed
	over         time.Time      // when all that was taken before has its answer
	clients      errgroup.Group // one for each connection
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
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Limits.MemoryMB<<20)))
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return err
	}
	return run(tell, cfg, log, ln)
}

func run(tell Signals, cfg Config, log zerolog.Logger, ln *net.TCPListener) error {
	defer ln.Close()
	s := &Server{cfg: cfg, log: log, began: time.Now(), fleet: dispatch.New(cfg.Settings, cfg.Seed, cfg.Limits, cfg.module(), dispatch.WithIdleRetention(cfg.Retention))}
	defer s.fleet.Stop()
	var replaced <-chan struct{}
	if cfg.Peers != nil {
		end, err := s.meet()
		if err != nil {
			return err
		}
		defer end()
		replaced = s.peers.Replaced()
	}
	if cfg.Journal != nil {
		var err error
		if s.journal, err = newJournal(cfg, log, s.peers); err != nil {
			return err
		}
		defer s.journal.close()
	} else if s.peers != nil {
		s.peers.Join(context.Background(), joinMost)
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
	s.discovery.Store(watch.NewTarget(cfg.Discovery))
	if cfg.Planners != nil {
		s.planners = newPlanners(cfg.Planners, cfg.Name, s.fleet, cfg.Settings.NodeCount, log)
	}
	if cfg.Routes != nil {
		s.fleet.SetRoutes(cfg.Routes)
	}
	if cfg.Snapshot != nil {
		var err error
		if s.kept, err = newKept(cfg, s.fleet, log); err != nil {
			return err
		}
		if s.peers != nil {
			s.kept.peers = s.peers
			s.peers.SetEndpointList(s.kept.text)
		}
	}
	if s.planners != nil {
		s.planners.kept = s.kept
	}
	if cfg.Distribution != nil {
		var err error
		if s.distribution, err = newDistributed(cfg, s.fleet, log); err != nil {
			return err
		}
	}
	s.known()

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	if cfg.Registry != nil {
		g.Go(func() error { return s.registered(ctx) })
	} else {
		g.Go(func() error { return s.follow(ctx) })
	}
	if s.planners != nil {
		g.Go(func() error { return s.planners.run(ctx) })
	}
	if s.distribution != nil {
		g.Go(func() error { return s.distribution.client.Run(ctx) })
		s.distribution.awaitStart(ctx, tell.Stop)
	}
	if s.kept != nil {
		g.Go(func() error { return s.kept.run(ctx) })
		g.Go(func() error { return s.kept.keep(ctx) })
	}
	log.Info().Str("node", cfg.Name).Stringer("listen", cfg.Listen).Int("connections", cfg.Limits.MaxConnections()).
		Int("servers", len(cfg.SavedList.Hosts)).Msg("serving")
	g.Go(func() error { return s.report(ctx) })
	g.Go(func() error { return s.reload(ctx, tell.Reload) })
	g.Go(func() error {
		defer cancel()
		both := errgroup.Group{}
		both.Go(func() error { return s.accept(ln, s.client) })
		if cgi != nil {
			both.Go(func() error { return s.accept(cgi, s.cgiClient) })
		}
		if err := both.Wait(); err != nil {
			return err
		}
		s.finish()
		if s.kept != nil {
			s.kept.final()
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
func (s *Server) meet() (end func(), err error) {
	if s.peers, err = peer.New(s.cfg.Peers, s.cfg.Name, s.cfg.Filesystem, s.log); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.peers.Run(ctx) }()
	return func() {
		s.peers.Leave()
		cancel()
		if err := <-done; err != nil {
			s.log.Error().Err(err).Msg("neighbours lost")
		}
	}, nil
}

// known hands over the list that this node last had.
func (s *Server) known() {
	if s.cfg.SavedListErr != nil {
		s.log.Warn().Err(s.cfg.SavedListErr).Msg("saved list unreadable")
	}
	suspect := false
	if s.kept != nil {
		s.cfg.SavedList, suspect = s.kept.start(s.cfg.SavedList)
	}
	s.skipped(s.cfg.SavedList)
	if s.planners != nil {
		s.planners.saved(s.cfg.SavedList, suspect)
	}
	if !suspect {
		s.fleet.ApplyList(s.cfg.SavedList, endpoints.SourceConfig)
	}
}

func (s *Server) skipped(l http1.EndpointList) {
	for _, err := range l.Skipped {
		s.log.Warn().Err(err).Msg("list entry skipped")
	}
}

// drain ends the listening once no connection comes any more. Until then all answers end their
// connections; what is idle after that is closed.
func (s *Server) drain(listeners ...*net.TCPListener) {
	s.log.Info().Msg("stopping")
	now := time.Now()
	s.enough = now.Add(comingFor + endlessFor + s.cfg.stop.more)
	s.gone = now.Add(min(s.longest(), longestAwait) + killAfter - killSlack + s.cfg.stop.more)
	s.over = now.Add(s.longest() + answerMost)
	if s.over.Before(s.gone) {
		s.over = s.gone
	}
	s.draining.Store(true)
	if s.cfg.stop.coming != nil {
		s.cfg.stop.coming()
	} else {
		time.Sleep(comingFor)
	}
	s.closing.Store(true)
	for _, ln := range listeners {
		if ln != nil {
			ln.SetDeadline(past) // wakes accept, which goes on until it has waited in vain
		}
	}
}

// finish closes what is idle and waits for what was taken. It does not end the process over what is open, however long
// that may take: an answer that is not there when the node is killed was not lost by it.
func (s *Server) finish() {
	s.late.Store(true)
	done := make(chan struct{})
	go func() {
		s.clients.Wait()
		close(done)
	}()
	again := time.NewTicker(10 * time.Millisecond)
	defer again.Stop()
	for time.Now().Before(s.over) {
		s.fleet.CloseIdleClients()
		select {
		case <-done:
			s.log.Info().Msg("stopped")
			return
		case <-again.C:
		}
	}
	s.log.Warn().Msg("stopped with connections open")
}

// longest is the longest abandon time.
func (s *Server) longest() time.Duration {
	longest := time.Duration(0)
	for _, t := range s.cfg.Settings.TrafficTypes {
		longest = max(longest, t.ClientTimeout)
	}
	return longest
}

// report logs what became of operations and hops, while there are any.
func (s *Server) report(ctx context.Context) error {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		c := s.fleet.Counts()
		from, age := s.fleet.LastAnnouncement()
		hops := zerolog.Dict()
		c.EachAttemptResult(func(e dispatch.AttemptResult, n int) { hops.Int(e.String(), n) })
		line := s.log.Info()
		if s.cfg.Shadow != nil {
			seen := s.cfg.Shadow.TakeCounts()
			watched := zerolog.Dict().Int("compared", seen.Compared).Bool("failed", seen.HasFailed)
			seen.Each(func(k shadow.Difference, n int) { watched.Int(k.String(), n) })
			line.Dict("watch", watched)
		}
		if s.distribution != nil {
			s.distribution.report(line)
		}
		line.Int("handled", c.Responded).Int("denied", c.Rejected).Int("written_off", c.Failed).
			Int("left", c.Disconnected).Int("no_room", c.NoCapacity).Int("limited", c.RouteLimited).Int("copies", c.Hedges).Dict("hops", hops).
			Int("open", c.OpenRequests).Int("clients", c.ClientConnections).Int("servers", c.ServerConnections).
			Stringer("list_from", from).Float64("list_age_s", age.Round(time.Second/10).Seconds()).Msg("counts")
		s.fleet.RouteCounts(func(name string, inHand int, c route.LimiterCounts) {
			s.log.Info().Str("route", name).Int("in_hand", inHand).Int("taken", c.Admitted).Int("over_rate", c.RateExceeded).
				Int("no_place", c.QueueFull).Int("over_tenant", c.TenantShareExceeded).Msg("route")
		})
	}
}
