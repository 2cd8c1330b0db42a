package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/cluster/membership"
)

const (
	handshakeTimeout = 2 * time.Second
	dialTimeout      = time.Second
	acceptRetryWait  = 100 * time.Millisecond

	maxPendingHandshakes = 32      // accepted connections that have not identified themselves
	frameMemoryBytes     = 4 << 20 // of long frames that are received
)

var (
	errTooManyConnections = errors.New("too many connections: connect to another node")
	errCallerIntroMissing = errors.New("no valid intro frame received from caller")
	errPeerIntroMissing   = errors.New("no intro frame received from peer")
)

// accept accepts and serves connections of other nodes and of commands until the context is canceled.
func (n *Node) accept(ctx context.Context) error {
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		nc, err := n.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			n.log.Warn().Err(err).Msg("accepting peer connection failed")
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryWait):
			}
			continue
		}
		handshake := n.handshakes.Begin(ctx, nc)
		if handshake == nil {
			return nil
		}
		serving.Go(func() {
			defer nc.Close()
			defer handshake.End()
			defer context.AfterFunc(ctx, func() { nc.Close() })()
			if err := n.serveAccepted(ctx, nc, handshake); err != nil && ctx.Err() == nil {
				n.log.Debug().Err(err).Stringer("from", nc.RemoteAddr()).Msg("accepted connection ended")
			}
		})
	}
}

// serveAccepted performs the handshake of an accepted connection and serves the caller as a command or a node.
func (n *Node) serveAccepted(ctx context.Context, nc net.Conn, handshake *framing.Handshake) error {
	deadline := time.Now().Add(handshakeTimeout)
	nc.SetDeadline(deadline)
	if n.cfg.Keys != nil {
		nc = n.cfg.Keys.ServerConn(nc)
	}
	conn := protocol.NewConn(nc)
	if _, err := conn.ReceiveHello(deadline); err != nil {
		return err
	}
	if err := conn.Send(framing.HelloKind, framing.Hello{Version: version, Name: n.name}); err != nil {
		return err
	}
	kind, body, err := conn.ReceiveHandshake(deadline)
	if err != nil {
		return err
	}
	var caller intro
	if kind != introKind || framing.Decode(body, &caller) != nil {
		return conn.Reject(errCallerIntroMissing)
	}
	if caller.Deployment != n.cfg.Deployment {
		return conn.Reject(fmt.Errorf("deployment mismatch: expected %q", n.cfg.Deployment))
	}
	handshake.End()
	conn.UseBudget(n.frameMemory)
	defer conn.ReleaseBuffers()
	if caller.Member.Incarnation == 0 {
		return n.serveCommand(ctx, conn)
	}
	if n.isAtConnectionLimit(caller.Member.Name) {
		return conn.Reject(errTooManyConnections)
	}
	if err := conn.Send(introKind, intro{Deployment: n.cfg.Deployment, Member: n.self()}); err != nil {
		return err
	}
	return n.serveNode(newConnection(conn, caller.Member, false), caller.Member)
}

// isAtConnectionLimit reports whether too many nodes are connected to accept one that is not connected yet. It locks
// mu.
func (n *Node) isAtConnectionLimit(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.connections.open) >= maxConnectedNodes && n.connections.open[name] == nil
}

// connect opens a connection to an address and serves it until it is closed.
func (n *Node) connect(ctx context.Context, address string) {
	conn, remote, err := dial(ctx, n.cfg, n.cfg.ListenAddress.Addr(), address, n.name, n.self())
	if err == nil {
		defer context.AfterFunc(ctx, func() { conn.Close() })()
		conn.UseBudget(n.frameMemory)
		defer conn.ReleaseBuffers()
		err = n.serveNode(newConnection(conn, remote.intro.Member, true), remote.intro.Member)
	}
	if ctx.Err() == nil {
		n.log.Debug().Err(err).Str("address", address).Msg("dialed connection ended")
	}
}

// dial opens a connection to an address, sends this side's intro and returns the remote's. If self has no incarnation
// the caller is a command, which receives no intro in return. from is the local address unless it is invalid or
// unspecified.
func dial(ctx context.Context, cfg *Config, from netip.Addr, address, name string, self membership.Member) (conn *framing.Conn, remote remoteNode, err error) {
	d := net.Dialer{Deadline: time.Now().Add(dialTimeout)}
	if from.IsValid() && !from.IsUnspecified() { // connect from the address that other nodes know
		d.LocalAddr = &net.TCPAddr{IP: from.AsSlice()}
	}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, remote, err
	}
	defer func() {
		if err != nil {
			nc.Close()
		}
	}()
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	deadline := time.Now().Add(handshakeTimeout)
	nc.SetDeadline(deadline)
	wrapped := nc
	if cfg.Keys != nil {
		wrapped = cfg.Keys.ClientConn(nc, cfg.TLSName)
	}
	conn = protocol.NewConn(wrapped)
	if remote.name, err = conn.Handshake(name, deadline); err != nil {
		return nil, remote, err
	}
	if err = conn.Send(introKind, intro{Deployment: cfg.Deployment, Member: self}); err != nil {
		return nil, remote, err
	}
	if self.Incarnation == 0 {
		return conn, remote, nil
	}
	remote.intro, err = receiveIntro(conn, deadline)
	return conn, remote, err
}

// remoteNode is the node at the other end of a dialed connection.
type remoteNode struct {
	name  string // in its hello
	intro intro  // not set if the caller is a command
}

func receiveIntro(conn *framing.Conn, deadline time.Time) (remote intro, err error) {
	kind, body, err := conn.ReceiveHandshake(deadline)
	switch {
	case err != nil:
	case kind == framing.RejectionKind:
		err = framing.RejectionError(body)
	case kind != introKind:
		err = errPeerIntroMissing
	default:
		err = framing.Decode(body, &remote)
	}
	return remote, err
}
