package dispatch

import (
	"context"
	"io"
	"slices"
	"time"
)

const (
	// recentUseWindow is how long after a response a server may still close the connection. Connections that have been idle
	// for longer are preferred.
	recentUseWindow = 5 * time.Millisecond
	// SettleDuration is how long a connection that does not identify responses is not reused after a response. A second copy
	// of that response that arrives late would be read as the response to the next request.
	SettleDuration = 25 * time.Millisecond
	// idleTimeoutShare is the share of Settings.ConnIdle after which an idle connection is not reused, so that no request is
	// sent while the server closes the connection.
	idleTimeoutShare = 0.6
)

// ServerConn is a connection to a server with any protocol.
type ServerConn interface {
	io.Closer
	// IdentifiesResponses reports whether a second copy of the last response would be told from the response to the next
	// request.
	IdentifiesResponses() bool
}

// idleConn is a connection to a server that no attempt uses. Its descriptor remains acquired.
type idleConn struct {
	conn      ServerConn
	since     time.Duration
	settledAt time.Duration // when it may be reused
}

// TakeIdle removes and returns an idle connection to a server. It returns nil if there is no reusable connection; excess
// connections expire because it selects the most recently used one that reusableIdle allows.
func (d *Dispatcher) TakeIdle(id string) ServerConn {
	d.mu.Lock()
	defer d.unlock()
	s := d.servers.byID[id]
	if s == nil {
		return nil
	}
	i := s.reusableIdle(d.now())
	if i < 0 {
		return nil
	}
	c := s.idle[i]
	s.idle = slices.Delete(s.idle, i, i+1)
	if d.isExpired(c) {
		d.closeIdleConn(c)
		return nil
	}
	return c.conn
}

// reusableIdle returns the index of the most recently used idle connection that has settled, or -1 if there is none. It prefers
// connections outside recentUseWindow.
func (s *server) reusableIdle(now time.Duration) int {
	recent := -1
	for i := len(s.idle) - 1; i >= 0; i-- {
		switch c := s.idle[i]; {
		case now < c.settledAt: // a copy of its last response may arrive
		case now-c.since >= recentUseWindow:
			return i
		default:
			recent = i
		}
	}
	return recent
}

// PutIdle stores a connection for reuse. It closes the connection if the server is unknown, if the IdleRetention rule does
// not keep the connection, or if the server's protocol has changed.
func (d *Dispatcher) PutIdle(id string, isFastCGI bool, conn ServerConn) {
	d.mu.Lock()
	defer d.unlock()
	record, _ := d.view.Get(id)
	s := d.servers.byID[id]
	if s == nil || s.isFastCGI != isFastCGI || !d.retention.KeepsIdle(record.IsUsable) {
		d.closeIdleConn(idleConn{conn: conn})
		return
	}
	idle := idleConn{conn: conn, since: d.now()}
	idle.settledAt = idle.since
	if !conn.IdentifiesResponses() {
		idle.settledAt += SettleDuration
	}
	s.idle = append(s.idle, idle)
	d.servers.withIdle[s] = struct{}{}
	d.budget.notify()
}

// AwaitIdle is TakeIdle that waits for idle connections which have not settled yet. It returns nil once there is none or the
// context is done.
func (d *Dispatcher) AwaitIdle(ctx context.Context, id string) ServerConn {
	for {
		if conn := d.TakeIdle(id); conn != nil {
			return conn
		}
		wait, ok := d.untilSettled(id)
		if !ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

// untilSettled returns how long it takes until an idle connection to a server is settled. ok is false if there is none.
func (d *Dispatcher) untilSettled(id string) (wait time.Duration, ok bool) {
	d.mu.Lock()
	defer d.unlock()
	s := d.servers.byID[id]
	if s == nil || len(s.idle) == 0 {
		return 0, false
	}
	return max(s.idle[0].settledAt-d.now(), 0), true
}

func (d *Dispatcher) isExpired(c idleConn) bool {
	return d.now()-c.since > time.Duration(idleTimeoutShare*float64(d.settings.ConnIdle))
}

// closeIdleConn releases the connection's descriptor and schedules the connection to be closed by unlock.
func (d *Dispatcher) closeIdleConn(c idleConn) {
	d.closing = append(d.closing, c.conn)
	d.freeServerDescriptor()
}

// closeIdleConns closes all idle connections to a server. It has no effect if s is nil, which stands for an unknown server,
// or if the IdleRetention rule does not close connections on changes.
func (d *Dispatcher) closeIdleConns(s *server) {
	if s == nil || !d.retention.ClosesOnChange() {
		return
	}
	for _, c := range s.idle {
		d.closeIdleConn(c)
	}
	s.idle = s.idle[:0]
	delete(d.servers.withIdle, s)
}

// closeExpiredIdle closes the idle connections that have expired.
func (d *Dispatcher) closeExpiredIdle() {
	for s := range d.servers.withIdle {
		d.servers.visits++
		expired := 0
		for expired < len(s.idle) && d.isExpired(s.idle[expired]) {
			d.closeIdleConn(s.idle[expired])
			expired++
		}
		s.idle = append(s.idle[:0], s.idle[expired:]...)
		if len(s.idle) == 0 {
			delete(d.servers.withIdle, s)
		}
	}
}

// evictIdleServerConn closes the server connection that has been idle for longest, and reports whether there was one.
func (d *Dispatcher) evictIdleServerConn() bool {
	var oldest *server
	for s := range d.servers.withIdle {
		d.servers.visits++
		if len(s.idle) > 0 && (oldest == nil || s.idle[0].since < oldest.idle[0].since) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	d.closeIdleConn(oldest.idle[0])
	oldest.idle = append(oldest.idle[:0], oldest.idle[1:]...)
	return true
}
