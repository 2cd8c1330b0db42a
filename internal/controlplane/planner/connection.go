package planner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"fernvane/internal/controlplane/plan"
	"fernvane/internal/controlplane/planwire"
	"fernvane/internal/discovery/incarnation"
)

const (
	handshakeTimeout   = 2 * time.Second // for a forwarder's TLS and greeting
	reportTimeout      = 5 * time.Second // without a report, after which a connection is ended
	maxConnections     = 4096            // those without a greeting included
	maxReportedServers = 4096            // in a report; package plan keeps no more
)

// errReplaced ends a forwarder's connection when another comes under its name: a forwarder has one, so the older is dead.
var errReplaced = errors.New("replaced by another connection of the same name")

// forwarderConn is the connection of one forwarder.
type forwarderConn struct {
	name string
	conn *planwire.Conn
	held plan.Plan      // as the forwarder holds it; of the sending goroutine
	next chan plan.Plan // the latest plan that was not sent yet
}

// replaceNext leaves a plan to be sent, in place of one that was not sent yet. Server.mu is held.
func (f *forwarderConn) replaceNext(p plan.Plan) {
	select {
	case <-f.next:
	default:
	}
	f.next <- p
}

// serveConnection serves a forwarder's connection until it ends.
func (s *Server) serveConnection(ctx context.Context, nc net.Conn) {
	defer nc.Close()
	stopClosing := context.AfterFunc(ctx, func() { nc.Close() })
	defer stopClosing()
	from := nc.RemoteAddr().String()
	defer s.connectionEnded()
	if !s.addConnection() {
		s.peerRejected(from, fmt.Errorf("too many connections (limit %d)", maxConnections))
		return
	}
	conn, name, err := s.handshake(ctx, nc)
	if err != nil {
		s.peerRejected(from, err)
		return
	}
	stopClosing()
	defer context.AfterFunc(ctx, func() { conn.Close() })() // over TLS, which tells the forwarder
	f := &forwarderConn{name: name, conn: conn, next: make(chan plan.Plan, 1)}
	s.addForwarder(f)
	ended := make(chan struct{})
	var sending errgroup.Group
	sending.Go(func() error { return s.sendPlans(f, ended) })
	err = s.receiveReports(f)
	close(ended)
	conn.Close()
	sending.Wait()
	if !s.removeForwarder(f) {
		err = errReplaced
	}
	s.log.Info().Str("forwarder", name).Str("from", from).Err(err).Msg("forwarder disconnected")
}

// addConnection counts a connection, and reports whether there is room for it.
func (s *Server) addConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections++
	return s.connections <= maxConnections
}

func (s *Server) connectionEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections--
}

// handshake does the TLS and greeting of a connection. It returns the forwarder's name.
func (s *Server) handshake(ctx context.Context, nc net.Conn) (conn *planwire.Conn, name string, err error) {
	deadline := time.Now().Add(handshakeTimeout)
	if keys := s.config.Keys; keys != nil {
		secured := keys.ServerConn(nc)
		secured.SetDeadline(deadline)
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, "", err
		}
		if err := keys.ReloadError(); err != nil {
			s.log.Error().Err(err).Msg("keys not reloaded")
		}
		nc = secured
	}
	conn = planwire.NewConn(nc)
	name, err = conn.Handshake(s.config.Name, deadline)
	return conn, name, err
}

// addForwarder registers a forwarder, and ends an older connection under its name.
func (s *Server) addForwarder(f *forwarderConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if older := s.forwarders[f.name]; older != nil {
		older.conn.Close()
	}
	s.forwarders[f.name] = f
}

// removeForwarder returns false if another connection has come under the forwarder's name.
func (s *Server) removeForwarder(f *forwarderConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.forwarders[f.name] != f {
		return false
	}
	delete(s.forwarders, f.name)
	return true
}

// sendPlans sends what of each plan is new to the forwarder.
func (s *Server) sendPlans(f *forwarderConn, ended <-chan struct{}) error {
	for {
		select {
		case <-ended:
			return nil
		case next := <-f.next:
			change, held := plan.Diff(f.held, next)
			before := f.conn.SentBytes
			if err := f.conn.Send(planwire.ChangeKind, change); err != nil {
				f.conn.Close()
				return err
			}
			f.held = held
			s.mu.Lock()
			s.counts.sentBytes += f.conn.SentBytes - before
			s.mu.Unlock()
		}
	}
}

// receiveReports takes in a forwarder's reports until its connection ends or it breaks the protocol.
func (s *Server) receiveReports(f *forwarderConn) error {
	for {
		kind, body, err := f.conn.Receive(time.Now().Add(reportTimeout))
		if err != nil {
			return err
		}
		if kind == planwire.RejectionKind {
			var rejection planwire.Rejection
			planwire.Decode(body, &rejection)
			return fmt.Errorf("refused by the forwarder: %.200s", rejection.Reason)
		}
		r, err := decodeReport(kind, body)
		if err != nil {
			s.peerRejected(f.name, err)
			return f.conn.Reject(err)
		}
		s.reportReceived(f.name, r)
	}
}

func decodeReport(kind planwire.Kind, body []byte) (*plan.Report, error) {
	if kind != planwire.ReportKind {
		return nil, fmt.Errorf("a frame of kind %d from a forwarder", kind)
	}
	r := &plan.Report{}
	if err := planwire.Decode(body, r); err != nil {
		return nil, err
	}
	if len(r.Servers) > maxReportedServers {
		return nil, fmt.Errorf("a report of %d servers", len(r.Servers))
	}
	return r, nil
}

// reportReceived takes in a report. Of servers of which the forwarder knows more, discovery may have listed something later:
// that is taken in again.
func (s *Server) reportReceived(name string, r *plan.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.planner.ReportReceived(now, name, r)
	var listed []incarnation.Entry
	for _, e := range r.NewerIncarnations {
		if entry, ok := s.discovered[e.ID]; ok {
			listed = append(listed, entry)
		}
	}
	if len(listed) > 0 {
		s.planner.EndpointsUpdated(now, listed, false)
	}
	s.counts.reports++
}

// peerRejected notes a peer that broke the protocol, or that there is no room for.
func (s *Server) peerRejected(from string, why error) {
	s.log.Warn().Str("from", from).Err(why).Msg("peer rejected")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.rejectedPeers++
}
