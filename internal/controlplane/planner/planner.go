// Package planner runs one planner: it follows discovery, hears the forwarders' reports and sends each its plan.
package planner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"fernvane/internal/controlplane/plan"
	"fernvane/internal/controlplane/planconfig"
	"fernvane/internal/controlplane/planwire"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/watch"
	"fernvane/internal/discovery/zookeeper"
	"fernvane/internal/protocol/http1"
)

const (
	greetMost   = 2 * time.Second // for a forwarder's TLS and greeting
	silentMost  = 5 * time.Second // without a report, after which its connection is ended
	connsMost   = 4096            // forwarders at a time, those that are not greeted yet included
	serversMost = 4096            // in a report
	countsEvery = 10 * time.Second
)

// Server is a running planner.
type Server struct {
	cfg   *planconfig.Planner
	log   zerolog.Logger
	start time.Time

	mu    sync.Mutex // never held over a socket
	plan  *plan.Planner
	said  map[string]incarnation.Entry // what discovery has told, as it told it
	heard map[string]*forwarder
	conns int
	ready bool // discovery has told a whole list
	counts
}

// counts since the last line of the log.
type counts struct {
	Reports int
	Plans   int
	Refused int
	Bytes   int
	Slowest time.Duration // plan
}

// forwarder is one connection.
type forwarder struct {
	conn *planwire.Conn
	told plan.Plan
	next chan plan.Plan // the latest that it has not been sent
}

// Run serves until the context ends.
func Run(ctx context.Context, cfg *planconfig.Planner, log zerolog.Logger) error {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(cfg.ListenAddress))
	if err != nil {
		return err
	}
	return run(ctx, cfg, log, ln)
}

func run(ctx context.Context, cfg *planconfig.Planner, log zerolog.Logger, ln *net.TCPListener) error {
	now := time.Now()
	s := &Server{cfg: cfg, log: log, start: now, plan: plan.NewPlanner(now.UnixMilli()), said: map[string]incarnation.Entry{}, heard: map[string]*forwarder{}}
	log.Info().Str("planner", cfg.Name).Stringer("listen", cfg.ListenAddress).Bool("tls", cfg.Keys != nil).Msg("planning")
	g, ctx := errgroup.WithContext(ctx)
	if cfg.Ensemble != nil {
		g.Go(func() error { return s.registered(ctx) })
	} else {
		g.Go(func() error { return s.follow(ctx) })
	}
	g.Go(func() error { return s.make(ctx) })
	g.Go(func() error { return s.report(ctx) })
	g.Go(func() error {
		defer ln.Close()
		<-ctx.Done()
		return nil
	})
	g.Go(func() error {
		var all sync.WaitGroup
		defer all.Wait()
		for {
			nc, err := ln.AcceptTCP()
			switch {
			case ctx.Err() != nil:
				return nil
			case err != nil: // shortage passes
				log.Warn().Err(err).Msg("accept failed")
				time.Sleep(10 * time.Millisecond)
				continue
			}
			all.Go(func() { s.lead(ctx, nc) })
		}
	})
	return g.Wait()
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

// follow watches discovery, whole at first.
func (s *Server) follow(ctx context.Context) error {
	watch.Follow(ctx, watch.NewTarget(s.cfg.DiscoveryAddress), watch.Listener{
		OnError: func(err error) { s.log.Warn().Err(err).Msg("discovery failed") },
		OnList:  s.listed,
	})
	return nil
}

// listed takes in what discovery tells.
func (s *Server) listed(list http1.EndpointList) {
	for _, err := range list.Skipped {
		s.log.Warn().Err(err).Msg("list entry skipped")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := watch.EntriesFromList(list)
	if list.Complete {
		clear(s.said)
	}
	for _, e := range entries {
		s.said[e.ID] = e
	}
	s.plan.EndpointsUpdated(s.now(), entries, list.Complete)
	s.ready = s.ready || list.Complete
}

// registered follows a registry in place of discovery. Planners send no hops: what forwarders find out about a server
// comes by their reports.
func (s *Server) registered(ctx context.Context) error {
	return zookeeper.Follow(ctx, s.cfg.Ensemble, zookeeper.Listener{
		Now: s.now,
		OnChange: func(changed []incarnation.Entry, _ bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, e := range changed {
				s.said[e.ID] = e
			}
			s.plan.EndpointsUpdated(s.now(), changed, false)
			s.ready = true
		},
		OnError: func(err error) { s.log.Warn().Err(err).Msg("registry") },
		OnMassRemoval: func(removal endpoints.MassRemoval) {
			s.log.Error().Bool("suspected", removal.IsSuspected).Int("removed", removal.Removed).Int("total", removal.Total).
				Msg("mass removal suspicion changed")
		},
	})
}

// make works out a plan again and again, and leaves each forwarder's with its connection.
func (s *Server) make(ctx context.Context) error {
	tick := time.NewTicker(s.cfg.Interval.Std())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		s.mu.Lock()
		if s.ready {
			began := time.Now()
			whole := s.plan.ComputePlans(s.now())
			for name, f := range s.heard {
				select {
				case <-f.next:
				default:
				}
				f.next <- whole.ForForwarder(name)
			}
			s.Plans++
			s.Slowest = max(s.Slowest, time.Since(began))
		}
		s.mu.Unlock()
	}
}

// errReplaced ends a forwarder's connection when another comes under its name: a forwarder has one, so the older is dead.
var errReplaced = errors.New("another connection has come under this name")

// lead is the life of a forwarder's connection.
func (s *Server) lead(ctx context.Context, nc net.Conn) {
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	from := nc.RemoteAddr().String()
	s.mu.Lock()
	s.conns++
	full := s.conns > connsMost
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.conns--
		s.mu.Unlock()
	}()
	if full {
		s.refused(from, fmt.Errorf("%d forwarders are connected", connsMost))
		return
	}
	by := time.Now().Add(greetMost)
	if s.cfg.Keys != nil {
		t := s.cfg.Keys.ServerConn(nc)
		t.SetDeadline(by)
		if err := t.HandshakeContext(ctx); err != nil {
			s.refused(from, err)
			return
		}
		if err := s.cfg.Keys.ReloadError(); err != nil {
			s.log.Error().Err(err).Msg("keys not read again")
		}
		nc = t
	}
	c := planwire.NewConn(nc)
	name, err := c.Handshake(s.cfg.Name, by)
	if err != nil {
		s.refused(from, err)
		return
	}
	f := &forwarder{conn: c, next: make(chan plan.Plan, 1)}
	s.mu.Lock()
	if older := s.heard[name]; older != nil {
		older.conn.Close()
	}
	s.heard[name] = f
	s.mu.Unlock()
	ended := make(chan struct{})
	var sending errgroup.Group
	sending.Go(func() error { return s.send(f, ended) })
	err = s.receive(f, name)
	close(ended)
	nc.Close()
	sending.Wait()
	s.mu.Lock()
	if s.heard[name] == f {
		delete(s.heard, name)
	} else {
		err = errReplaced
	}
	s.mu.Unlock()
	s.log.Info().Str("forwarder", name).Str("from", from).Err(err).Msg("forwarder left")
}

func (s *Server) refused(from string, why error) {
	s.log.Warn().Str("from", from).Err(why).Msg("peer refused")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Refused++
}

// send writes what of each plan is new to the forwarder.
func (s *Server) send(f *forwarder, ended chan struct{}) error {
	for {
		select {
		case <-ended:
			return nil
		case next := <-f.next:
			change, told := plan.Diff(f.told, next)
			before := f.conn.SentBytes
			if err := f.conn.Send(planwire.ChangeKind, change); err != nil {
				f.conn.Close()
				return err
			}
			f.told = told
			s.mu.Lock()
			s.Bytes += f.conn.SentBytes - before
			s.mu.Unlock()
		}
	}
}

// receive hears a forwarder's reports until its connection ends or it says what no forwarder says.
func (s *Server) receive(f *forwarder, name string) error {
	for {
		k, body, err := f.conn.Receive(time.Now().Add(silentMost))
		if err != nil {
			return err
		}
		var r plan.Report
		switch {
		case k == planwire.RefusalKind:
			var why planwire.Refusal
			planwire.Decode(body, &why)
			return fmt.Errorf("refused by the forwarder: %.200s", why.Reason)
		case k != planwire.ReportKind:
			err = fmt.Errorf("a frame of kind %d from a forwarder", k)
		default:
			if err = planwire.Decode(body, &r); err == nil && len(r.Servers) > serversMost {
				err = fmt.Errorf("a report of %d servers", len(r.Servers))
			}
		}
		if err != nil {
			s.refused(name, err)
			return f.conn.Reject(err)
		}
		s.mu.Lock()
		now := s.now()
		s.plan.ReportReceived(now, name, &r)
		var again []incarnation.Entry // discovery may have had a later word on what the forwarder knows of
		for _, e := range r.NewerIncarnations {
			if said, ok := s.said[e.ID]; ok {
				again = append(again, said)
			}
		}
		if len(again) > 0 {
			s.plan.EndpointsUpdated(now, again, false)
		}
		s.Reports++
		s.mu.Unlock()
	}
}

// report logs what has happened, every countsEvery.
func (s *Server) report(ctx context.Context) error {
	tick := time.NewTicker(countsEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		s.mu.Lock()
		c, forwarders := s.counts, len(s.heard)
		s.counts = counts{}
		s.mu.Unlock()
		s.log.Info().Int("forwarders", forwarders).Int("reports", c.Reports).Int("plans", c.Plans).Int("refused", c.Refused).
			Int("bytes", c.Bytes).Dur("slowest_plan", c.Slowest).Msg("counts")
	}
}
