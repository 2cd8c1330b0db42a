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
	silenceTimeout = 30 * time.Second // without a frame; peers ping after two seconds of silence
	// maxQueuedMessages limits the queued messages of a connection other than batches, which the limit on unacknowledged
	// bytes bounds.
	maxQueuedMessages = 400
)

// Reasons for which this process closes a connection.
var (
	errQueueFull = errors.New("message queue full: peer reads too slowly")
	errSlow      = errors.New("no acknowledgement from peer within 5 s")
	errReplaced  = errors.New("replaced by a newer connection of the same name")
	errSilent    = errors.New("no frame from peer")
)

// link is a connection to a subscriber, an upstream or a command.
type link struct {
	server   *Server
	conn     *framing.Conn
	peer     string
	from     string    // address
	follower *follower // owner of a connection to an upstream; nil for an accepted connection
	outbox   outbox

	lastFrame atomic.Int64 // nanoseconds after the server's start

	// Guarded by Server.mu.
	isSubscribed     bool
	subscription     distribution.Subscription
	sending          distribution.SubscriptionID // subscription that this process serves on the connection; 0 for none
	receiver         *distribution.Receiver      // receives the peer's batches; nil until this process has requested some
	deferredPull     *wire.Pull                  // continuous pull of an upstream, until this process has caught up with it
	hasCaughtUp      bool                        // this process has received a complete batch of the upstream
	reportedStatuses map[string]distribution.NodeStatus
}

// outbox is the queue of messages to write to a connection.
type outbox struct {
	mu          sync.Mutex
	queue       []any         // each a wire.Message; a final error is sent as the rejection
	nonBatches  int           // messages in the queue other than batches
	wake        chan struct{} // wakes the writing goroutine
	isClosed    bool
	closeReason error // reason for which this process closed the connection
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

// enqueue queues a message, or an error that is sent as a rejection and ends the connection. It does not block: a peer that
// reads too slowly is disconnected.
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

// take removes and returns the queued messages, and reports whether the connection is open.
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

// close closes the connection. The reason of the first call is stored.
func (l *link) close(cause error) {
	l.outbox.mu.Lock()
	defer l.outbox.mu.Unlock()
	l.closeLocked(cause)
}

// closeLocked is close with outbox.mu held. It closes the TCP connection below TLS, because a TLS close blocks until its alert is
// written.
func (l *link) closeLocked(cause error) {
	o := &l.outbox
	if o.isClosed {
		return
	}
	o.isClosed, o.queue, o.closeReason = true, nil, cause
	if secured, ok := l.conn.Conn.(*tls.Conn); ok {
		secured.NetConn().Close()
	} else {
		l.conn.Close()
	}
	o.signal()
}

// closeReason returns the reason for which this process closed the connection, or nil if it did not.
func (l *link) closeReason() error {
	l.outbox.mu.Lock()
	defer l.outbox.mu.Unlock()
	return l.outbox.closeReason
}

// runWriter writes queued messages until the connection ends.
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
			if cause, isRejection := m.(error); isRejection {
				l.conn.Reject(cause)
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

// protocolError is a violation of the protocol by a peer. It is sent to the peer as a rejection.
type protocolError struct{ error }

func (e *protocolError) Unwrap() error { return e.error }

// read handles a peer's messages until the connection ends, or returns a *protocolError if the peer violates the protocol.
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
