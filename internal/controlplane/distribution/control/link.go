package control

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

const (
	greetMost    = 2 * time.Second  // for a peer's TLS and greeting
	silentMost   = 30 * time.Second // of a peer, which asks for a word after two
	queueMost    = 400              // messages that wait for a peer beside batches, which are bounded by what it has not acknowledged
	drainMost    = 300 * time.Millisecond
	commandsMost = 64 // connections that have not subscribed, so that they take no subscriber's place
)

// Why a connection is ended from here.
var (
	errQueue    = errors.New("it takes too little of what it is sent")
	errSlow     = errors.New("it has acknowledged nothing for five seconds")
	errReplaced = errors.New("another connection has come under its name")
	errCrowded  = errors.New("too many connections are here: ask another control process")
	errSelf     = errors.New("a control process has this one's name")
	errSilent   = errors.New("it says nothing")
)

// link is one connection with a subscriber, an upstream or a command.
type link struct {
	server *Server
	conn   *framing.Conn
	peer   string
	from   string
	via    *follower // of an upstream's; nil for a connection that was accepted

	mu     sync.Mutex
	queue  []any // wire.Message, or an error that is the refusal and the last
	others int   // of them that are no batches
	wake   chan struct{}
	closed bool
	why    error // why it was ended from here

	heard atomic.Int64 // nanoseconds after the server's start

	// under the server's lock
	subscribed   bool
	subscription distribution.Subscription
	sending      distribution.SubscriptionID // what this process sends; 0 for nothing
	receiver     *distribution.Receiver      // of what it gets; nil until it has asked for something
	wanted       *wire.Pull                  // of an upstream, until this process has caught up with it
	complete     bool                        // it has, once
	reported     map[string]distribution.NodeStatus
}

func newLink(s *Server, conn *framing.Conn, peer string, via *follower) *link {
	return &link{server: s, conn: conn, peer: peer, from: conn.RemoteAddr().String(), via: via, wake: make(chan struct{}, 1),
		reported: map[string]distribution.NodeStatus{}}
}

// put has a message sent. It waits for nothing: a peer that takes too little is cut off.
func (l *link) put(m any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if _, batch := m.(*wire.Batch); !batch {
		if l.others++; l.others > queueMost {
			l.endLocked(errQueue)
			return
		}
	}
	l.queue = append(l.queue, m)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// end closes the connection for a reason.
func (l *link) end(why error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endLocked(why)
}

func (l *link) endLocked(why error) {
	if l.closed {
		return
	}
	l.closed, l.queue, l.why = true, nil, why
	if t, ok := l.conn.Conn.(*tls.Conn); ok {
		t.NetConn().Close() // its own Close would wait to say so
	} else {
		l.conn.Close()
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// write sends what is put, until the connection ends.
func (l *link) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		l.mu.Lock()
		queue, closed := l.queue, l.closed
		l.queue, l.others = nil, 0
		l.mu.Unlock()
		if closed {
			return
		}
		for _, m := range queue {
			if _, refusal := m.(error); refusal {
				l.conn.Reject(m.(error))
				return
			}
			if !l.send(m.(wire.Message)) {
				l.end(nil)
				return
			}
		}
	}
}

func (l *link) send(m wire.Message) bool {
	before := l.conn.SentBytes
	if err := wire.Send(l.conn, m); err != nil {
		return false
	}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.Bytes += l.conn.SentBytes - before
	if _, ok := m.(*wire.Batch); ok {
		l.server.Batches++
	}
	return true
}

// drain reads on for a moment after a refusal: a close with bytes unread would take it from the peer.
func drain(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	conn.SetReadDeadline(time.Now().Add(drainMost))
	io.Copy(io.Discard, conn)
}

// lead is the life of a connection that was accepted.
func (s *Server) lead(ctx context.Context, nc net.Conn) {
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	from := nc.RemoteAddr().String()
	s.mu.Lock()
	s.connections++
	full := s.connections > s.config.MaxConnections
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.connections--
	}()
	if full {
		s.refused(from, errCrowded)
		wire.Protocol.NewConn(nc).Reject(errCrowded)
		drain(nc)
		return
	}
	conn, peer, err := s.greet(ctx, nc)
	if err != nil {
		if ctx.Err() == nil {
			s.refused(from, err)
		}
		return
	}
	s.lives(ctx, newLink(s, conn, peer, nil))
}

// greet has an accepted connection's TLS and greeting done.
func (s *Server) greet(ctx context.Context, nc net.Conn) (*framing.Conn, string, error) {
	by := time.Now().Add(greetMost)
	if s.config.Keys != nil {
		t := s.config.Keys.ServerConn(nc)
		t.SetDeadline(by)
		if err := t.HandshakeContext(ctx); err != nil {
			return nil, "", err
		}
		if err := s.config.Keys.ReloadError(); err != nil {
			s.log.Error().Err(err).Msg("keys not read again")
		}
		nc = t
	}
	conn := wire.Protocol.NewConn(nc)
	peer, err := conn.Handshake(s.config.Name, by)
	return conn, peer, err
}

// lives leads a connection that was greeted until it ends.
func (s *Server) lives(ctx context.Context, l *link) error {
	ctx, cancel := context.WithCancel(ctx)
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.write(ctx)
	}()
	s.mu.Lock()
	s.links[l] = true
	if l.via == nil {
		s.commands++
	}
	crowded := l.via == nil && s.commands > commandsMost
	s.mu.Unlock()
	var err error
	if crowded {
		err = l.refuse(errCrowded)
	} else {
		err = l.read()
	}
	if refusal := (*protocolError)(nil); errors.As(err, &refusal) {
		s.refused(describe(l.peer, l.from), err)
		l.put(refusal.error)
		<-written // the refusal is the last that is sent
		drain(l.conn.Conn)
	}
	l.end(nil)
	cancel()
	<-written
	l.conn.Close()
	s.left(l)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.why != nil {
		err = l.why
	}
	return err
}

// protocolError is a fault of a peer's, which it is told of.
type protocolError struct{ error }

func (e *protocolError) Unwrap() error { return e.error }

func (l *link) refuse(why error) error { return &protocolError{why} }

// read takes a peer's messages until its connection ends or it says what none may say.
func (l *link) read() error {
	for {
		kind, body, err := l.conn.Receive(time.Now().Add(silentMost))
		switch {
		case errors.Is(err, framing.ErrChecksum), errors.Is(err, framing.ErrUnknownKind), errors.Is(err, framing.ErrFrameTooLong):
			return l.refuse(err)
		case err != nil:
			return err
		case kind == framing.RejectionKind:
			return framing.RejectionError(body)
		}
		l.heard.Store(int64(l.server.now()))
		m, err := wire.Decode(kind, body)
		if err != nil {
			return l.refuse(err)
		}
		if err := l.server.take(l, m); err != nil {
			return err
		}
	}
}

// left forgets a connection.
func (s *Server) left(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, l)
	delete(s.waiting, l)
	if l.via == nil && !l.subscribed {
		s.commands--
	}
	if l.sending != 0 {
		s.unpublish(l)
	}
	own := l.subscribed && s.subscribers[l.peer] == l
	s.nodes.lost(l, own)
	if own {
		delete(s.subscribers, l.peer)
		s.log.Info().Str("subscriber", l.peer).Str("from", l.from).Err(l.reason()).Msg("subscriber left")
	}
}

func (l *link) reason() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.why
}

// take does what a message asks for.
func (s *Server) take(l *link, m wire.Message) error {
	switch m := m.(type) {
	case *wire.Subscribe:
		return s.subscribe(l, m.Subscription)
	case *wire.Batch:
		return s.receive(l, m.Batch)
	case *wire.Acknowledge:
		s.acknowledged(l, m.Acknowledgement)
	case *wire.Digests:
		s.compare(l, m)
	case *wire.Pull:
		s.want(l, m)
	case *wire.Report:
		s.nodesReported(l, m.Nodes)
	case *wire.Write:
		s.write(l, m)
	case *wire.StatusQuery:
		s.answer(l, m)
	default:
		return l.refuse(fmt.Errorf("a control process is not sent a %T", m))
	}
	return nil
}
