package planner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/plan"
	"fernvane/internal/controlplane/planwire"
	"fernvane/internal/discovery/incarnation"
)

const (
	handshakeTimeout   = 2 * time.Second // max duration of the TLS handshake and the hello frames
	reportTimeout      = 5 * time.Second // max time between two reports before a connection is closed
	maxConnections     = 4096            // including connections before the handshake
	maxReportedServers = 4096            // per report; package plan stores no more servers
)

// errReplaced is the reason for closing a connection after a newer one with the same forwarder name. A forwarder has only one
// connection to a planner, so the older one is stale.
var errReplaced = errors.New("connection replaced by newer connection of same forwarder")

// forwarderConn is the connection of one forwarder with the state of its plan.
type forwarderConn struct {
	name    string
	conn    *planwire.Conn
	sent    plan.Plan      // plan at the forwarder; used only by the sending goroutine
	pending chan plan.Plan // buffer for the latest unsent plan
}

// replacePending queues a plan for sending and discards an older unsent plan. The caller holds Server.mu.
func (f *forwarderConn) replacePending(p plan.Plan) {
	select {
	case <-f.pending:
	default:
	}
	f.pending <- p
}

// serveConnection serves a forwarder's connection until it is closed.
func (s *Server) serveConnection(ctx context.Context, nc net.Conn, handshake *framing.Handshake) {
	defer nc.Close()
	stopClosing := context.AfterFunc(ctx, func() { nc.Close() })
	defer stopClosing()
	from := nc.RemoteAddr().String()
	defer s.removeConnection()
	if !s.addConnection() {
		s.peerRejected(from, fmt.Errorf("connection limit reached: %d connections", maxConnections))
		return
	}
	conn, name, err := s.handshake(ctx, nc)
	if err != nil {
		s.peerRejected(from, err)
		return
	}
	handshake.End()
	stopClosing()
	conn.UseBudget(s.frameMemory)
	defer conn.ReleaseBuffers()
	defer context.AfterFunc(ctx, func() { conn.Close() })() // a close over TLS notifies the forwarder
	f := &forwarderConn{name: name, conn: conn, pending: make(chan plan.Plan, 1)}
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

// addConnection counts a connection and reports whether the connection limit allows it.
func (s *Server) addConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections++
	return s.connections <= maxConnections
}

func (s *Server) removeConnection() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections--
}

// handshake performs the TLS handshake and exchanges hello frames. It returns the secured connection and the forwarder's name.
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

// addForwarder registers a forwarder's connection and closes an older connection with the same forwarder name.
func (s *Server) addForwarder(f *forwarderConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if older := s.forwarders[f.name]; older != nil {
		older.conn.Close()
	}
	s.forwarders[f.name] = f
}

// removeForwarder removes a forwarder's connection. It returns false if a newer connection has replaced it.
func (s *Server) removeForwarder(f *forwarderConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.forwarders[f.name] != f {
		return false
	}
	delete(s.forwarders, f.name)
	return true
}

// sendPlans sends the changes of each pending plan until the connection ends.
func (s *Server) sendPlans(f *forwarderConn, ended <-chan struct{}) error {
	for {
		select {
		case <-ended:
			return nil
		case next := <-f.pending:
			change, result := plan.Diff(f.sent, next)
			before := f.conn.SentBytes
			if err := f.conn.Send(planwire.ChangeKind, change); err != nil {
				f.conn.Close()
				return err
			}
			f.sent = result
			s.mu.Lock()
			s.counts.sentBytes += f.conn.SentBytes - before
			s.mu.Unlock()
		}
	}
}

// receiveReports applies a forwarder's reports until the connection ends or the forwarder violates the protocol.
func (s *Server) receiveReports(f *forwarderConn) error {
	for {
		kind, body, err := f.conn.Receive(time.Now().Add(reportTimeout))
		if err != nil {
			return err
		}
		if kind == planwire.RejectionKind {
			var rejection planwire.Rejection
			planwire.Decode(body, &rejection)
			return fmt.Errorf("rejected by forwarder: %.200s", rejection.Reason)
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
		return nil, fmt.Errorf("unexpected frame kind %d from forwarder, want report", kind)
	}
	r := &plan.Report{}
	if err := planwire.Decode(body, r); err != nil {
		return nil, err
	}
	if len(r.Servers) > maxReportedServers {
		return nil, fmt.Errorf("report contains too many servers: %d", len(r.Servers))
	}
	return r, nil
}

// reportReceived applies a report. Discovery may already have listed newer states of the servers in NewerIncarnations, so the
// discovered entries of these servers are applied again after the report, and servers that are not listed are removed.
func (s *Server) reportReceived(name string, r *plan.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.planner.ReportReceived(now, name, r)
	var listed []incarnation.Entry
	var unlisted []string
	for _, e := range r.NewerIncarnations {
		if entry, ok := s.discovered[e.ID]; ok {
			listed = append(listed, entry)
		} else if e.Condition != incarnation.Gone {
			unlisted = append(unlisted, e.ID)
		}
	}
	if len(listed) > 0 {
		s.planner.EndpointsUpdated(now, listed, false)
	}
	s.unlistedReported(now, unlisted)
	s.counts.reports++
}

// peerRejected logs and counts a peer that violates the protocol or exceeds the connection limit.
func (s *Server) peerRejected(from string, cause error) {
	s.log.Warn().Str("from", from).Err(cause).Msg("peer rejected")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.rejectedPeers++
}
