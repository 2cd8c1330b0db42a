package framing

import (
	"container/list"
	"context"
	"net"
	"sync"
	"time"
)

// handshakeGrace is how long an accepted connection is not closed in favor of a newer one, since its handshake may be in transit.
const handshakeGrace = 100 * time.Millisecond

// Handshakes bounds the accepted connections of a listener whose handshake is not complete, so that callers that never complete one cannot
// use up memory and descriptors. It is safe for concurrent use.
type Handshakes struct {
	mu      sync.Mutex
	limit   int
	pending list.List     // *Handshake, oldest first
	changed chan struct{} // signaled when a handshake ends
}

// Handshake is the pending handshake of an accepted connection.
type Handshake struct {
	owner   *Handshakes
	conn    net.Conn
	since   time.Time
	element *list.Element // nil once it has ended
}

// NewHandshakes returns a bound of limit pending handshakes.
func NewHandshakes(limit int) *Handshakes {
	return &Handshakes{limit: limit, changed: make(chan struct{}, 1)}
}

// Begin registers an accepted connection. At the limit it first closes the connection whose handshake has been pending for longest, once
// that has been for handshakeGrace. It returns nil, and closes the connection, if the context ends first. The caller calls End when the
// handshake is complete or has failed.
func (h *Handshakes) Begin(ctx context.Context, conn net.Conn) *Handshake {
	for {
		begun, wait := h.tryBegin(conn)
		if begun != nil {
			return begun
		}
		select {
		case <-ctx.Done():
			conn.Close()
			return nil
		case <-h.changed:
		case <-time.After(wait):
		}
	}
}

// tryBegin registers a connection. If the limit does not allow it, wait is the time until the oldest handshake may be closed.
func (h *Handshakes) tryBegin(conn net.Conn) (begun *Handshake, wait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pending.Len() >= h.limit {
		oldest := h.pending.Front().Value.(*Handshake)
		if wait = handshakeGrace - time.Since(oldest.since); wait > 0 {
			return nil, wait
		}
		oldest.conn.Close()
		oldest.remove()
	}
	begun = &Handshake{owner: h, conn: conn, since: time.Now()}
	begun.element = h.pending.PushBack(begun)
	return begun, 0
}

// End ends the handshake. Calls after the first have no effect.
func (s *Handshake) End() {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.remove()
	select {
	case s.owner.changed <- struct{}{}:
	default:
	}
}

// remove removes the handshake from the pending ones. The owner's mutex must be held.
func (s *Handshake) remove() {
	if s.element != nil {
		s.owner.pending.Remove(s.element)
		s.element = nil
	}
}
