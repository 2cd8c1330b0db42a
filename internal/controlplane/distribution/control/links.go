package control

import (
	"context"
	"errors"
	"fmt"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// linkTable contains the connections of a server. Server.mu guards it.
type linkTable struct {
	accepted     int // accepted connections, including those before the protocol handshake
	established  map[*link]bool
	unsubscribed int // accepted connections after the protocol handshake without a subscription
	subscribers  map[string]*link
	waiting      map[*link]bool // subscribers that are served when this process becomes current
	publishing   map[distribution.SubscriptionID]*link
}

func newLinkTable() linkTable {
	return linkTable{
		established: map[*link]bool{},
		subscribers: map[string]*link{},
		waiting:     map[*link]bool{},
		publishing:  map[distribution.SubscriptionID]*link{},
	}
}

// serveLink serves a connection after its protocol handshake until it ends, and returns the cause of the end.
func (s *Server) serveLink(ctx context.Context, l *link) error {
	ctx, cancel := context.WithCancel(ctx)
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		l.runWriter(ctx)
	}()
	l.conn.UseBudget(s.frameMemory)
	defer l.conn.ReleaseBuffers()
	var err error
	if s.addLink(l) {
		err = l.read()
	} else {
		err = &protocolError{errTooManyConnections}
	}
	if fault := (*protocolError)(nil); errors.As(err, &fault) {
		s.peerRejected(describePeer(l.peer, l.from), err)
		l.enqueue(fault.error)
		<-writerDone // until the rejection, the last message, was written
		linger(l.conn.Conn)
	}
	l.close(nil)
	cancel()
	<-writerDone
	l.conn.Close()
	s.removeLink(l)
	if cause := l.closeReason(); cause != nil {
		return cause
	}
	return err
}

// addLink adds a connection, and reports whether it is within maxUnsubscribed.
func (s *Server) addLink(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links.established[l] = true
	if l.follower != nil {
		return true
	}
	s.links.unsubscribed++
	return s.links.unsubscribed <= maxUnsubscribed
}

// removeLink removes a connection that has ended.
func (s *Server) removeLink(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links.established, l)
	delete(s.links.waiting, l)
	if l.follower == nil && !l.isSubscribed {
		s.links.unsubscribed--
	}
	if l.sending != 0 {
		s.stopSending(l)
	}
	isCurrentLink := l.isSubscribed && s.links.subscribers[l.peer] == l
	s.nodes.linkEnded(l, isCurrentLink)
	if isCurrentLink {
		delete(s.links.subscribers, l.peer)
		s.log.Info().Str("subscriber", l.peer).Str("from", l.from).Err(l.closeReason()).Msg("subscriber disconnected")
	}
}

// handle processes a message. A *protocolError ends the connection.
func (s *Server) handle(l *link, m wire.Message) error {
	switch m := m.(type) {
	case *wire.Subscribe:
		return s.subscribe(l, m.Subscription)
	case *wire.Batch:
		return s.receiveBatch(l, m.Batch)
	case *wire.Acknowledge:
		s.batchAcknowledged(l, m.Acknowledgement)
	case *wire.Digests:
		s.compareDigests(l, m)
	case *wire.Pull:
		s.handlePull(l, m)
	case *wire.Report:
		s.nodesReported(l, m.Nodes)
	case *wire.Write:
		s.write(l, m)
	case *wire.StatusQuery:
		s.sendStatus(l, m)
	default:
		return &protocolError{fmt.Errorf("control process does not accept message %T", m)}
	}
	return nil
}
