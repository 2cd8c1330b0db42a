package control

import (
	"context"
	"crypto/tls"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

const (
	silenceTimeout = 30 * time.Second // of a peer, which pings after two seconds
	// maxQueuedMessages wait for a peer beside batches, which are bounded by what it has not acknowledged.
	maxQueuedMessages = 400
)

// Why a connection is ended from here.
var (
	errQueueFull = errors.New("peer accepts too few messages")
	errSlow      = errors.New("no acknowledgement from peer within 5 s")
	errReplaced  = errors.New("replaced by another connection of the same name")
	errSilent    = errors.New("no frame from peer")
)

// link is one connection with a subscriber, an upstream or a command.
type link struct {
	server   *Server
	conn     *framing.Conn
	peer     string
	from     string    // address
	follower *follower // of a connection to an upstream; nil for an accepted one
	outbox   outbox

	lastFrame atomic.Int64 // nanoseconds after the server's start

	// Under Server.mu.
	isSubscribed     bool
	subscription     distribution.Subscription
	sending          distribution.SubscriptionID // what this process sends; 0 for nothing
	receiver         *distribution.Receiver      // of what it receives; nil until it has asked for something
	deferredPull     *wire.Pull                  // of an upstream, until this process has caught up with it
	hasCaughtUp      bool                        // with the upstream, once
	reportedStatuses map[string]distribution.NodeStatus
}

// outbox is the messages that wait to be written to a connection.
type outbox struct {
	mu         sync.Mutex
	queue      []any         // wire.Message, or an error that is the rejection and the last
	nonBatches int           // of them
	wake       chan struct{} // of the writing goroutine
	isClosed   bool
	closedFor  error // why the connection was ended from here
}

func newLink(s *Server, conn *framing.Conn, peer string, f *follower) *link {
	return &link{
		server:           s,
		conn:             conn,
		peer:             peer,
		from:             conn.RemoteAddr().String(),
		follower:         f,
		outbox:           outbox{wake: make(chan struct{}, 1)},
		reportedStatuses: map[string]distribution.NodeStatus{},
	}
}

// enqueue has a message sent, or an error as the rejection that ends the connection. It waits for nothing: a peer that takes too
// little is disconnected.
func (l *link) enqueue(m any) {
	o := &l.outbox
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isClosed {
		return
	}
	if _, isBatch := m.(*wire.Batch); !isBatch {
		o.nonBatches++
		if o.nonBatches > maxQueuedMessages {
			l.closeLocked(errQueueFull)
			return
		}
	}
	o.queue = append(o.queue, m)
	o.signal()
}

// take returns what waits, and whether the connection is still open.
func (o *outbox) take() (queue []any, isOpen bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	queue = o.queue
	o.queue, o.nonBatches = nil, 0
	return queue, !o.isClosed
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// close closes the connection for a reason; the first one counts.
func (l *link) close(why error) {
	l.outbox.mu.Lock()
	defer l.outbox.mu.Unlock()
	l.closeLocked(why)
}

// closeLocked is close while outbox.mu is held. Of a TLS connection it closes the one below: a close of TLS would wait until it
// has said so.
func (l *link) closeLocked(why error) {
	o := &l.outbox
	if o.isClosed {
		return
	}
	o.isClosed, o.queue, o.closedFor = true, nil, why
	if secured, ok := l.conn.Conn.(*tls.Conn); ok {
		secured.NetConn().Close()
	} else {
		l.conn.Close()
	}
	o.signal()
}

// closedFor returns why the connection was ended from here; nil if it was not.
func (l *link) closedFor() error {
	l.outbox.mu.Lock()
	defer l.outbox.mu.Unlock()
	return l.outbox.closedFor
}

// runWriter writes what is enqueued, until the connection ends.
func (l *link) runWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.outbox.wake:
		}
		queue, isOpen := l.outbox.take()
		if !isOpen {
			return
		}
		for _, m := range queue {
			if why, isRejection := m.(error); isRejection {
				l.conn.Reject(why)
				return
			}
			if !l.write(m.(wire.Message)) {
				l.close(nil)
				return
			}
		}
	}
}

func (l *link) write(m wire.Message) bool {
	before := l.conn.SentBytes
	if err := wire.Send(l.conn, m); err != nil {
		return false
	}
	s := l.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.sentBytes += l.conn.SentBytes - before
	if _, isBatch := m.(*wire.Batch); isBatch {
		s.counts.sentBatches++
	}
	return true
}

// protocolError is a violation of the protocol by a peer, which is sent it as the rejection.
type protocolError struct{ error }

func (e *protocolError) Unwrap() error { return e.error }

// read takes a peer's messages until its connection ends or the peer breaks the protocol, which is a *protocolError.
func (l *link) read() error {
	for {
		kind, body, err := l.conn.Receive(time.Now().Add(silenceTimeout))
		switch {
		case errors.Is(err, framing.ErrChecksum), errors.Is(err, framing.ErrUnknownKind), errors.Is(err, framing.ErrFrameTooLong):
			return &protocolError{err}
		case err != nil:
			return err
		case kind == framing.RejectionKind:
			return framing.RejectionError(body)
		}
		l.lastFrame.Store(int64(l.server.now()))
		m, err := wire.Decode(kind, body)
		if err != nil {
			return &protocolError{err}
		}
		if err := l.server.handle(l, m); err != nil {
			return err
		}
	}
}
