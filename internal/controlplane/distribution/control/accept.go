package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/distribution/wire"
)

const (
	acceptRetry       = 10 * time.Millisecond // after a shortage, which passes
	handshakeTimeout  = 2 * time.Second       // for a peer's TLS and greeting
	lingerTimeout     = 300 * time.Millisecond
	maxUnsubscribed   = 64 // connections, as of commands, so that they take no subscriber's place
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// keepAlive has the system notice within about ten seconds that a peer's machine is gone.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// errTooManyConnections rejects a connection for want of room.
var errTooManyConnections = errors.New("too many connections, ask another control process")

// accept takes connections of subscribers and of commands, until the context ends.
func (s *Server) accept(ctx context.Context, listener *net.TCPListener) {
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		nc, err := listener.AcceptTCP()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				nc.Close()
			}
			return
		case err != nil:
			s.log.Warn().Err(err).Msg("accept failed")
			sleep(ctx, acceptRetry)
			continue
		}
		nc.SetKeepAliveConfig(keepAlive)
		connections.Go(func() { s.serveAccepted(ctx, nc) })
	}
}

// serveAccepted serves an accepted connection until it ends.
func (s *Server) serveAccepted(ctx context.Context, nc net.Conn) {
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	from := nc.RemoteAddr().String()
	s.mu.Lock()
	s.links.accepted++
	hasTooMany := s.links.accepted > s.config.MaxConnections
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.links.accepted--
	}()
	if hasTooMany {
		s.peerRejected(from, errTooManyConnections)
		wire.Protocol.NewConn(nc).Reject(errTooManyConnections)
		linger(nc)
		return
	}
	conn, peer, err := s.handshake(ctx, nc)
	if err != nil {
		if ctx.Err() == nil {
			s.peerRejected(from, err)
		}
		return
	}
	s.serveLink(ctx, newLink(s, conn, peer, nil))
}

// handshake does the TLS and greeting of an accepted connection.
func (s *Server) handshake(ctx context.Context, nc net.Conn) (conn *framing.Conn, peer string, err error) {
	deadline := time.Now().Add(handshakeTimeout)
	if s.config.Keys != nil {
		secured := s.config.Keys.ServerConn(nc)
		secured.SetDeadline(deadline)
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, "", err
		}
		s.logReloadError()
		nc = secured
	}
	conn = wire.Protocol.NewConn(nc)
	peer, err = conn.Handshake(s.config.Name, deadline)
	return conn, peer, err
}

// logReloadError logs that changed keys could not be read. The ones read before are used.
func (s *Server) logReloadError() {
	if err := s.config.Keys.ReloadError(); err != nil {
		s.log.Error().Err(err).Msg("keys not reloaded")
	}
}

// linger reads on for a moment after a rejection was sent: a close with unread bytes would take it from the peer.
func linger(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, conn)
}

// peerRejected notes a peer that broke the protocol, or that there is no room for.
func (s *Server) peerRejected(from string, why error) {
	s.log.Warn().Str("from", from).Err(why).Msg("peer rejected")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.rejectedPeers++
}

// describePeer is a peer in log lines.
func describePeer(name, from string) string { return fmt.Sprintf("%s at %s", name, from) }
