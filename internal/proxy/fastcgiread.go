package proxy

import (
	"errors"
	"net"
	"os"
	"time"

	"fernvane/internal/protocol/connclose"
)

// AwaitReadable returns when something has arrived that will be read. Until then the connection may be closed for want of descriptors.
// isPartial: a record has arrived in part.
func (c *fastcgiClientConn) AwaitReadable(isPartial bool) error {
	for {
		c.setReadDeadline(isPartial)
		err := c.conn.AwaitReadable()
		if !c.client.ReadReady() {
			return net.ErrClosed
		}
		isTimeout := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case err == nil, isTimeout && c.conn.HasUnread(): // it may have arrived as the deadline passed
			c.clearReadDeadline()
			return nil
		case !isTimeout, c.handleTimeout(isPartial):
			return err
		}
	}
}

// clearReadDeadline lets what has arrived be read without a deadline, unless the connection has ended.
func (c *fastcgiClientConn) clearReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readUntil.IsZero() {
		c.tcp.SetReadDeadline(time.Time{})
	}
}

// setReadDeadline sets the deadline of what is to arrive next. An idle connection has one and an incomplete request has one; a connection
// that only waits for answers has none.
func (c *fastcgiClientConn) setReadDeadline(isPartial bool) {
	oldest := c.conn.OldestPartial()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !isPartial {
		c.partialSince = time.Time{}
	} else if c.partialSince.IsZero() {
		c.partialSince = time.Now()
	}
	if oldest.IsZero() || isPartial && c.partialSince.Before(oldest) {
		oldest = c.partialSince
	}
	if !c.readUntil.IsZero() {
		c.tcp.SetReadDeadline(c.readUntil)
		return
	}
	c.tcp.SetReadDeadline(c.readDeadline(oldest))
	c.client.ReadBlocked(!oldest.IsZero())
}

// readDeadline is the deadline of a connection that is open; zero: none. oldest is when the oldest incomplete request or record began to
// arrive. mu is held.
func (c *fastcgiClientConn) readDeadline(oldest time.Time) time.Time {
	switch {
	case c.lifecycle.State() == connclose.Draining: // incomplete requests were rejected
		return time.Time{}
	case !oldest.IsZero():
		deadline := oldest.Add(requestTimeout)
		if !c.firstRequestBy.IsZero() && c.firstRequestBy.Before(deadline) {
			deadline = c.firstRequestBy
		}
		return deadline
	case c.lifecycle.InFlight() > 0:
		return time.Time{}
	case !c.firstRequestBy.IsZero():
		return c.firstRequestBy
	}
	return time.Now().Add(idleTimeout)
}

// handleTimeout deals with a deadline that has passed, and reports whether nothing more is to be read. Where a
// request stalls, all incomplete requests are rejected and no new ones are admitted; complete ones are still answered.
func (c *fastcgiClientConn) handleTimeout(isPartial bool) bool {
	c.mu.Lock()
	isOver, isStalled := !c.readUntil.IsZero(), c.lifecycle.Receiving() > 0 || isPartial
	if !isOver && !isStalled {
		c.handleLocked(connclose.IdleTimeout)
	}
	c.mu.Unlock()
	if isOver {
		return true
	}
	if isStalled {
		c.RequestsRejected()
	}
	return false
}
