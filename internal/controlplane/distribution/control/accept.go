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
	acceptRetry       = 10 * time.Millisecond // after a failed accept, as in a temporary shortage of descriptors
	handshakeTimeout  = 2 * time.Second       // for the TLS handshake and the protocol handshake
	lingerTimeout     = 300 * time.Millisecond
	maxUnsubscribed   = 64 // connections without a subscription, as of commands; bounded so that subscribers can connect
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3

	maxPendingHandshakes = 64      // accepted connections that have not identified themselves
	frameMemoryBytes     = 4 << 20 // of long frames that are received
)

// keepAlive makes the operating system detect the loss of a peer's machine within about ten seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// errTooManyConnections rejects a connection beyond the limits.
var errTooManyConnections = errors.New("too many connections: try another control process")

// accept accepts connections of subscribers and commands until the context ends.
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
		handshake := s.handshakes.Begin(ctx, nc)
		if handshake == nil {
			return
		}
		connections.Go(func() {
			defer handshake.End()
			s.serveAccepted(ctx, nc, handshake)
		})
	}
}

// serveAccepted serves an accepted connection until it ends.
func (s *Server) serveAccepted(ctx context.Context, nc net.Conn, handshake *framing.Handshake) {
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
	handshake.End()
	s.serveLink(ctx, newLink(s, conn, peer, nil))
}

// handshake performs the TLS and protocol handshakes on an accepted connection.
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

// logReloadError logs a failed reload of changed keys. The previous keys stay in use.
func (s *Server) logReloadError() {
	if err := s.config.Keys.ReloadError(); err != nil {
		s.log.Error().Err(err).Msg("keys not reloaded")
	}
}

// linger continues to read for lingerTimeout after a rejection was sent: a close with unread bytes resets the connection, and
// the peer could lose the rejection.
func linger(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, conn)
}

// peerRejected logs and counts a peer that violated the protocol or exceeded a connection limit.
func (s *Server) peerRejected(from string, cause error) {
	s.log.Warn().Str("from", from).Err(cause).Msg("peer rejected")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.rejectedPeers++
}

// describePeer formats a peer's name and address for log lines.
func describePeer(name, from string) string { return fmt.Sprintf("%s at %s", name, from) }
