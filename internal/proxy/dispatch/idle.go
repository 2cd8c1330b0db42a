package dispatch

import (
	"io"
	"slices"
	"time"
)

const (
	// recentUseWindow is how long after a response a server may still close the connection. Connections that have been idle
	// for longer are preferred.
	recentUseWindow = 5 * time.Millisecond
	// idleTimeoutShare is the share of Settings.ConnIdle after which an idle connection is not reused, so that no request is
	// sent while the server closes the connection.
	idleTimeoutShare = 0.6
)

// ServerConn is a connection to a server with any protocol.
type ServerConn interface{ io.Closer }

// idleConn is a connection to a server that no attempt uses. Its descriptor remains acquired.
type idleConn struct {
	conn  ServerConn
	since time.Duration
}

// TakeIdle removes and returns an idle connection to a server. It selects the most recently used connection, so that excess
// connections expire, but prefers those outside recentUseWindow. It returns nil if there is no idle connection or if the
// selected one has expired, even if others are within recentUseWindow.
func (d *Dispatcher) TakeIdle(id string) ServerConn {
	d.mu.Lock()
	defer d.unlock()
	s := d.servers.byID[id]
	if s == nil || len(s.idle) == 0 {
		return nil
	}
	i := len(s.idle) - 1
	for i > 0 && d.now()-s.idle[i].since < recentUseWindow {
		i--
	}
	c := s.idle[i]
	s.idle = slices.Delete(s.idle, i, i+1)
	if d.isExpired(c) {
		d.closeIdleConn(c)
		return nil
	}
	return c.conn
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
	s.idle = append(s.idle, idleConn{conn, d.now()})
	d.servers.withIdle[s] = struct{}{}
	d.budget.notify()
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
