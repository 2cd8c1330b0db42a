package dispatch

import (
	"io"
	"slices"
	"time"
)

const (
	// justUsed is for how long after a response a server may still close the connection. A connection that has been idle
	// for longer is preferred.
	justUsed = 5 * time.Millisecond
	// idleTimeoutShare is the share of Settings.ConnIdle after which an idle connection is not used again, so that no
	// request crosses the server's own closing.
	idleTimeoutShare = 0.6
)

// ServerConn is a connection to a server, in any protocol.
type ServerConn interface{ io.Closer }

// idleConn is a connection to a server that no attempt uses. It still has its descriptor.
type idleConn struct {
	conn  ServerConn
	since time.Duration
}

// TakeIdle returns an idle connection to a server. The one used last comes first, so that those not needed expire, but for
// connections that were in use until just now (justUsed). It returns nil if there is none, and also if the one selected has
// been idle for too long to be used, even if others were in use until just now.
func (d *Dispatcher) TakeIdle(id string) ServerConn {
	d.mu.Lock()
	defer d.unlock()
	s := d.servers.byID[id]
	if s == nil || len(s.idle) == 0 {
		return nil
	}
	i := len(s.idle) - 1
	for i > 0 && d.now()-s.idle[i].since < justUsed {
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

// PutIdle keeps a connection for later use, or closes it if its server may not be used or speaks another protocol now.
func (d *Dispatcher) PutIdle(id string, isFastCGI bool, conn ServerConn) {
	d.mu.Lock()
	defer d.unlock()
	record, _ := d.view.Get(id)
	s := d.servers.byID[id]
	if s == nil || s.isFastCGI != isFastCGI || !d.retention.MayIdle(record.IsUsable) {
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

// closeIdleConn has a connection closed when the lock is released, and gives its descriptor back.
func (d *Dispatcher) closeIdleConn(c idleConn) {
	d.closing = append(d.closing, c.conn)
	d.freeServerDescriptor()
}

// closeIdleConns closes all idle connections to a server. It does nothing for nil, a server that is not known, nor under an
// IdleRetention that does not close on changes.
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

// closeExpiredIdle closes the idle connections that are too old to be used again.
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

// evictIdleServerConn closes the connection to a server that has been idle for longest, and reports whether there was one.
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
